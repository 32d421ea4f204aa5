package policy

import (
	"fmt"
	"time"

	"github.com/primrosereach/primrosereach/coordination/admission"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/state"
)

// admitter implements scheduling.Admitter.
type admitter struct {
	controller *admission.Controller
	now        time.Duration // of the latest call that carried a clock
}

// Configure implements scheduling.Admitter.
func (a *admitter) Configure(cfg state.Configuration) { a.controller.Configure(a.now, cfg) }

// Admit implements scheduling.Admitter. The bound on waiting of the class comes
// first; rates, queue lengths and deadlines are judged by the controller.
func (a *admitter) Admit(c scheduling.Clock, r *state.Request, e scheduling.Estimate, loads scheduling.Loads) scheduling.Verdict {
	a.now = c.Now
	own := loads(r.Class)
	if wait := own.WaitMS(); own.BoundMS > 0 && wait > own.BoundMS {
		return scheduling.Verdict{
			Reason:       fmt.Sprintf("%s work would wait %d ms, the limit is %d ms", r.Class, wait, own.BoundMS),
			RetryAfterMS: wait - own.BoundMS,
		}
	}
	all := admission.Loads{r.Class: load(own)}
	if r.Class == state.ClassDeferrable {
		all[state.ClassUrgent] = load(loads(state.ClassUrgent))
	}
	d := a.controller.Decide(c.Now, a.request(c, r, e), all)
	return scheduling.Verdict{Admit: d.Admit, Reason: d.Reason, RetryAfterMS: d.RetryAfterMS}
}

// trustedReliability is the reliability from which a run time may refuse a request.
// Declared run times are off by up to ten times in either direction, and a caller
// at the screen is better served late than refused in error.
const trustedReliability = 0.5

func (a *admitter) request(c scheduling.Clock, r *state.Request, e scheduling.Estimate) admission.Request {
	out := admission.Request{Team: r.Team, Kind: r.Kind, Class: r.Class, Tasks: max(1, r.Tasks)}
	if e.Reliability >= trustedReliability {
		out.Run = milliseconds(e.RunMS)
	}
	if r.DeadlineMS > 0 {
		// A deadline that has passed is not the same as none.
		out.Slack = milliseconds(max(1, r.DeadlineMS-c.WallMS))
	}
	return out
}

func load(l scheduling.Load) admission.Load {
	return admission.Load{Queued: l.Waiting, QueuedWork: milliseconds(l.WaitingMS), Running: l.Running, Capacity: l.Capacity}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
