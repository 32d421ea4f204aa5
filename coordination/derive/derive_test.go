package derive

import (
	"strings"
	"testing"

	"github.com/primrosereach/primrosereach/state"
)

func ms(seconds int64) *int64 { v := seconds * 1000; return &v }

func number(n int) *int { return &n }

func cores(n int) *state.Resources { return &state.Resources{MilliCores: 1000 * n, MemoryMB: 1024 * n} }

// review returns answers without contradictions about work that starts at once.
func review() Work {
	return Work{Name: "review", MattersMost: StartsAtOnce, NeverTwice: true, FinishWithinMS: ms(300), UsualRunMS: ms(10), Parts: 1, BusiestPerSec: 2}
}

// run returns answers without contradictions about large work with a deadline.
func run() Work {
	return Work{Name: "run", MattersMost: FinishedInTime, FinishWithinMS: ms(3600), UsualRunMS: ms(600), MayWaitMS: ms(60), Size: cores(2), Parts: 4}
}

func answersOf(works ...Work) Answers {
	return Answers{
		Site: &Site{Source: "site", Domains: 2, Runners: []Computers{{10, state.Resources{Slots: 8}}}, Workers: []Computers{{4, *cores(16)}}},
		Teams: []Team{{Source: "form", Name: "t", Work: works,
			AtMost: &state.Resources{Slots: 40, MilliCores: 32_000, MemoryMB: 32_768}}},
	}
}

// Guards against a wrong class, limit or default in the configuration of a kind.
func TestDerivedPolicies(t *testing.T) {
	together := run()
	together.Name, together.StartTogether = "together", true
	service := Work{Name: "service", MattersMost: KeepsRunning, Size: cores(1), Parts: 3}
	check := Work{Name: "check", MattersMost: NothingIsLost, MayWaitMS: ms(7200), TryAgain: number(7), Parts: 1}
	lookup := Work{Name: "lookup", MattersMost: SomeoneIsWaiting, FinishWithinMS: ms(10), Parts: 1}
	r := Derive(answersOf(review(), run(), together, service, check, lookup))
	if len(r.Questions) > 0 {
		t.Fatalf("%+v", r.Questions)
	}
	want := map[string]state.KindConfig{
		"review":   {Class: state.ClassUrgent, PerTask: state.Resources{Slots: 1}, EstimateMS: 10_000, DeadlineMS: 300_000, MaxTasks: 1, MaxPerSecond: 2},
		"run":      {Class: state.ClassBatch, Repeatable: true, PerTask: *cores(2), EstimateMS: 600_000, DeadlineMS: 3_600_000, MaxWaitMS: 60_000, Retries: DefaultRetries, MaxTasks: 4},
		"together": {Class: state.ClassGang, Repeatable: true, PerTask: *cores(2), EstimateMS: 600_000, DeadlineMS: 3_600_000, MaxWaitMS: 60_000, Retries: DefaultRetries, MaxTasks: 4},
		"service":  {Class: state.ClassService, Repeatable: true, PerTask: *cores(1), Retries: ServiceRetries, MaxTasks: 3},
		"check":    {Class: state.ClassDeferrable, Repeatable: true, PerTask: state.Resources{Slots: 1}, MaxWaitMS: 7_200_000, Retries: 7, MaxTasks: 1},
		"lookup":   {Class: state.ClassInteractive, Repeatable: true, PerTask: state.Resources{Slots: 1}, DeadlineMS: 10_000, Retries: DefaultRetries, MaxTasks: 1},
	}
	for name, k := range want {
		if got := r.Configuration.Teams["t"].Kinds[name]; got != k {
			t.Errorf("%s:\n got %+v\nwant %+v", name, got, k)
		}
	}
}

// Guards against derived values without an explanation, which a team could not check.
func TestEveryValueIsExplained(t *testing.T) {
	r := Derive(answersOf(review(), run()))
	explained := map[string]bool{}
	for _, e := range r.Explanations {
		explained[e.Work+" "+e.Field] = true
		if strings.Count(e.Because, ".") != 1 || !strings.HasSuffix(e.Because, ".") || !strings.Contains(e.Because, "answer") {
			t.Errorf("not one sentence that names an answer: %q", e.Because)
		}
	}
	for _, field := range []string{" quota", "run class", "run repeatable", "run per_task", "run estimate_ms", "run deadline_ms", "run max_wait_ms", "run retries", "run max_tasks", "review max_per_second"} {
		if !explained[field] {
			t.Errorf("%q is not explained", field)
		}
	}
}

// Guards against contradictory answers to the questionnaire that lead to no further
// question. Without one, each set of answers below would give a configuration under which
// work runs twice, expires or never starts.
func TestContradictionsAreAsked(t *testing.T) {
	for name, c := range map[string]struct {
		work     Work
		change   func(w *Work, a *Answers)
		answers  string
		proposal string
	}{
		"deadline shorter than the run":      {run(), func(w *Work, _ *Answers) { w.FinishWithinMS = ms(300) }, "finished_within, usual_run_time", `"11 minutes" or more`},
		"waiting uses up the deadline":       {run(), func(w *Work, _ *Answers) { w.MayWaitMS = ms(3500) }, "may_wait, finished_within", `may_wait with "50 minutes" or less`},
		"no time to finish":                  {run(), func(w *Work, _ *Answers) { w.FinishWithinMS = nil }, "finished_within", "4 hours"},
		"unrepeatable with retries":          {review(), func(w *Work, _ *Answers) { w.TryAgain = number(2) }, "must_never_happen_twice, try_again", "try_again with 0"},
		"urgent but may wait":                {review(), func(w *Work, _ *Answers) { w.MayWaitMS = ms(60) }, "may_wait, matters_most", `"no"`},
		"no bound on waiting":                {review(), func(w *Work, _ *Answers) { w.MattersMost = NothingIsLost }, "may_wait", "1 day"},
		"urgent but large":                   {review(), func(w *Work, _ *Answers) { w.Size = cores(4) }, "size, matters_most", "finished_in_time"},
		"large work without a size":          {run(), func(w *Work, _ *Answers) { w.Size = nil }, "size", "memory_gb"},
		"service that must not happen twice": {Work{Name: "s", MattersMost: KeepsRunning, Size: cores(1), NeverTwice: true, Parts: 1}, nil, "matters_most, must_never_happen_twice", "false"},
		"service that ends":                  {Work{Name: "s", MattersMost: KeepsRunning, Size: cores(1), UsualRunMS: ms(5), Parts: 1}, nil, "matters_most, finished_within, usual_run_time", "finished_in_time"},
		"one part that starts together":      {run(), func(w *Work, _ *Answers) { w.StartTogether, w.Parts = true, 1 }, "parts", "start_together"},
		"together in slots":                  {review(), func(w *Work, _ *Answers) { w.StartTogether, w.Parts, w.Size = true, 2, cores(1) }, "parts, matters_most", "start_together with false"},
		"larger than the limit":              {run(), func(w *Work, a *Answers) { a.Teams[0].AtMost = &state.Resources{MilliCores: 3000, MemoryMB: 3072} }, "at_most, size, parts", "at least 4 cores"},
		"larger than a domain's share":       {run(), func(w *Work, _ *Answers) { w.Parts, w.StartTogether = 12, true }, "at_most, size, parts", "at least 40 small tasks, 48 cores"},
		"larger than any computer":           {run(), func(w *Work, _ *Answers) { w.Size, w.Parts = cores(17), 1 }, "size, computers", "at most 16 cores"},
		"limit over what there is":           {run(), func(_ *Work, a *Answers) { a.Teams[0].AtMost.MilliCores = 65_000 }, "at_most", "64 cores"},
		"limits together over what there is": {run(), func(_ *Work, a *Answers) { a.Teams = append(a.Teams, Team{Name: "u", AtMost: cores(33)}) }, "at_most, computers", "0.98"},
		"peak over the limit":                {review(), func(w *Work, _ *Answers) { w.BusiestPerSec = 5 }, "at_most, busiest_second, usual_run_time", "at least 50"},
		"no limit":                           {review(), func(_ *Work, a *Answers) { a.Teams[0].AtMost = nil }, "at_most", "20 small tasks"},
	} {
		t.Run(name, func(t *testing.T) {
			a := answersOf(c.work)
			if c.change != nil {
				c.change(&a.Teams[0].Work[0], &a)
			}
			for _, q := range Derive(a).Questions {
				if q.Answers == c.answers && strings.Contains(q.Proposal, c.proposal) && strings.HasSuffix(q.Text, "?") {
					return
				}
			}
			t.Fatalf("not asked; questions: %+v", Derive(a).Questions)
		})
	}
}
