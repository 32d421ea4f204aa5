package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/resource"
)

// A gang that lacks room needs some of it kept free while other tasks end: a flow of small tasks
// would otherwise take what becomes free for as long as it lasts. Room that is kept is idle, though,
// and the gang may have to wait for a task that runs for minutes. So room is kept for the first such
// gang of a pass only, from the time at which it is expected to fit soon, and only from tasks that
// would still run by then (backfill). Expected times go by the progress that workers report and by
// estimates of callers, which can be far off; while less than half of a pool is used, room is
// therefore kept for a bounded time.

const (
	// reservationHorizon is the longest expected time until a gang fits for which room is kept.
	reservationHorizon = 10 * time.Second
	// backfillFactor is the ratio of the time until the gang fits to the expected run time of a task
	// that may use the room until then. Slow workers take about twice as long.
	backfillFactor = 2
	// busyShare is the used share of a pool from which room is kept without maxKeptIdle: others wait
	// because the pool is busy, not because of the room that is kept.
	busyShare = 0.5
	// maxKeptIdle is how long room is kept in a pool that is used less. Work for which there is room
	// has to start within 3 s, which includes the time for advice, commit and start.
	maxKeptIdle = 2 * time.Second
	// keptIdlePause is the time after which room may be kept again in such a pool. Work that was
	// kept back is placed within that time.
	keptIdlePause = time.Second
	// maxPlans bounds the gangs of a pass for which a reservation is planned, until one has been found
	// that is expected to fit. A plan looks at the runs of all workers that may run the gang.
	maxPlans = 4
	// lateGangShare is the used share of a pool up to which a late gang is not ordered after work
	// that is in time. A gang needs more room at once than the other work, which would otherwise
	// come first for as long as it arrives.
	lateGangShare = 0.75
)

// reservation is room that is kept for a gang.
type reservation struct {
	step     *step
	startsAt time.Duration               // time at which the gang is expected to fit
	planned  map[*worker]resource.Amount // capacity for the tasks of the gang
}

// keptIdle is the time for which room is kept in a pool that is used less than busyShare.
type keptIdle struct{ since, last time.Duration }

// reserve keeps room for a gang that lacks it from later steps of the pass. If several gangs had
// such room, none of them might ever have enough. The plan of a gang is renewed when the gang is
// tried.
func (l *Leader) reserve(p *schedulingPass, s *step) {
	r := s.reservation
	if p.reservation != nil || r == nil || r.startsAt-l.now > reservationHorizon {
		return
	}
	p.reservation, p.keepsRoom = r, l.mayKeep(p, r)
	p.kept = l.keptFor(r)
}

// keptFor returns the capacity that is free now and that tasks which run beyond the start of a gang
// must leave free. The rest of what the gang needs becomes free until then.
func (l *Leader) keptFor(r *reservation) map[*worker]resource.Amount {
	kept := make(map[*worker]resource.Amount, len(r.planned))
	for w, amount := range r.planned {
		for _, e := range l.expectedEnds(w) {
			if e.at <= r.startsAt {
				amount = amount.Sub(e.amount)
			}
		}
		kept[w] = amount.Positive()
	}
	return kept
}

// nextPlanned returns the gang with a reservation that is expected to fit first, and the time until
// then. The name is empty if there is none.
func (l *Leader) nextPlanned() (gang string, in time.Duration) {
	var next *reservation
	for _, s := range l.steps {
		r := s.reservation
		if r != nil && (next == nil || cmp.Or(cmp.Compare(r.startsAt, next.startsAt), cmp.Compare(s.ref.String(), next.step.ref.String())) < 0) {
			next = r
		}
	}
	if next == nil {
		return "", 0
	}
	return next.step.ref.String(), max(0, next.startsAt-l.now)
}

// mayKeep reports whether the room of a reservation may be kept now.
func (l *Leader) mayKeep(p *schedulingPass, r *reservation) bool {
	pool := r.step.queue.Pool
	if p.shares.of(l, pool).lowest >= busyShare {
		return true
	}
	k := l.keptIdle[pool]
	if l.now-k.last > keptIdlePause {
		k.since = l.now
	}
	if max(l.now, r.startsAt)-k.since > maxKeptIdle {
		return false
	}
	k.last = l.now
	l.keptIdle[pool] = k
	return true
}

// roomBeside returns how many of the n tasks of a step that fit on a worker leave the room that is
// planned for a gang.
func (l *Leader) roomBeside(p *schedulingPass, s *step, w *worker, n int) int {
	if p.reservation == nil || p.backfills || p.keepsRoom {
		return n // the step may use that room, or free has left it out
	}
	return min(n, l.tasksThatFit(p.free(w).Sub(p.kept[w]), s, w))
}

// backfills reports whether a step may use the room that is kept in a pass: its tasks are expected
// to end before the gang fits. Services are not kept back, since they must always run.
func (l *Leader) backfills(p *schedulingPass, s *step) bool {
	r := p.reservation
	if r == nil || r.step == s || s.spec.Service {
		return true
	}
	return !s.spec.BestEffort && l.now+backfillFactor*l.runTime(s, 1) <= r.startsAt
}

// roomAt is a time from which a worker is expected to have room for one more task of a gang.
type roomAt struct {
	w  *worker
	at time.Duration
}

// planReservation returns the room to keep for the need tasks of a gang: that of the workers which
// are expected to have room first. It returns nil if it is not known when the gang fits.
func (l *Leader) planReservation(p *schedulingPass, s *step, need int) *reservation {
	var rooms []roomAt
	for _, w := range p.usable {
		if matchesWorker(s, w) && (s.queue.Advice == nil || s.approves(w)) {
			rooms = l.appendRooms(rooms, p, s, w)
		}
	}
	if len(rooms) < need {
		return nil
	}
	slices.SortFunc(rooms, func(a, b roomAt) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.w.ID, b.w.ID)) })
	rooms = rooms[:need]
	r := &reservation{step: s, startsAt: rooms[need-1].at, planned: map[*worker]resource.Amount{}}
	for _, x := range rooms {
		r.planned[x.w] = r.planned[x.w].Add(s.spec.Reserved())
	}
	return r
}

// appendRooms appends the times from which a worker is expected to have room for tasks of a step,
// one for each task.
func (l *Leader) appendRooms(rooms []roomAt, p *schedulingPass, s *step, w *worker) []roomAt {
	free := p.free(w)
	n := 0
	add := func(at time.Duration) {
		for fit := l.tasksThatFit(free, s, w); n < fit; n++ {
			rooms = append(rooms, roomAt{w, at})
		}
	}
	add(l.now)
	for _, e := range l.expectedEnds(w) {
		free = free.Add(e.amount)
		add(e.at)
	}
	return rooms
}

// expectedEnd is the expected end of a run, and the capacity that becomes free then.
type expectedEnd struct {
	at     time.Duration
	amount resource.Amount
}

// expectedEnds returns the ends of the runs on a worker that are expected within
// reservationHorizon, in order.
func (l *Leader) expectedEnds(w *worker) []expectedEnd {
	out := make([]expectedEnd, 0, len(w.runs))
	speed := l.speeds.Speed(w.ID)
	for _, r := range w.runs {
		s := l.steps[r.ref.StepRef]
		if s == nil {
			continue
		}
		if at, known := l.expectedEndOf(r, s, speed); known && at-l.now <= reservationHorizon {
			out = append(out, expectedEnd{at, s.spec.Reserved()})
		}
	}
	slices.SortFunc(out, func(a, b expectedEnd) int { return cmp.Compare(a.at, b.at) })
	return out
}

// expectedEndOf returns when a run on a worker of the given speed is expected to end. It is not
// known for services and for best-effort tasks.
func (l *Leader) expectedEndOf(r *run, s *step, speed float64) (at time.Duration, known bool) {
	if r.phase == stopping {
		return max(l.now, r.phaseSince+l.bounds.StopTime), true
	}
	if s.spec.Service || s.spec.BestEffort {
		return 0, false
	}
	total := l.runTime(s, speed)
	if !r.hasProgressed {
		return max(l.now, r.phaseSince+total), true
	}
	if n := r.percent - r.firstPercent; n >= minProgressPercent {
		total = (r.progressAt - r.firstPercentAt) * 100 / time.Duration(n)
	}
	return max(l.now, r.progressAt+total*time.Duration(100-min(100, r.percent))/100), true
}

// minProgressPercent is the progress from which the pace of a run is used in place of its expected
// run time.
const minProgressPercent = 10

// minSpeed bounds the run time that is expected on a slow worker.
const minSpeed = 0.05

// usedShare is the share of a pool's capacity that is assigned.
type usedShare struct {
	lowest, highest float64 // of cores and memory
}

// poolShares holds the used shares of the pools that a pass has looked at.
type poolShares map[string]usedShare

// of returns the used share of a pool. Workers that do not answer do not count. A pool without
// capacity counts as used.
func (s poolShares) of(l *Leader, pool string) usedShare {
	if share, known := s[pool]; known {
		return share
	}
	var used, all resource.Amount
	for _, w := range l.byID {
		if w.rec.Pool == pool && !w.unresponsive {
			used = used.Add(w.rec.Reserved).Add(w.pendingAmount)
			all = all.Add(w.rec.Capacity)
		}
	}
	share := usedShare{1, 1}
	if all.MilliCores > 0 && all.MemoryMB > 0 {
		cores, memory := float64(used.MilliCores)/float64(all.MilliCores), float64(used.MemoryMB)/float64(all.MemoryMB)
		share = usedShare{min(cores, memory), max(cores, memory)}
	}
	s[pool] = share
	return share
}
