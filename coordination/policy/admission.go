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
	now        time.Duration // time of the latest call that carried a clock
}

// Configure implements scheduling.Admitter.
func (a *admitter) Configure(cfg state.Configuration) { a.controller.Configure(a.now, cfg) }

// Admit implements scheduling.Admitter. It first refuses a request whose class already
// exceeds its bound on the waiting time; the controller then checks queue lengths,
// deadlines and rates.
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

// trustedReliability is the least reliability at which an estimated run time may
// cause a refusal. Declared run times are off by up to ten times in either direction,
// and it is better to serve an interactive caller late than to refuse it in error.
const trustedReliability = 0.5

func (a *admitter) request(c scheduling.Clock, r *state.Request, e scheduling.Estimate) admission.Request {
	out := admission.Request{Team: r.Team, Kind: r.Kind, Class: r.Class, Tasks: max(1, r.Tasks)}
	if e.Reliability >= trustedReliability {
		out.Run = milliseconds(e.RunMS)
	}
	if r.DeadlineMS > 0 {
		// A slack of 0 means that there is no deadline, so a deadline that has passed
		// counts as 1 ms.
		out.Slack = milliseconds(max(1, r.DeadlineMS-c.WallMS))
	}
	return out
}

func load(l scheduling.Load) admission.Load {
	return admission.Load{Queued: l.Waiting, QueuedWork: milliseconds(l.WaitingMS), Running: l.Running, Capacity: l.Capacity}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
