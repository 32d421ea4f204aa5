package coordination

import "github.com/primrosereach/primrosereach/state"

// configure proposes a configuration change to the cell group. A resend of a
// change that was decided gets the first answer.
func (n *Node) configure(e ConfigureCell) {
	r := n.owner(CellGroup, e.Token)
	if r == nil {
		return
	}
	if first, ok := r.cell.Result(e.Configure.ChangeID); ok {
		n.reply(e.Token, configured(first))
		return
	}
	change := e.Configure
	change.AtMS = n.clock.WallMS
	if now := r.cell.Configuration(); change.Expected == now.Version {
		// With any other version the whole content is kept: an earlier change that is
		// not committed yet may make the expectation true.
		change.Change, change.Config = state.ChangeBetween(now.Configuration, change.Config), state.Configuration{}
	}
	ok := n.propose(r, state.Command{Configure: &change}, func(_ state.Applied, committed bool) {
		result, known := r.cell.Result(e.Configure.ChangeID)
		if !committed || !known {
			n.reply(e.Token, unavailable("leadership of the cell group changed"))
			return
		}
		n.reply(e.Token, configured(result))
	})
	if !ok {
		n.reply(e.Token, unavailable("the log of the cell group takes no entries now"))
	}
}

func configured(r state.ConfigureResult) Answer {
	code := CodeOK
	if !r.Applied {
		code = CodeConflict
	}
	return Answer{Code: code, Message: r.Reason, Configured: &r}
}

func (n *Node) readCell(e ReadCell) {
	r := n.owner(CellGroup, e.Token)
	if r == nil {
		return
	}
	n.reply(e.Token, Answer{Code: CodeOK, Cell: r.cell.Snapshot()})
}

// adoptConfiguration puts the newest configuration that this process knows in
// force in the domain. The state rejects a version that is not newer, so a leader
// that is behind in the cell group cannot revert one.
func (n *Node) adoptConfiguration(r *replica) {
	newest := n.cell.cell.Configuration()
	if r.lead.adopting || newest.Version <= r.domain.Configuration().Version {
		return
	}
	adopted := r.domain.Configuration()
	change := state.ChangeBetween(adopted.Configuration, newest.Configuration)
	shares := make(map[string]state.Resources, len(change.Set))
	for team, t := range change.Set {
		shares[team] = share(t.Quota, r.domainName, n.domains)
	}
	cmd := state.Command{Adopt: &state.AdoptConfiguration{
		AtMS: n.clock.WallMS, Config: state.VersionedConfiguration{Version: newest.Version}, Change: change, From: adopted.Version, Shares: shares,
	}}
	l := r.lead
	l.adopting = n.propose(r, cmd, func(a state.Applied, committed bool) {
		l.adopting = false
		if committed && a.Rejected == nil {
			n.log("info", "adopt configuration", "", r.group+" adopted a new configuration")
		}
	})
}
