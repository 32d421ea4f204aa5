package job

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"regexp"
	"testing"

	"github.com/primrosereach/primrosereach/state/resource"
)

const testQueue = "q"

func configured(t *testing.T, attempts int) *State {
	t.Helper()
	s := New()
	apply(t, s, &Command{Configure: &Configuration{
		Version: 1,
		Queues:  []Queue{{Name: testQueue, Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: attempts, TimeoutMS: 1000}},
		Pools:   []Pool{{Name: "p"}},
	}})
	for i := range 3 {
		apply(t, s, &Command{Join: &Worker{
			Incarnation: Incarnation{ID: fmt.Sprint("w", i), StartedMS: 1}, Address: fmt.Sprint("10.0.0.", i, ":80"), Pool: "p",
			Capacity: resource.Amount{MilliCores: 4000, MemoryMB: 1000},
		}})
	}
	return s
}

var index uint64

func apply(t *testing.T, s *State, c *Command) Applied {
	t.Helper()
	index++
	a := s.Apply(index, c)
	if err := s.Check(); err != nil {
		t.Fatalf("%+v: %v", c, err)
	}
	return a
}

func submit(t *testing.T, s *State, id ID, steps ...Step) {
	t.Helper()
	if a := apply(t, s, &Command{Submit: &Submit{Submission: Submission{ID: id, Steps: steps}, Queue: testQueue}}); a.Rejected != nil {
		t.Fatal(a.Rejected)
	}
}

func small(count int) Step {
	return Step{Count: count, PerTask: resource.Amount{MilliCores: 1000, MemoryMB: 100}}
}

func assign(t *testing.T, s *State, id ID, step int, items ...Assignment) error {
	t.Helper()
	return apply(t, s, &Command{Assign: &Assign{StepRef: StepRef{Job: id, Step: step}, Items: items}}).Rejected
}

func end(t *testing.T, s *State, worker string, id ID, step, i, run int, kind EndKind) {
	t.Helper()
	apply(t, s, &Command{EndRuns: &EndRuns{Incarnation: Incarnation{worker, 1}, Runs: []RunEnd{{
		TaskRef: TaskRef{StepRef{Job: id, Step: step}, i}, Run: run, Kind: kind,
	}}}})
}

func on(worker string, i, run int) Assignment {
	return Assignment{Index: i, Run: run, Worker: worker, StartedMS: 1}
}

// Guards against assignments that violate a precondition because the leader's view was
// out of date when it proposed them.
func TestAssignmentsAreCheckedWhenApplied(t *testing.T) {
	s := configured(t, 2)
	big := Step{Count: 2, PerTask: resource.Amount{MilliCores: 3000}, MaxPerWorker: 1}
	submit(t, s, "a", big, Step{Count: 1, After: []int{0}, PerTask: resource.Amount{MilliCores: 1}})
	submit(t, s, "label", Step{Count: 1, RequiredLabel: "gold"})
	submit(t, s, "gang", Step{Count: 2, Gang: true})
	for name, err := range map[string]error{
		"over capacity":       assign(t, s, "a", 0, on("w0", 0, 1), on("w0", 1, 1)),
		"step not ready":      assign(t, s, "a", 1, on("w0", 0, 1)),
		"label missing":       assign(t, s, "label", 0, on("w0", 0, 1)),
		"part of a gang":      assign(t, s, "gang", 0, on("w0", 0, 1)),
		"earlier incarnation": assign(t, s, "a", 0, Assignment{Index: 0, Run: 1, Worker: "w0", StartedMS: 0}),
		"unknown worker":      assign(t, s, "a", 0, on("w9", 0, 1)),
		"run number 0":        assign(t, s, "a", 0, on("w0", 0, 0)),
		"task out of range":   assign(t, s, "a", 0, on("w0", 7, 1)),
	} {
		if err == nil {
			t.Errorf("%s: the assignment was applied", name)
		}
	}
	if err := assign(t, s, "a", 0, on("w0", 0, 1)); err != nil {
		t.Fatal(err)
	}
	if err := assign(t, s, "a", 0, on("w1", 0, 2)); err == nil {
		t.Error("a task that runs was assigned again")
	}
	apply(t, s, &Command{Drain: &Incarnation{"w2", 1}})
	if err := assign(t, s, "a", 0, on("w2", 1, 1)); err == nil {
		t.Error("a draining worker got a task")
	}
}

// Guards against a job that completes while a task is open, and against capacity of a
// worker that is released before the end of its own run is recorded.
func TestGangCompletesTogetherAndHoldsCapacity(t *testing.T) {
	s := configured(t, 2)
	gang := small(2)
	gang.Gang = true
	submit(t, s, "g", gang, Step{Count: 1, After: []int{0}})
	if err := assign(t, s, "g", 0, on("w0", 0, 1), on("w1", 1, 1)); err != nil {
		t.Fatal(err)
	}
	end(t, s, "w0", "g", 0, 0, 1, EndDone)
	if got := s.Worker("w1").Reserved.MilliCores; got != 1000 {
		t.Errorf("w1 reserves %d millicores before the end of its own run was recorded, want 1000", got)
	}
	if !s.Job("g").StepReady(StepRef{Job: "g", Step: 1}) {
		t.Error("the next step is not ready after the end of one member of the gang")
	}
	end(t, s, "w1", "g", 0, 1, 1, EndDone)
	if err := assign(t, s, "g", 1, on("w2", 0, 1)); err != nil {
		t.Fatal(err)
	}
	end(t, s, "w2", "g", 1, 0, 1, EndDone)
	if p := s.Job("g").Phase; p != Completed {
		t.Errorf("phase %s", p)
	}
}

// Guards against a task that gets more attempts than its queue allows, and against a
// task that uses up an attempt when its worker is lost.
func TestOnlyFailedEndsUseAttempts(t *testing.T) {
	s := configured(t, 2)
	submit(t, s, "f", small(1))
	run := 0
	for _, kind := range []EndKind{EndLeaseExpired, EndFailed, EndStopped, EndNotStarted} {
		run++
		if err := assign(t, s, "f", 0, on("w0", 0, run)); err != nil {
			t.Fatalf("after %d runs: %v", run-1, err)
		}
		end(t, s, "w0", "f", 0, 0, run, kind)
	}
	run++
	if err := assign(t, s, "f", 0, on("w0", 0, run)); err != nil {
		t.Fatal(err)
	}
	end(t, s, "w0", "f", 0, 0, run, EndFailed)
	if p := s.Job("f").Phase; p != Failed {
		t.Errorf("phase %s after two failed attempts of two", p)
	}
}

// Guards against the end of an earlier run, or of another incarnation of the worker,
// that ends the current run.
func TestStaleRunEndsAreIgnored(t *testing.T) {
	s := configured(t, 3)
	submit(t, s, "o", small(1))
	for run := 1; run <= 2; run++ {
		if err := assign(t, s, "o", 0, on("w0", 0, run)); err != nil {
			t.Fatal(err)
		}
		if run == 1 {
			end(t, s, "w0", "o", 0, 0, 1, EndStopped)
		}
	}
	end(t, s, "w0", "o", 0, 0, 1, EndDone)
	apply(t, s, &Command{EndRuns: &EndRuns{Incarnation: Incarnation{"w0", 9}, Runs: []RunEnd{{TaskRef: TaskRef{StepRef{Job: "o"}, 0}, Run: 2, Kind: EndDone}}}})
	if task := s.Job("o").Task(TaskRef{StepRef{Job: "o"}, 0}); task.Status != TaskAssigned || task.Run != 2 {
		t.Errorf("task %+v", task)
	}
}

// Guards against a delayed join of an earlier incarnation that replaces the worker at
// the same address, and against tasks that stay assigned after their worker restarted.
func TestLaterIncarnationReplacesEarlierOne(t *testing.T) {
	s := configured(t, 3)
	submit(t, s, "l", small(1))
	if err := assign(t, s, "l", 0, on("w0", 0, 1)); err != nil {
		t.Fatal(err)
	}
	restarted := &Worker{Incarnation: Incarnation{"w0-b", 5}, Address: "10.0.0.0:80", Pool: "p"}
	if a := apply(t, s, &Command{Join: restarted}); a.Rejected != nil || len(a.Jobs) != 1 {
		t.Fatalf("%+v", a)
	}
	if task := s.Job("l").Task(TaskRef{StepRef{Job: "l"}, 0}); task.Status != TaskWaiting {
		t.Errorf("task %+v", task)
	}
	late := &Worker{Incarnation: Incarnation{"w0", 1}, Address: "10.0.0.0:80", Pool: "p"}
	if a := apply(t, s, &Command{Join: late}); a.Rejected == nil {
		t.Error("an earlier incarnation replaced a later one")
	}
}

// Guards against a configuration that is replaced by an older or equal version.
func TestHighestConfigurationWins(t *testing.T) {
	s := configured(t, 1)
	apply(t, s, &Command{Configure: &Configuration{Version: 7}})
	for _, v := range []int64{3, 7} {
		if a := apply(t, s, &Command{Configure: &Configuration{Version: v, Pools: []Pool{{Name: "other"}}}}); a.Rejected == nil {
			t.Errorf("version %d replaced version 7", v)
		}
	}
	if len(s.Configuration().Pools) != 0 {
		t.Error("the content of a rejected version is in force")
	}
}

// Guards against a replica that is restored from a snapshot and differs from the replica
// that took the snapshot, after random commands.
func TestSnapshotRoundTripKeepsTheState(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := configured(t, 2)
		for step := range 60 {
			randomCommand(t, rng, s, step)
		}
		data, err := json.Marshal(s.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		var snap Snapshot
		if err := json.Unmarshal(data, &snap); err != nil {
			t.Fatal(err)
		}
		r := Restore(&snap)
		if err := r.Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		again, err := json.Marshal(r.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		var a, b Snapshot
		_, _ = json.Unmarshal(data, &a), json.Unmarshal(again, &b)
		sortJobs(&a)
		sortJobs(&b)
		if !reflect.DeepEqual(a, b) {
			t.Fatalf("seed %d:\n%s\n%s", seed, data, again)
		}
	}
}

func sortJobs(s *Snapshot) {
	byID := map[ID]*Job{}
	for _, j := range s.Jobs {
		byID[j.ID] = j
	}
	s.Jobs = s.Jobs[:0]
	for i := range 100 {
		if j := byID[ID(fmt.Sprint("j", i))]; j != nil {
			s.Jobs = append(s.Jobs, j)
		}
	}
}

func randomCommand(t *testing.T, rng *rand.Rand, s *State, n int) {
	id := ID(fmt.Sprint("j", rng.IntN(10)))
	worker := fmt.Sprint("w", rng.IntN(3))
	switch rng.IntN(8) {
	case 0, 1:
		st := small(1 + rng.IntN(3))
		st.Gang = rng.IntN(3) == 0
		apply(t, s, &Command{Submit: &Submit{Submission: Submission{ID: id, Steps: []Step{st}}, Queue: testQueue}})
	case 2, 3, 4:
		j := s.Job(id)
		if j == nil || len(j.Steps) == 0 {
			return
		}
		var items []Assignment
		for i := range j.Steps[0].Count {
			items = append(items, on(fmt.Sprint("w", rng.IntN(3)), i, n+1))
		}
		apply(t, s, &Command{Assign: &Assign{StepRef: StepRef{Job: id}, Items: items}})
	case 5:
		w := s.Worker(worker)
		if w == nil {
			return
		}
		for _, r := range w.SortedTasks() {
			kinds := []EndKind{EndDone, EndFailed, EndStopped, EndLeaseExpired}
			end(t, s, worker, r.Job, r.Step, r.Index, w.Tasks[r], kinds[rng.IntN(4)])
			return
		}
	case 6:
		apply(t, s, &Command{Cancel: &Cancel{Job: id}})
	case 7:
		if rng.IntN(4) == 0 {
			apply(t, s, &Command{Leave: &Leave{Incarnation: Incarnation{worker, 1}, KeepWorker: true}})
		}
	}
}

// Guards against an entry that ends every member at each restart: the record of the tasks of a
// job beyond the limits, which an earlier version accepted, uses up the memory.
func TestAssignmentOfJobBeyondTheLimitsIsRejected(t *testing.T) {
	s := New()
	s.Apply(1, &Command{Configure: &Configuration{Version: 1, Pools: []Pool{{Name: "p"}}, Queues: []Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", TimeoutMS: 1}}}})
	s.Apply(2, &Command{Submit: &Submit{Queue: "q", Submission: Submission{ID: "j", Steps: []Step{{Count: 1_000_000_000_000}}}}})
	s.Apply(3, &Command{Join: &Worker{Incarnation: Incarnation{ID: "w", StartedMS: 5}, Address: "w", Pool: "p"}})
	a := s.Apply(4, &Command{Assign: &Assign{StepRef: StepRef{Job: "j"}, Items: []Assignment{{Worker: "w", StartedMS: 5, Run: 1}}}})
	if a.Rejected == nil || s.Job("j").Occurrence(0) != nil {
		t.Errorf("the assignment was applied: %v", a.Rejected)
	}
}

// Guards against IDs of jobs that make the names of their tasks unreadable: every worker that
// runs one would list names that cannot be decoded, and count as unresponsive.
func TestJobIDsAreLimited(t *testing.T) {
	step := []Step{{Count: 1}}
	for id, valid := range map[ID]bool{"5c0e7a21d94b36f8": true, "a-b_C9": true, "": false, "a.b": false, "a/b": false, "a b": false, "a\n": false, "ü": false, ID(make([]byte, 100)): false} {
		s := Submission{ID: id, Steps: step}
		if err := s.Validate(); (err == nil) != valid {
			t.Errorf("ID %q: %v", id, err)
		}
	}
}

// Guards against members of two versions that come to different states from the same log, and
// against a restart that reads an old log differently: commands of the earlier version count each
// failed end of a gang, and its snapshots do not say which runs were counted.
func TestEndsOfEarlierVersionCountAsBefore(t *testing.T) {
	s := configured(t, 2)
	submit(t, s, "g", Step{Count: 2, PerTask: resource.Amount{MilliCores: 1000}, Gang: true})
	if err := assign(t, s, "g", 0, on("w0", 0, 1), on("w1", 1, 1)); err != nil {
		t.Fatal(err)
	}
	entry := func(worker string, i int) {
		var c Command
		text := fmt.Sprintf(`{"end":{"id":%q,"born_ms":1,"at_ms":5,"runs":[{"job":"g","index":%d,"run":1,"kind":"failed"}],"noted":1}}`, worker, i)
		if err := json.Unmarshal([]byte(text), &c); err != nil {
			t.Fatal(err)
		}
		apply(t, s, &c)
	}
	entry("w0", 0)
	snap, err := json.Marshal(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	old := new(Snapshot)
	if err := json.Unmarshal(regexp.MustCompile(`,"failed_run":\d+`).ReplaceAll(snap, nil), old); err != nil {
		t.Fatal(err)
	}
	s = Restore(old)
	entry("w1", 1)
	if p := s.Job("g").Phase; p != Failed {
		t.Errorf("the job is %s, the earlier version shows it as failed", p)
	}
}

// Guards against tombstones that are kept for good, are lost with a snapshot, or are deleted while a copy of the
// submission that they keep out can still be accepted.
func TestTombstonesLastAsLongAsCopiesAreAccepted(t *testing.T) {
	s := configured(t, 2)
	submit(t, s, "known", small(1))
	if a := apply(t, s, &Command{Tombstone: &Tombstone{Job: "known", Epoch: 1}}); a.Rejected == nil {
		t.Error("a tombstone was added for a job that is known")
	}
	sent := map[ID]int64{} // epoch of the submission of each cancelled job
	for epoch := int64(1); epoch < 8; epoch++ {
		id := ID(fmt.Sprint("c", epoch))
		sent[id] = epoch
		apply(t, s, &Command{Tombstone: &Tombstone{Job: id, Team: "a", Epoch: epoch}})
		if epoch%3 == 0 {
			s = Restore(s.Snapshot())
		}
		for id, e := range sent {
			if s.AcceptsEpoch(e) && !s.HasTombstone(id, "a") {
				t.Errorf("epoch %d: a copy of %s would be accepted", epoch, id)
			}
			if s.EpochExpired(e) && s.HasTombstone(id, "a") {
				t.Errorf("epoch %d: the tombstone of %s is kept", epoch, id)
			}
		}
		if n, total := s.Tombstones("a"); n != total || total > submissionEpochs {
			t.Errorf("epoch %d: %d tombstones, %d of the team", epoch, total, n)
		}
		apply(t, s, &Command{AdvanceEpoch: &AdvanceEpoch{Epoch: epoch + 1, AtMS: epoch}})
		if a := apply(t, s, &Command{AdvanceEpoch: &AdvanceEpoch{Epoch: epoch, AtMS: epoch}}); a.Rejected == nil || s.Epoch() != epoch+1 {
			t.Error("an epoch that is over was started again")
		}
	}
	if a := apply(t, s, &Command{Tombstone: &Tombstone{Job: "late", Epoch: 1}}); a.Rejected == nil {
		t.Error("a tombstone of an epoch that is over was added")
	}
}

// Guards against a state that an earlier version has stored: it holds no epoch.
func TestSnapshotOfAnEarlierVersionStartsTheFirstEpoch(t *testing.T) {
	if s := Restore(&Snapshot{}); s.Epoch() != 1 || !s.AcceptsEpoch(1) || s.EpochExpired(1) {
		t.Errorf("epoch %d", s.Epoch())
	}
}
