package job

// Command is one change to the state. Exactly one field is set. All times in
// commands were stamped by the leader that proposed them.
type Command struct {
	Configure          *Configuration      `json:"configure,omitempty"`
	Submit             *Submit             `json:"submit,omitempty"`
	Cancel             *Cancel             `json:"cancel,omitempty"`
	Assign             *Assign             `json:"assign,omitempty"`
	EndRuns            *EndRuns            `json:"end,omitempty"`
	Join               *Worker             `json:"join,omitempty"`
	Drain              *Incarnation        `json:"drain,omitempty"`
	Leave              *Leave              `json:"leave,omitempty"`
	Prune              *Prune              `json:"forget,omitempty"`
	Wave               *Wave               `json:"wave,omitempty"`
	MaintenanceStarted *MaintenanceStarted `json:"serviced,omitempty"`
}

// Submit stores a job.
type Submit struct {
	Submission
	Queue string `json:"queue"`
	AtMS  int64  `json:"at_ms"`
}

// Cancel ends a job. Its tasks that run are to be stopped.
type Cancel struct {
	Job  ID    `json:"job"`
	AtMS int64 `json:"at_ms"`
}

// Assign binds tasks of one step to workers under a run number each, all of them or
// none.
type Assign struct {
	StepRef
	AtMS  int64        `json:"at_ms"`
	Items []Assignment `json:"items"`
}

// Assignment binds one task to a worker.
type Assignment struct {
	Index     int    `json:"i,omitempty"`
	Run       int    `json:"run"`
	Worker    string `json:"w"`
	StartedMS int64  `json:"born"` // start time of the worker, Unix milliseconds
}

// EndKind tells how a run ended.
type EndKind string

// How runs end. NotStarted is the only one that workers do not report: it is known
// that the run never began and never will.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLeaseExpired   EndKind = "lapsed" // the worker's lease expired
	EndGangBroken     EndKind = "broken" // another member of the gang ended
	EndGangIncomplete EndKind = "alone"  // the other members of the gang did not start in time
	EndNotStarted     EndKind = "not_started"
)

// RunEnd is the end of one run.
type RunEnd struct {
	TaskRef
	Run        int     `json:"run"`
	Kind       EndKind `json:"kind"`
	Checkpoint string  `json:"checkpoint,omitempty"`
}

// EndRuns records the ends of runs on a worker.
type EndRuns struct {
	Incarnation
	AtMS     int64    `json:"at_ms"`
	Runs     []RunEnd `json:"runs"`
	AckedEnd int64    `json:"noted,omitempty"` // number of the last listed end, which is acknowledged to the worker; 0 to leave it unchanged
}

// Leave removes a worker whose tasks have certainly ended, or only ends its tasks if
// it may come back in the same life.
type Leave struct {
	Incarnation
	AtMS int64 `json:"at_ms"`
	Keep bool  `json:"keep,omitempty"` // its lease has expired; the worker may return
}

// Prune removes final jobs.
type Prune struct {
	Jobs []ID `json:"jobs"`
}

// MaintenanceStarted records that the maintenance of a VM has begun.
type MaintenanceStarted struct {
	Wave int    `json:"wave"`
	VM   string `json:"vm"`
}
