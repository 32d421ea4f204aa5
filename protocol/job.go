package protocol

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/state/job"
)

// Operations on the job group.
const (
	OpJobSubmit            OperationName = "submit job"
	OpJobDryRun            OperationName = "dry run of job"
	OpJobLookup            OperationName = "look up job"
	OpJobCancel            OperationName = "cancel job"
	OpJobConfigure         OperationName = "configure queues"
	OpJobReadConfiguration OperationName = "read queues"
	OpStartWave            OperationName = "start wave"
	OpReadWave             OperationName = "read wave"
	OpProcessHeartbeat     OperationName = "attend"
	OpWorkerHeartbeat      OperationName = "announce worker"
	OpDeregisterWorker     OperationName = "worker departs"
	OpRequestAdvice        OperationName = "ask for advice"
)

// jobCall is the body of a forwarded call to the job group. Each operation uses some
// of the fields.
type jobCall struct {
	Host         string             `json:"host,omitempty"`
	Path         string             `json:"path,omitempty"`
	Credential   jobs.Credential    `json:"credential,omitzero"`
	Submission   *job.Submission    `json:"submission,omitempty"`
	Config       *job.Configuration `json:"config,omitempty"`
	Wave         *job.Wave          `json:"wave,omitempty"`
	Number       int                `json:"number,omitempty"`
	Name         string             `json:"name,omitempty"`
	Address      string             `json:"address,omitempty"`
	Worker       *job.Worker        `json:"worker,omitempty"`
	Leaving      bool               `json:"leaving,omitempty"`
	ClockMS      int64              `json:"clock_ms,omitempty"`
	Sequence     int64              `json:"sequence,omitempty"`
	KnownVersion int64              `json:"known,omitempty"`
	Epoch        int64              `json:"epoch,omitempty"`

	Contacts []jobs.WorkerContact `json:"contacts,omitempty"`
}

// EncodeJobEvent returns the forwarded form of a call to the job group.
func EncodeJobEvent(ev jobs.Event) (Operation, error) {
	var name OperationName
	var c jobCall
	switch e := ev.(type) {
	case jobs.Submit:
		name, c = OpJobSubmit, jobCall{Host: e.Host, Path: e.Path, Credential: e.Credential, Submission: &e.Submission, Epoch: e.Epoch}
	case jobs.DryRun:
		name, c = OpJobDryRun, jobCall{Host: e.Host, Path: e.Path, Credential: e.Credential, Submission: &e.Submission}
	case jobs.Lookup:
		name, c = OpJobLookup, jobCall{Host: e.Host, Path: e.Path, Credential: e.Credential}
	case jobs.Cancel:
		name, c = OpJobCancel, jobCall{Host: e.Host, Path: e.Path, Credential: e.Credential}
	case jobs.Configure:
		name, c = OpJobConfigure, jobCall{Config: &e.Configuration}
	case jobs.ReadConfiguration:
		name, c = OpJobReadConfiguration, jobCall{KnownVersion: e.KnownVersion}
	case jobs.StartWave:
		name, c = OpStartWave, jobCall{Wave: &e.Wave}
	case jobs.ReadWave:
		name, c = OpReadWave, jobCall{Number: e.Number}
	case jobs.ProcessHeartbeat:
		name, c = OpProcessHeartbeat, jobCall{Name: e.Name, Address: e.Address, Contacts: e.Workers}
	case jobs.WorkerHeartbeat:
		name, c = OpWorkerHeartbeat, jobCall{Worker: &e.Worker, Leaving: e.Draining, ClockMS: e.ClockMS, Sequence: e.Sequence}
	case jobs.DeregisterWorker:
		name, c = OpDeregisterWorker, jobCall{Name: e.ID}
	default:
		return Operation{}, errors.Errorf("encode: %T is not forwarded", ev)
	}
	b, err := json.Marshal(c)
	if err != nil {
		return Operation{}, errors.Wrapf(err, "encode %s", name)
	}
	return Operation{Name: name, Body: b}, nil
}

// DecodeJobEvent is the inverse of EncodeJobEvent. The event carries token t, with which
// its answer is returned.
func DecodeJobEvent(op Operation, t jobs.Token) (jobs.Event, error) {
	var c jobCall
	if err := json.Unmarshal(op.Body, &c); err != nil {
		return nil, errors.Wrapf(err, "decode %s", op.Name)
	}
	missing := errors.Errorf("decode %s: a required field of the body is missing", op.Name)
	switch op.Name {
	case OpJobSubmit:
		if c.Submission == nil {
			return nil, missing
		}
		return jobs.Submit{Token: t, Host: c.Host, Path: c.Path, Credential: c.Credential, Submission: *c.Submission, Epoch: c.Epoch}, nil
	case OpJobDryRun:
		if c.Submission == nil {
			return nil, missing
		}
		return jobs.DryRun{Token: t, Host: c.Host, Path: c.Path, Credential: c.Credential, Submission: *c.Submission}, nil
	case OpJobLookup:
		return jobs.Lookup{Token: t, Host: c.Host, Path: c.Path, Credential: c.Credential}, nil
	case OpJobCancel:
		return jobs.Cancel{Token: t, Host: c.Host, Path: c.Path, Credential: c.Credential}, nil
	case OpJobConfigure:
		if c.Config == nil {
			return nil, missing
		}
		return jobs.Configure{Token: t, Configuration: *c.Config}, nil
	case OpJobReadConfiguration:
		return jobs.ReadConfiguration{Token: t, KnownVersion: c.KnownVersion}, nil
	case OpStartWave:
		if c.Wave == nil {
			return nil, missing
		}
		return jobs.StartWave{Token: t, Wave: *c.Wave}, nil
	case OpReadWave:
		return jobs.ReadWave{Token: t, Number: c.Number}, nil
	case OpProcessHeartbeat:
		return jobs.ProcessHeartbeat{Token: t, Name: c.Name, Address: c.Address, Workers: c.Contacts}, nil
	case OpWorkerHeartbeat:
		if c.Worker == nil {
			return nil, missing
		}
		return jobs.WorkerHeartbeat{Token: t, Worker: *c.Worker, Draining: c.Leaving, ClockMS: c.ClockMS, Sequence: c.Sequence}, nil
	case OpDeregisterWorker:
		return jobs.DeregisterWorker{Token: t, ID: c.Name}, nil
	}
	return nil, errors.Errorf("decode: unknown operation %q", op.Name)
}

// jobAnswer is the transmitted form of jobs.Answer.
type jobAnswer struct {
	Code          jobs.Code          `json:"code"`
	Message       string             `json:"message,omitempty"`
	RetryAfterMS  int64              `json:"retry_after_ms,omitempty"`
	Phase         job.Phase          `json:"phase,omitempty"`
	Waiting       int                `json:"waiting,omitempty"`
	Configuration *job.Configuration `json:"configuration,omitempty"`
	WaveCompleted bool               `json:"wave_completed,omitempty"`
	Members       []string           `json:"members,omitempty"`
	Epoch         int64              `json:"epoch,omitempty"`

	DryRun *jobs.DryRunResult `json:"dry_run,omitempty"`
}

// EncodeJobAnswer returns the transmitted form of an answer.
func EncodeJobAnswer(a jobs.Answer) (Result, error) {
	b, err := json.Marshal(jobAnswer{
		Code: a.Code, Message: a.Message, RetryAfterMS: a.RetryAfter.Milliseconds(), Phase: a.Phase, Waiting: a.Waiting,
		Configuration: a.Configuration, WaveCompleted: a.WaveCompleted, Members: a.Members, Epoch: a.Epoch, DryRun: a.DryRun,
	})
	if err != nil {
		return Result{}, errors.Wrap(err, "encode answer")
	}
	return Result{Body: b}, nil
}

// DecodeJobAnswer is the inverse of EncodeJobAnswer.
func DecodeJobAnswer(r Result) (jobs.Answer, error) {
	var a jobAnswer
	if err := json.Unmarshal(r.Body, &a); err != nil {
		return jobs.Answer{}, errors.Wrap(err, "decode answer")
	}
	return jobs.Answer{
		Code: a.Code, Message: a.Message, RetryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond, Phase: a.Phase, Waiting: a.Waiting,
		Configuration: a.Configuration, WaveCompleted: a.WaveCompleted, Members: a.Members, Epoch: a.Epoch, DryRun: a.DryRun,
	}, nil
}

// AdviceRequest is the body of OpRequestAdvice: it asks which of the workers may run a step.
type AdviceRequest struct {
	Step    job.StepRef `json:"step"`
	Workers []string    `json:"workers"`
}

// AdviceResult is the answer to OpRequestAdvice.
type AdviceResult struct {
	Approved []jobs.Ticket `json:"good"`     // workers that may run the step, with a ticket for each
	ValidMS  int64         `json:"valid_ms"` // time for which the advice may be used
	Error    string        `json:"error,omitempty"`
}
