package job

import (
	"slices"

	"github.com/primrosereach/primrosereach/state/resource"
)

// Incarnation identifies one incarnation of a worker. A worker may keep its ID when it
// restarts; the start time distinguishes the incarnations.
type Incarnation struct {
	ID        string `json:"id"`
	StartedMS int64  `json:"born_ms"` // start time, Unix milliseconds
}

// Worker is one incarnation of a worker.
type Worker struct {
	Incarnation
	Address  string          `json:"address"` // host:port
	Pool     string          `json:"pool"`
	Domain   string          `json:"domain"`       // failure domain
	VM       string          `json:"vm,omitempty"` // VM that it runs on
	Capacity resource.Amount `json:"capacity"`
	Labels   []string        `json:"labels,omitempty"`
	Draining bool            `json:"draining,omitempty"` // gets no new tasks

	SpeedPercent int `json:"speed_percent,omitempty"` // learned speed relative to the mean of all workers, 0 if it is not known

	Reserved resource.Amount `json:"reserved"`        // sum over Tasks
	AckedEnd int64           `json:"noted,omitempty"` // number of the last run end that was committed and is acknowledged to the worker
	Tasks    map[TaskRef]int `json:"-"`               // run numbers of the tasks that the worker may be running
}

// Free returns the capacity that no task reserves.
func (w *Worker) Free() resource.Amount { return w.Capacity.Sub(w.Reserved) }

// HasLabel reports whether a worker has a label. The result is true for the empty label.
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

// Wave is a request to perform maintenance on several VMs within a given time.
type Wave struct {
	Number     int      `json:"number"`
	VMs        []string `json:"vms"`
	DurationMS int64    `json:"duration_ms"`    // time from AcceptedMS within which the wave must be done
	MaxDown    int      `json:"cap"`            // largest number of VMs that may be down at the same time
	AcceptedMS int64    `json:"accepted_ms"`    // Unix milliseconds
	Done       []string `json:"done,omitempty"` // VMs whose maintenance has started, and VMs skipped because they have no worker

	// Requests holds the VMs whose maintenance a leader was about to request, including those in
	// Done.
	Requests []MaintenanceRequest `json:"requests,omitempty"`
}

// MaintenanceRequest is the decision to take down a VM for a wave. It is committed before the
// first request is sent to the platform.
type MaintenanceRequest struct {
	Wave   int         `json:"wave"`
	VM     string      `json:"vm"`
	Worker Incarnation `json:"worker"` // worker on the VM at that time
}

// Completed reports whether Done contains every VM.
func (w *Wave) Completed() bool { return len(w.Done) >= len(w.VMs) }

// Request returns the request for maintenance of a VM, or nil.
func (w *Wave) Request(vm string) *MaintenanceRequest {
	for i := range w.Requests {
		if w.Requests[i].VM == vm {
			return &w.Requests[i]
		}
	}
	return nil
}

func (w *Wave) clone() *Wave {
	c := *w
	c.Done = slices.Clone(w.Done)
	c.Requests = slices.Clone(w.Requests)
	return &c
}
