package job

import "github.com/primrosereach/primrosereach/state/resource"

// Incarnation identifies one life of a worker. A worker that starts again may have
// the ID that it had; its start time tells the two apart.
type Incarnation struct {
	ID        string `json:"id"`
	StartedMS int64  `json:"born_ms"` // start time, Unix milliseconds
}

// Worker is a worker in one of its lives.
type Worker struct {
	Incarnation
	Address  string          `json:"address"` // host:port
	Pool     string          `json:"pool"`
	Domain   string          `json:"domain"` // failure domain
	VM       string          `json:"vm,omitempty"`
	Capacity resource.Amount `json:"capacity"`
	Labels   []string        `json:"labels,omitempty"`
	Draining bool            `json:"draining,omitempty"`

	Reserved resource.Amount `json:"reserved"`
	AckedEnd int64           `json:"noted,omitempty"` // number of the last end that was committed and is acknowledged to the worker
	Tasks    map[TaskRef]int `json:"-"`               // run numbers of the tasks that the worker may hold
}

// Free returns the capacity that no task reserves.
func (w *Worker) Free() resource.Amount { return w.Capacity.Sub(w.Reserved) }

// HasLabel reports whether a worker carries a label. Every worker carries "".
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Wave is a maintenance request for several VMs.
type Wave struct {
	Number     int      `json:"number"`
	VMs        []string `json:"vms"`
	DurationMS int64    `json:"duration_ms"` // from AcceptedMS
	Cap        int      `json:"cap"`         // VMs that may be down at a time
	AcceptedMS int64    `json:"accepted_ms"` // Unix milliseconds
	Done       []string `json:"done,omitempty"`
}

// Completed reports whether every VM has had its maintenance.
func (w *Wave) Completed() bool { return len(w.Done) >= len(w.VMs) }
