package admission

import (
	"math/rand"
	"testing"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// simulation is a first-come-first-served queue of one class in virtual time.
type simulation struct {
	queue    []task
	finish   []time.Duration // end times of the running tasks
	work     time.Duration   // sum of the learned run times of the waiting tasks
	capacity int             // slots
}

// task is a request of one task: its learned and its actual run time, and the virtual
// time of its deadline.
type task struct{ learned, actual, deadline time.Duration }

func (s *simulation) load() Loads {
	return Loads{state.ClassInteractive: {Queued: len(s.queue), QueuedWork: s.work, Running: len(s.finish), Capacity: s.capacity}}
}

// result counts the outcomes of a simulated surge.
type result struct{ offered, admitted, inTime int }

// runSurge runs 10 s of normal demand, 20 s of ten times that demand and 10 s of
// normal demand against 8 slots that can just serve twice the normal demand. Tasks
// take slowdown times as long as was learned.
func runSurge(seed int64, slowdown float64, limited bool) result {
	const step, run = 10 * time.Millisecond, time.Second / 4
	r := rand.New(rand.NewSource(seed))
	c, s, res := New(), &simulation{capacity: 8}, result{}
	normal := float64(s.capacity) / run.Seconds() / 2 / slowdown
	slack := time.Duration(slowdown * float64(2*time.Second))
	deadlines, arrivals := map[time.Duration][]task{}, 0.0
	for now := time.Duration(0); now < 60*time.Second; now += step {
		var still []time.Duration
		for _, at := range s.finish {
			if at > now {
				still = append(still, at)
			}
		}
		s.finish = still
		for _, done := range deadlines[now] {
			c.Completed(now, state.ClassInteractive, done.learned)
			if now <= done.deadline {
				res.inTime++
			}
		}
		rate := normal
		if now >= 10*time.Second && now < 30*time.Second {
			rate *= 10
		}
		if now < 40*time.Second {
			arrivals += rate * step.Seconds() * 2 * r.Float64()
		}
		for ; arrivals >= 1; arrivals-- {
			res.offered++
			t := task{learned: run, deadline: now + slack}
			t.actual = time.Duration(float64(run) * slowdown * (0.5 + r.Float64()))
			d := Decision{Admit: true}
			if limited {
				d = c.Decide(now, Request{Class: state.ClassInteractive, Tasks: 1, Run: run * 14 / 10, Slack: slack}, s.load()) // P90
			}
			if d.Admit {
				res.admitted++
				s.queue = append(s.queue, t)
				s.work += t.learned
			}
		}
		for len(s.queue) > 0 && len(s.finish) < s.capacity {
			t := s.queue[0]
			s.queue, s.work = s.queue[1:], s.work-t.learned
			end := (now + t.actual).Truncate(step) + step
			s.finish = append(s.finish, end)
			deadlines[end] = append(deadlines[end], t)
		}
	}
	return res
}

// Guards against admitting requests that miss their deadlines during a tenfold surge,
// and against leaving capacity unused, even when all estimates are far too short.
func TestTenfoldSurge(t *testing.T) {
	for _, c := range []struct {
		slowdown float64
		kept     float64 // least share of admitted requests that finish in time
	}{{0.25, 0.99}, {1, 0.99}, {4, 0.9}} {
		for seed := range int64(3) {
			with, without := runSurge(seed, c.slowdown, true), runSurge(seed, c.slowdown, false)
			t.Logf("slowdown %g, seed %d: limited %+v, not limited %+v", c.slowdown, seed, with, without)
			if share := float64(with.inTime) / float64(with.admitted); share < c.kept {
				t.Errorf("slowdown %g, seed %d: %.3f of the admitted requests were in time", c.slowdown, seed, share)
			}
			if with.inTime < 2*without.inTime {
				t.Errorf("slowdown %g, seed %d: %d in time, without limits %d", c.slowdown, seed, with.inTime, without.inTime)
			}
		}
	}
}

// BenchmarkDecide measures a decision with the rates of 400 teams.
func BenchmarkDecide(b *testing.B) {
	c := New()
	rates := map[string]state.KindConfig{}
	for i := range 400 {
		rates[string(rune('A'+i))] = kind(state.ClassUrgent, 1_000_000)
	}
	c.Configure(0, config(rates))
	loads := Loads{state.ClassUrgent: queued(10, 400), state.ClassDeferrable: queued(100, 20)}
	r := Request{Team: "A", Kind: "k", Class: state.ClassUrgent, Tasks: 1, Run: time.Second, Slack: time.Minute}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * time.Millisecond
		c.Completed(now, state.ClassUrgent, time.Second)
		c.Decide(now, r, loads)
	}
}
