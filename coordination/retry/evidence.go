package retry

import (
	"time"

	"github.com/primrosereach/primrosereach/state"
)

const (
	// minFailedJobs is the number of different jobs that must fail in a row on an
	// endpoint, without a success between them, before the endpoint is at fault.
	minFailedJobs = 3
	// maxEvidenceAge is how long a success on another endpoint counts as evidence
	// against the endpoint on which the same kind fails. An older success may date
	// from before a change that broke the kind everywhere.
	maxEvidenceAge = 10 * time.Minute
)

type kindKey struct{ team, kind string }

// evidence records what is needed to decide that an endpoint is at fault: which jobs
// failed on it in a row, and where each kind last succeeded.
type evidence struct {
	endpoints map[string]*endpointEvidence
	kinds     map[kindKey]*kindEvidence
}

type endpointEvidence struct {
	jobs [minFailedJobs]state.Key // different jobs that failed in a row
	n    int
}

// kindEvidence records the latest successes on two different endpoints, so that at
// least one of them differs from any endpoint in question.
type kindEvidence struct {
	endpoint [2]string
	at       [2]time.Duration
}

func newEvidence() evidence {
	return evidence{endpoints: map[string]*endpointEvidence{}, kinds: map[kindKey]*kindEvidence{}}
}

func (v *evidence) succeeded(now time.Duration, kind kindKey, endpoint string) {
	delete(v.endpoints, endpoint)
	k := v.kinds[kind]
	if k == nil {
		k = &kindEvidence{}
		v.kinds[kind] = k
	}
	if k.endpoint[0] != endpoint {
		k.endpoint[1], k.at[1] = k.endpoint[0], k.at[0]
		k.endpoint[0] = endpoint
	}
	k.at[0] = now
}

// failed records a failed attempt and reports whether its endpoint is at fault: the
// attempt was a trial in quarantine, or minFailedJobs different jobs have failed there
// in a row while the kind recently succeeded on another endpoint.
func (v *evidence) failed(now time.Duration, a Attempt) bool {
	e := v.endpoints[a.Endpoint]
	if e == nil {
		e = &endpointEvidence{}
		v.endpoints[a.Endpoint] = e
	}
	e.add(a.Key)
	if a.Trial {
		return true
	}
	return e.n == minFailedJobs && v.succeedsElsewhere(now, kindKey{a.Key.Team, a.Kind}, a.Endpoint)
}

func (e *endpointEvidence) add(job state.Key) {
	for _, k := range e.jobs[:e.n] {
		if k == job {
			return
		}
	}
	if e.n < minFailedJobs {
		e.jobs[e.n] = job
		e.n++
	}
}

func (v *evidence) succeedsElsewhere(now time.Duration, kind kindKey, endpoint string) bool {
	k := v.kinds[kind]
	if k == nil {
		return false
	}
	for i, name := range k.endpoint {
		if name != "" && name != endpoint && now-k.at[i] < maxEvidenceAge {
			return true
		}
	}
	return false
}
