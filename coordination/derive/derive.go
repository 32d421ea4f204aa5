package derive

import (
	"fmt"

	"github.com/primrosereach/primrosereach/state"
)

// Names of the answers, as the questionnaire spells them.
const (
	answerMattersMost  = "matters_most"
	answerNeverTwice   = "must_never_happen_twice"
	answerMayWait      = "may_wait"
	answerFinishWithin = "finished_within"
	answerUsualRun     = "usual_run_time"
	answerTryAgain     = "try_again"
	answerSize         = "size"
	answerParts        = "parts"
	answerBusiest      = "busiest_second"
	answerAtMost       = "at_most"
	answerComputers    = "computers"
)

// DefaultRetries is the number of further attempts of repeatable work, other than
// services, if the team did not answer. If a job fails on 3 different endpoints, the job is at fault and not the
// endpoints, docs/design.md 8.
const DefaultRetries = 2

// ServiceRetries is the number of further attempts of a service. It allows one failure a
// day for almost three years: a service is to be started again after each failure, and
// the number only has to be finite.
const ServiceRetries = 1000

// Derive returns the configuration that follows from the answers, the explanations, and
// the questions that remain. The result depends on nothing but the answers.
func Derive(a Answers) Result {
	d := derivation{Result: Result{Configuration: state.Configuration{Teams: map[string]state.TeamConfig{}}}}
	for i := range a.Teams {
		t := &a.Teams[i]
		d.Configuration.Teams[t.Name] = d.team(t, a.Site)
	}
	if a.Site != nil {
		d.checkSite(a.Site, a.Teams)
	}
	return d.Result
}

// derivation collects explanations and questions.
type derivation struct{ Result }

func (d *derivation) team(t *Team, site *Site) state.TeamConfig {
	c := state.TeamConfig{Kinds: map[string]state.KindConfig{}}
	if t.AtMost == nil {
		d.askQuota(t, site)
	} else {
		c.Quota = *t.AtMost
		d.explain(t, nil, "quota", formatResources(c.Quota), fmt.Sprintf("The answer %s says that everything of the team together uses at most %s.", answerAtMost, formatResources(c.Quota)))
		d.checkQuota(t, site)
	}
	for i := range t.Work {
		w := &t.Work[i]
		c.Kinds[w.Name] = d.kind(t, w)
		d.checkWork(t, w)
	}
	return c
}

func (d *derivation) kind(t *Team, w *Work) state.KindConfig {
	b := kindBuilder{derivation: d, team: t, work: w}
	b.class()
	b.repeatable()
	b.perTask()
	b.times()
	b.retries()
	b.amounts()
	return b.kind
}

func (d *derivation) explain(t *Team, w *Work, field, value, because string) {
	e := Explanation{Team: t.Name, Field: field, Value: value, Because: because}
	if w != nil {
		e.Work = w.Name
	}
	d.Explanations = append(d.Explanations, e)
}

func (d *derivation) ask(t *Team, w *Work, answers, text, proposal string) {
	q := Question{Source: t.Source, Team: t.Name, Answers: answers, Text: text, Proposal: proposal}
	if w != nil {
		q.Work = w.Name
	}
	d.Questions = append(d.Questions, q)
}
