package protocol

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/protocol/peerv1"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/state/job"
)

// FuzzPeerMessages feeds arbitrary bytes to the decoders of everything that processes send each
// other. It guards against a damaged message that ends the process that receives it.
func FuzzPeerMessages(f *testing.F) {
	order, err := EncodeOrder(jobs.StartRun{Order: jobs.Order{ID: 1, Address: "10.0.0.1:1"}, Run: 1})
	if err != nil {
		f.Fatal(err)
	}
	seed := &peerv1.DeliverRequest{
		Messages: []*peerv1.Message{{Type: "append", Group: "jobs", Entries: []*peerv1.Entry{{Index: 1, Term: 1, Command: []byte(`{"job":{"cancel":{"job":"j"}}}`)}}}},
		Orders:   []*peerv1.Order{order}, Reports: []*peerv1.OrderReport{{Id: 1, Result: 2, Running: []*peerv1.RunningTask{{Run: 1}}}},
	}
	data, err := proto.Marshal(seed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"worker":{"id":"i","born_ms":9223372036854775807},"submission":{"steps":[{"count":1000000000000}]}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var r peerv1.DeliverRequest
		if proto.Unmarshal(data, &r) == nil {
			decodeAll(&r)
		}
		for _, name := range []OperationName{OpJobSubmit, OpJobDryRun, OpJobConfigure, OpStartWave, OpWorkerHeartbeat, OpProcessHeartbeat, OpDeregisterWorker} {
			_, _ = DecodeJobEvent(Operation{Name: name, Body: data}, 1) // only a panic is a failure
		}
		_, _ = DecodeJobAnswer(Result{Body: data})
	})
}

func decodeAll(r *peerv1.DeliverRequest) {
	for _, m := range r.Messages {
		_, _ = DecodeMessage(m) // only a panic is a failure
	}
	for _, o := range r.Orders {
		_, _ = DecodeOrder(o)
	}
	for _, x := range r.Reports {
		if e, err := DecodeOrderReport(x); err == nil {
			_ = e.Result.String()
		}
	}
}

// FuzzCommands applies arbitrary commands to the replicated state. It guards against an entry
// that every member applies and that ends every member, again at each restart.
func FuzzCommands(f *testing.F) {
	f.Add([]byte(`{"job":{"submit":{"id":"j","queue":"q","steps":[{"count":1000000000000}]}}}`), []byte(`{"job":{"assign":{"job":"j","items":[{"w":"w","born":5,"run":1}]}}}`))
	f.Add([]byte(`{"job":{"join":{"id":"w","born_ms":9223372036854775807,"capacity":{"milli_cores":-1}}}}`), []byte(`{"job":{"leave":{"id":"w"}}}`))
	f.Add([]byte(`{"job":{"assign":{"job":"k","step":0,"items":[{"i":-1,"w":"v","born":5,"run":1}]}}}`), []byte(`{"job":{"end":{"id":"v","born_ms":5,"runs":[{"job":"k","index":9}]}}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := job.New()
		s.Apply(1, &job.Command{Configure: &job.Configuration{Version: 1, Pools: []job.Pool{{Name: "p"}}, Queues: []job.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", TimeoutMS: 1}}}})
		s.Apply(2, &job.Command{Submit: &job.Submit{Queue: "q", Submission: job.Submission{ID: "k", Steps: []job.Step{{Count: 2}}}}})
		s.Apply(3, &job.Command{Join: &job.Worker{Incarnation: job.Incarnation{ID: "v", StartedMS: 5}, Address: "v", Pool: "p"}})
		for i, data := range [][]byte{first, second} {
			if c, err := state.DecodeCommand(data); err == nil && c.Job != nil {
				s.Apply(uint64(4+i), c.Job)
			}
		}
	})
}
