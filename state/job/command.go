package job

// Command is one change to the state. Exactly one field is set. The leader that
// proposes a command sets all times in it.
type Command struct {
	Configure          *Configuration      `json:"configure,omitempty"`
	Submit             *Submit             `json:"submit,omitempty"`
	Cancel             *Cancel             `json:"cancel,omitempty"`
	FailJob            *FailJob            `json:"fail,omitempty"`
	Assign             *Assign             `json:"assign,omitempty"`
	EndRuns            *EndRuns            `json:"end,omitempty"`
	Join               *Worker             `json:"join,omitempty"`
	SetSpeeds          *SetSpeeds          `json:"set_speeds,omitempty"`
	Drain              *Incarnation        `json:"drain,omitempty"`
	Leave              *Leave              `json:"leave,omitempty"`
	Prune              *Prune              `json:"forget,omitempty"`
	Wave               *Wave               `json:"wave,omitempty"`
	RequestMaintenance *MaintenanceRequest `json:"request_maintenance,omitempty"`
	MaintenanceStarted *MaintenanceStarted `json:"serviced,omitempty"`
	Tombstone          *Tombstone          `json:"tombstone,omitempty"`
	AdvanceEpoch       *AdvanceEpoch       `json:"advance_epoch,omitempty"`
}

// Submit stores a job in a queue.
type Submit struct {
	Submission
	Queue    string `json:"queue"`
	Team     string `json:"team,omitempty"`
	Borrowed bool   `json:"borrowed,omitempty"` // see Job.Borrowed
	AtMS     int64  `json:"at_ms"`
}

// Cancel ends a job. The leader then stops its running tasks.
type Cancel struct {
	Job  ID    `json:"job"`
	AtMS int64 `json:"at_ms"`
}

// FailJob ends a job that cannot complete, because a task has failed as often as the queue
// allows. It is needed when a configuration reduces the number of attempts: the last failure
// of a task ends its job without it.
type FailJob struct {
	Job    ID     `json:"job"`
	AtMS   int64  `json:"at_ms"`
	Reason string `json:"reason"`
}

// Assign binds tasks of one step to workers, all of them or none. Each assignment gets
// a new run number.
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

// EndKind is the way in which a run ended.
type EndKind string

// Ways in which runs end. Workers do not report EndNotStarted: the leader records it
// when the run has certainly not started and cannot start any more.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLeaseExpired   EndKind = "lapsed" // the worker's lease expired
	EndGangBroken     EndKind = "broken" // another member of the gang ended, or its failure was counted before
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
	AckedEnd int64    `json:"noted,omitempty"` // number of the last end in Runs, which is acknowledged to the worker; 0 leaves the number unchanged
}

// Leave ends the runs of a worker whose tasks have certainly stopped, and removes the
// worker unless it may return in the same incarnation.
type Leave struct {
	Incarnation
	AtMS       int64 `json:"at_ms"`
	KeepWorker bool  `json:"keep,omitempty"` // do not remove the worker: its lease has expired, but it may return
}

// Prune removes final jobs of which no task reserves capacity.
type Prune struct {
	Jobs []ID `json:"jobs"`
}

// MaintenanceStarted records that the maintenance of a VM has started, or that the
// wave leaves out the VM because the platform does not know it.
type MaintenanceStarted struct {
	Wave int    `json:"wave"`
	VM   string `json:"vm"`
}

// SetSpeeds records learned speeds of workers, so that the next leader knows them.
type SetSpeeds struct {
	Items []WorkerSpeed `json:"items"`
}

// WorkerSpeed is the learned speed of one incarnation of a worker.
type WorkerSpeed struct {
	Incarnation
	Percent int `json:"percent"` // speed relative to the mean of all workers
}
