package protocol

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/protocol/peerv1"
	"github.com/primrosereach/primrosereach/state/job"
)

var testTask = job.TaskRef{StepRef: job.StepRef{Job: "0a1b", Occurrence: 2, Step: 1}, Index: 7}

// Guards against a relay that sends an order other than the leader's.
func TestOrdersKeepTheirFields(t *testing.T) {
	header := jobs.Order{ID: 5, Term: 9, Worker: job.Incarnation{ID: "i-1", StartedMS: 1_700_000_000_123}, Address: "10.0.0.9:8080"}
	for _, order := range []jobs.Effect{
		jobs.StartRun{Order: header, TaskRef: testTask, Run: 3, Spec: "text", UntilMS: 486_000, Ticket: "ticket", Checkpoint: "00ff"},
		jobs.StopRun{Order: header, TaskRef: testTask, Run: 3},
		jobs.PaceRun{Order: header, TaskRef: testTask, Run: 3, Percent: 40},
		jobs.Observe{Order: header, UntilMS: 486_000, AckedEnd: 12, WaitMS: 400, NextIncarnation: true},
	} {
		m, err := EncodeOrder(order)
		if err != nil {
			t.Fatal(err)
		}
		var received peerv1.Order
		transmit(t, m, &received)
		decoded, err := DecodeOrder(&received)
		if err != nil || !reflect.DeepEqual(decoded, order) {
			t.Errorf("%+v is decoded as %+v, %v", order, decoded, err)
		}
	}
}

// Guards against an end or a running task that the leader does not learn of.
func TestReportsKeepTheirFields(t *testing.T) {
	report := jobs.OrderReported{
		ID: 5, Term: 9, Result: jobs.OrderNoTicket, ClockMS: 482_113,
		Running: []jobs.RunningTask{{TaskRef: testTask, Run: 3, Checkpoint: "00ff", Percent: 41, Usage: 250}},
		Ended:   []jobs.EndedRun{{Number: 58, RunEnd: job.RunEnd{TaskRef: testTask, Run: 2, Kind: job.EndGangBroken, Checkpoint: "00fe"}}},
	}
	var received peerv1.OrderReport
	transmit(t, EncodeOrderReport(&report), &received)
	decoded, err := DecodeOrderReport(&received)
	if err != nil || !reflect.DeepEqual(decoded, report) {
		t.Errorf("%+v is decoded as %+v, %v", report, decoded, err)
	}
}

// Guards against orders and results of a newer version that are taken for others.
func TestUnknownOrdersAndResultsAreRejected(t *testing.T) {
	if _, err := DecodeOrder(&peerv1.Order{Kind: 99}); err == nil {
		t.Error("an order of an unknown kind is decoded")
	}
	if _, err := DecodeOrderReport(&peerv1.OrderReport{Result: 99}); err == nil {
		t.Error("an unknown result is decoded")
	}
}

func transmit(t *testing.T, from, to proto.Message) {
	t.Helper()
	b, err := proto.Marshal(from)
	if err == nil {
		err = proto.Unmarshal(b, to)
	}
	if err != nil {
		t.Fatal(err)
	}
}
