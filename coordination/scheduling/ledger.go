package scheduling

import "github.com/primrosereach/primrosereach/state"

// ledger tracks how much each team uses of its own share and of the idle shares of
// other teams. Work counts as soon as it is planned.
type ledger struct {
	teams    map[string]*teamUsage
	idle     state.Resources // sum of the unused parts of all shares
	borrowed state.Resources // sum of what the teams borrow
	total    state.Resources // sum of all shares
}

type teamUsage struct {
	share, own, borrowed state.Resources
	held                 state.Resources // quota kept for a gang that waits for it
	limited              bool            // lanes of the team wait for quota or borrow it
}

func newLedger() *ledger { return &ledger{teams: map[string]*teamUsage{}} }

func (l *ledger) team(name string) *teamUsage {
	t := l.teams[name]
	if t == nil {
		t = &teamUsage{}
		l.teams[name] = t
	}
	return t
}

// idle returns the unused part of the team's share.
func (t *teamUsage) idle() state.Resources { return positive(t.share.Sub(t.own)) }

func positive(r state.Resources) state.Resources {
	return state.Resources{
		Slots:        max(0, r.Slots),
		MilliCores:   max(0, r.MilliCores),
		MemoryMB:     max(0, r.MemoryMB),
		Accelerators: max(0, r.Accelerators),
	}
}

func (l *ledger) setShares(shares map[string]state.Resources) {
	for name := range shares {
		l.team(name)
	}
	l.idle, l.total = state.Resources{}, state.Resources{}
	for name, t := range l.teams {
		t.share = shares[name]
		l.idle = l.idle.Add(t.idle())
		l.total = l.total.Add(t.share)
	}
}

// add changes a team's usage by n tasks; n may be negative.
func (l *ledger) add(team string, perTask state.Resources, borrowed bool, n int) {
	t := l.team(team)
	r := perTask.Scale(n)
	if borrowed {
		t.borrowed = t.borrowed.Add(r)
		l.borrowed = l.borrowed.Add(r)
		return
	}
	l.idle = l.idle.Sub(t.idle())
	t.own = t.own.Add(r)
	l.idle = l.idle.Add(t.idle())
}

// fitsShare reports whether the need fits into the unused part of the team's share.
// Quota held for a gang counts as used, except for the gang itself.
func (l *ledger) fitsShare(team string, need state.Resources, forHolder bool) bool {
	t := l.team(team)
	used := t.own.Add(need)
	if !forHolder {
		used = used.Add(t.held)
	}
	return used.FitsIn(t.share)
}

// canBorrow reports whether the idle shares of the other teams cover the need in
// addition to everything that is borrowed already.
func (l *ledger) canBorrow(team string, need state.Resources) bool {
	others := l.idle.Sub(l.team(team).idle())
	return l.borrowed.Add(need).FitsIn(others)
}
