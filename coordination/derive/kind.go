package derive

import (
	"fmt"
	"strconv"

	"github.com/primrosereach/primrosereach/state"
)

// kindBuilder derives the configuration of one kind of work field by field.
type kindBuilder struct {
	*derivation
	team *Team
	work *Work
	kind state.KindConfig
}

func (b *kindBuilder) explainField(field, value, format string, args ...any) {
	b.explain(b.team, b.work, field, value, fmt.Sprintf(format, args...))
}

// classOf maps the answer to what matters most to a scheduling class. Work that starts at
// once, for which someone waits, or that keeps running has a class of its own. Of the
// rest, parts that start together are a gang, and work of which nothing may be lost and
// which has no size is deferrable; all other work is batch work.
func classOf(w *Work) state.Class {
	switch w.MattersMost {
	case StartsAtOnce:
		return state.ClassUrgent
	case SomeoneIsWaiting:
		return state.ClassInteractive
	case KeepsRunning:
		return state.ClassService
	}
	switch {
	case w.StartTogether:
		return state.ClassGang
	case w.MattersMost == NothingIsLost && w.Size == nil:
		return state.ClassDeferrable
	default:
		return state.ClassBatch
	}
}

var classReasons = map[state.Class]string{
	state.ClassUrgent:      "puts it before everything that may wait",
	state.ClassInteractive: "gives it reserved slots, so that it never waits behind long work",
	state.ClassDeferrable:  "gives it the slots that are left over, within a bound on its waiting",
	state.ClassBatch:       "puts it on workers, the earliest deadline first",
	state.ClassService:     "keeps it running on workers in different racks",
}

func (b *kindBuilder) class() {
	b.kind.Class = classOf(b.work)
	if b.kind.Class == state.ClassGang {
		b.explainField("class", "gang", "The answer %s says that all parts start together, so it gets all its workers at once or none.", answerParts)
		return
	}
	b.explainField("class", string(b.kind.Class), "The answer %s %q %s.", answerMattersMost, b.work.MattersMost, classReasons[b.kind.Class])
}

func (b *kindBuilder) repeatable() {
	b.kind.Repeatable = !b.work.NeverTwice
	if b.work.NeverTwice {
		b.explainField("repeatable", "false", "The answer %s is yes, so it is never started again once it may have run.", answerNeverTwice)
		return
	}
	b.explainField("repeatable", "true", "The answer %s is no, so it is started again when its endpoint is lost.", answerNeverTwice)
}

func (b *kindBuilder) perTask() {
	b.kind.PerTask = sizeOf(b.work)
	if b.work.Size == nil {
		b.explainField("per_task", "1 slot", "The answer %s is missing, so each part takes one slot of a runner.", answerSize)
		return
	}
	b.explainField("per_task", formatResources(b.kind.PerTask), "The answer %s reserves this for each part.", answerSize)
}

func sizeOf(w *Work) state.Resources {
	if w.Size == nil {
		return state.Resources{Slots: 1}
	}
	return *w.Size
}

func (b *kindBuilder) times() {
	if v := b.work.UsualRunMS; v != nil {
		b.kind.EstimateMS = *v
		b.explainField("estimate_ms", formatDuration(*v), "The answer %s is the estimate until enough run times have been measured.", answerUsualRun)
	}
	if v := b.work.FinishWithinMS; v != nil {
		b.kind.DeadlineMS = *v
		b.explainField("deadline_ms", formatDuration(*v), "The answer %s counts from the moment the request is accepted.", answerFinishWithin)
	}
	if v := b.work.MayWaitMS; v != nil && *v > 0 {
		b.kind.MaxWaitMS = *v
		b.explainField("max_wait_ms", formatDuration(*v), "The answer %s is the longest time before it starts.", answerMayWait)
	}
}

func (b *kindBuilder) retries() {
	switch {
	case b.work.TryAgain != nil:
		b.kind.Retries = *b.work.TryAgain
		b.explainField("retries", strconv.Itoa(b.kind.Retries), "The answer %s is the number of further attempts after a failure.", answerTryAgain)
	case b.work.NeverTwice:
		b.explainField("retries", "0", "The answer %s is yes, which rules out a second attempt.", answerNeverTwice)
	case b.kind.Class == state.ClassService:
		b.kind.Retries = ServiceRetries
		b.explainField("retries", strconv.Itoa(ServiceRetries), "The answer %s %q means that it is started again whenever it ends with a failure.", answerMattersMost, b.work.MattersMost)
	default:
		b.kind.Retries = DefaultRetries
		b.explainField("retries", strconv.Itoa(DefaultRetries), "The answer %s is missing and %s is no, so failed work gets the usual further attempts.", answerTryAgain, answerNeverTwice)
	}
}

func (b *kindBuilder) amounts() {
	b.kind.MaxTasks = b.work.Parts
	b.explainField("max_tasks", strconv.Itoa(b.work.Parts), "The answer %s bounds the parts of one request (1 if it is missing).", answerParts)
	if b.work.BusiestPerSec > 0 {
		b.kind.MaxPerSecond = b.work.BusiestPerSec
		b.explainField("max_per_second", strconv.Itoa(b.kind.MaxPerSecond), "The answer %s is the expected peak.", answerBusiest)
	}
}
