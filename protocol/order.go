package protocol

import (
	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/protocol/peerv1"
	"github.com/primrosereach/primrosereach/state/job"
)

// EncodeOrder returns the transmitted form of an order to a worker. It leaves out the relay and
// the leader's time; the transport adds a reading of a clock that the relay can compare.
func EncodeOrder(e jobs.Effect) (*peerv1.Order, error) {
	switch e := e.(type) {
	case jobs.StartRun:
		out := encodeOrderHeader(peerv1.Order_START, &e.Order, e.TaskRef, e.Run)
		out.Spec, out.LeaseEndMs, out.Ticket, out.Checkpoint = e.Spec, e.UntilMS, e.Ticket, e.Checkpoint
		return out, nil
	case jobs.StopRun:
		return encodeOrderHeader(peerv1.Order_STOP, &e.Order, e.TaskRef, e.Run), nil
	case jobs.PaceRun:
		out := encodeOrderHeader(peerv1.Order_PACE, &e.Order, e.TaskRef, e.Run)
		out.Percent = int64(e.Percent)
		return out, nil
	case jobs.Observe:
		out := encodeOrderHeader(peerv1.Order_OBSERVE, &e.Order, job.TaskRef{}, 0)
		out.LeaseEndMs, out.AckedEnd, out.WaitMs = e.UntilMS, e.AckedEnd, int64(e.WaitMS)
		out.NextIncarnation = e.NextIncarnation
		return out, nil
	}
	return nil, errors.Errorf("encode: %T is not an order to a worker", e)
}

func encodeOrderHeader(kind peerv1.Order_Kind, o *jobs.Order, task job.TaskRef, run int) *peerv1.Order {
	return &peerv1.Order{
		Kind: kind, Id: o.ID, Term: o.Term, Worker: o.Worker.ID, WorkerStartedMs: o.Worker.StartedMS, Address: o.Address,
		Task: encodeTask(task), Run: int64(run),
	}
}

// DecodeOrder is the inverse of EncodeOrder.
func DecodeOrder(o *peerv1.Order) (jobs.Effect, error) {
	header := jobs.Order{ID: o.Id, Term: o.Term, Worker: job.Incarnation{ID: o.Worker, StartedMS: o.WorkerStartedMs}, Address: o.Address}
	task, run := decodeTask(o.Task), int(o.Run)
	switch o.Kind {
	case peerv1.Order_START:
		return jobs.StartRun{Order: header, TaskRef: task, Run: run, Spec: o.Spec, UntilMS: o.LeaseEndMs, Ticket: o.Ticket, Checkpoint: o.Checkpoint}, nil
	case peerv1.Order_STOP:
		return jobs.StopRun{Order: header, TaskRef: task, Run: run}, nil
	case peerv1.Order_PACE:
		return jobs.PaceRun{Order: header, TaskRef: task, Run: run, Percent: int(o.Percent)}, nil
	case peerv1.Order_OBSERVE:
		return jobs.Observe{Order: header, UntilMS: o.LeaseEndMs, AckedEnd: o.AckedEnd, WaitMS: int(o.WaitMs), NextIncarnation: o.NextIncarnation}, nil
	}
	return nil, errors.Errorf("decode order %d: unknown kind %d", o.Id, o.Kind)
}

// EncodeOrderReport returns the transmitted form of the result of an order.
func EncodeOrderReport(e *jobs.OrderReported) *peerv1.OrderReport {
	out := &peerv1.OrderReport{Id: e.ID, Term: e.Term, Result: uint32(e.Result), ClockMs: e.ClockMS}
	for i := range e.Running {
		t := &e.Running[i]
		out.Running = append(out.Running, &peerv1.RunningTask{
			Task: encodeTask(t.TaskRef), Run: int64(t.Run), Checkpoint: t.Checkpoint, Percent: int64(t.Percent), Usage: int64(t.Usage),
		})
	}
	for i := range e.Ended {
		x := &e.Ended[i]
		out.Ended = append(out.Ended, &peerv1.EndedRun{
			Number: x.Number, Task: encodeTask(x.TaskRef), Run: int64(x.Run), Kind: string(x.Kind), Checkpoint: x.Checkpoint,
		})
	}
	return out
}

// DecodeOrderReport is the inverse of EncodeOrderReport.
func DecodeOrderReport(r *peerv1.OrderReport) (jobs.OrderReported, error) {
	out := jobs.OrderReported{ID: r.Id, Term: r.Term, Result: jobs.OrderResult(r.Result), ClockMS: r.ClockMs}
	if r.Result > uint32(jobs.OrderNotSent) {
		return out, errors.Errorf("decode the report on order %d: unknown result %d", r.Id, r.Result)
	}
	for _, t := range r.Running {
		out.Running = append(out.Running, jobs.RunningTask{
			TaskRef: decodeTask(t.Task), Run: int(t.Run), Checkpoint: t.Checkpoint, Percent: int(t.Percent), Usage: int(t.Usage),
		})
	}
	for _, x := range r.Ended {
		out.Ended = append(out.Ended, jobs.EndedRun{Number: x.Number, RunEnd: job.RunEnd{
			TaskRef: decodeTask(x.Task), Run: int(x.Run), Kind: job.EndKind(x.Kind), Checkpoint: x.Checkpoint,
		}})
	}
	return out, nil
}

func encodeTask(t job.TaskRef) *peerv1.Task {
	return &peerv1.Task{Job: string(t.Job), Occurrence: int64(t.Occurrence), Step: int64(t.Step), Index: int64(t.Index)}
}

func decodeTask(t *peerv1.Task) job.TaskRef {
	return job.TaskRef{
		StepRef: job.StepRef{Job: job.ID(t.GetJob()), Occurrence: int(t.GetOccurrence()), Step: int(t.GetStep())}, Index: int(t.GetIndex()),
	}
}
