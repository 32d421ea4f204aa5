package jobs

import (
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// Guards against a ticket for an earlier incarnation of a worker that is used to start a task on
// the next one, which rejects it: the answer arrives when the worker has been replaced.
func TestAdviceCountsForTheIncarnationAskedAbout(t *testing.T) {
	sim := newReadySimulation(t, 51, 1, &job.Advice{PerCallMS: 10, PerWorkerMS: 0.2, ValidMS: 1500})
	l := sim.leader
	sim.submit("/u/", job.Submission{ID: "a", Steps: []job.Step{tasks(1, 100, 500)}}) // fits nowhere
	sim.run(sim.now + 300*time.Millisecond)
	s, w := l.steps[job.StepRef{Job: "a"}], l.workers["w0"]
	earlier := w.Incarnation
	earlier.StartedMS--
	s.advice = advice{}
	l.adviceAnswered(AdviceAnswered{
		Request: RequestAdvice{Term: l.term, Step: s.ref, Workers: []job.Incarnation{earlier}}, Approved: []Ticket{{Worker: "w0", Ticket: "t"}},
	})
	if s.approves(w) {
		t.Error("an answer about an earlier incarnation counts for the present one")
	}
	l.adviceAnswered(AdviceAnswered{
		Request: RequestAdvice{Term: l.term, Step: s.ref, Workers: []job.Incarnation{w.Incarnation}}, Approved: []Ticket{{Worker: "w0", Ticket: "t"}},
	})
	if !s.approves(w) {
		t.Error("an answer about the present incarnation does not count")
	}
}
