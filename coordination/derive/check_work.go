package derive

import (
	"fmt"

	"github.com/primrosereach/primrosereach/state"
)

// workQuestion is a question about one kind of work. The zero value means no question.
type workQuestion struct{ answers, text, proposal string }

// checkWork asks about answers of one kind of work that are missing or contradict
// each other.
func (d *derivation) checkWork(t *Team, w *Work) {
	for _, check := range []func(*Work) workQuestion{
		checkDeadlineNeeded, checkWaitNeeded, checkSizeNeeded, checkRunTime, checkWaiting,
		checkWaitAllowed, checkRetries, checkService, checkTogether,
	} {
		if c := check(w); c.text != "" {
			d.ask(t, w, c.answers, c.text, c.proposal)
		}
	}
}

func checkDeadlineNeeded(w *Work) workQuestion {
	if w.FinishWithinMS != nil {
		return workQuestion{}
	}
	switch w.MattersMost {
	case FinishedInTime:
		return workQuestion{answerFinishWithin, "By when must it be finished, counted from handing it over?",
			"\"4 hours\", or the time that remains before the print slot; a caller may name a shorter time with each request"}
	case SomeoneIsWaiting:
		return workQuestion{answerFinishWithin, "After how long does the person who waits give up?", "\"10 seconds\""}
	}
	return workQuestion{}
}

func checkWaitNeeded(w *Work) workQuestion {
	if w.MattersMost != NothingIsLost || w.MayWaitMS != nil {
		return workQuestion{}
	}
	return workQuestion{answerMayWait, "How long may it wait before it starts?", "\"1 day\""}
}

func checkSizeNeeded(w *Work) workQuestion {
	onWorker := w.MattersMost == FinishedInTime || w.MattersMost == KeepsRunning || w.StartTogether
	onRunner := w.MattersMost == StartsAtOnce || w.MattersMost == SomeoneIsWaiting
	switch {
	case onRunner && w.Size != nil:
		return workQuestion{answerSize + ", " + answerMattersMost,
			fmt.Sprintf("Work for which %q matters most runs in a slot of a runner, but this work needs %s. Does it fit in a slot?", w.MattersMost, formatResources(*w.Size)),
			fmt.Sprintf("remove %s if it fits in a slot, or answer %s with %q", answerSize, answerMattersMost, FinishedInTime)}
	case onWorker && w.Size == nil:
		return workQuestion{answerSize, "How many cores and how much memory does one part need?", `{"cores": 2, "memory_gb": 4}`}
	}
	return workQuestion{}
}

func checkRunTime(w *Work) workQuestion {
	if w.FinishWithinMS == nil || w.UsualRunMS == nil || *w.UsualRunMS <= *w.FinishWithinMS {
		return workQuestion{}
	}
	return workQuestion{answerFinishWithin + ", " + answerUsualRun,
		fmt.Sprintf("It usually runs for %s but must be finished within %s. Which of the two is right?", formatDuration(*w.UsualRunMS), formatDuration(*w.FinishWithinMS)),
		fmt.Sprintf("answer %s with %q or more", answerFinishWithin, formatDuration(*w.UsualRunMS+waitOf(w)))}
}

// checkWaiting asks about a wait and a run time that together exceed the deadline. It
// asks nothing if the run time alone exceeds it, since checkRunTime asks about that.
func checkWaiting(w *Work) workQuestion {
	if w.FinishWithinMS == nil || waitOf(w) == 0 || w.UsualRunMS != nil && *w.UsualRunMS > *w.FinishWithinMS {
		return workQuestion{}
	}
	var run int64
	if w.UsualRunMS != nil {
		run = *w.UsualRunMS
	}
	if waitOf(w)+run <= *w.FinishWithinMS {
		return workQuestion{}
	}
	proposal := fmt.Sprintf("answer %s with %q or more", answerFinishWithin, formatDuration(waitOf(w)+run))
	if left := *w.FinishWithinMS - run; left > 0 {
		proposal += fmt.Sprintf(", or %s with %q or less", answerMayWait, formatDuration(left))
	}
	return workQuestion{answerMayWait + ", " + answerFinishWithin,
		fmt.Sprintf("It may wait %s and then runs %s, but must be finished within %s. How long may it really wait?", formatDuration(waitOf(w)), formatDuration(run), formatDuration(*w.FinishWithinMS)), proposal}
}

// waitOf returns the longest wait in milliseconds, 0 if it was not answered.
func waitOf(w *Work) int64 {
	if w.MayWaitMS == nil {
		return 0
	}
	return *w.MayWaitMS
}

func checkWaitAllowed(w *Work) workQuestion {
	if waitOf(w) == 0 || w.MattersMost != StartsAtOnce && w.MattersMost != SomeoneIsWaiting {
		return workQuestion{}
	}
	return workQuestion{answerMayWait + ", " + answerMattersMost,
		fmt.Sprintf("The answer %s is %q, but it may wait %s. May it wait?", answerMattersMost, w.MattersMost, formatDuration(waitOf(w))),
		fmt.Sprintf("answer %s with \"no\", or %s with %q", answerMayWait, answerMattersMost, NothingIsLost)}
}

func checkRetries(w *Work) workQuestion {
	if !w.NeverTwice || w.TryAgain == nil || *w.TryAgain == 0 {
		return workQuestion{}
	}
	return workQuestion{answerNeverTwice + ", " + answerTryAgain,
		fmt.Sprintf("It must never happen twice, but is to be tried again %d times after a failure. A failed attempt may have had its effect. Which answer holds?", *w.TryAgain),
		fmt.Sprintf("answer %s with 0; a person then decides after each failure", answerTryAgain)}
}

func checkService(w *Work) workQuestion {
	switch {
	case w.MattersMost != KeepsRunning:
	case w.NeverTwice:
		return workQuestion{answerMattersMost + ", " + answerNeverTwice,
			"Work that keeps running is started again after each failure, but this work must never happen twice. May it be started again?",
			fmt.Sprintf("answer %s with false", answerNeverTwice)}
	case w.FinishWithinMS != nil || w.UsualRunMS != nil:
		return workQuestion{answerMattersMost + ", " + answerFinishWithin + ", " + answerUsualRun,
			"Work that keeps running does not end, but a time to finish or to run is given. Does it end by itself?",
			fmt.Sprintf("remove %s and %s, or answer %s with %q", answerFinishWithin, answerUsualRun, answerMattersMost, FinishedInTime)}
	}
	return workQuestion{}
}

func checkTogether(w *Work) workQuestion {
	switch {
	case !w.StartTogether:
	case classOf(w) != state.ClassGang:
		return workQuestion{answerParts + ", " + answerMattersMost,
			fmt.Sprintf("All parts are to start together, which work with %s %q cannot do. Must they start together?", answerMattersMost, w.MattersMost),
			fmt.Sprintf("answer parts.start_together with false, or %s with %q", answerMattersMost, FinishedInTime)}
	case w.Parts < 2:
		return workQuestion{answerParts, "All parts are to start together, but there is only one. How many parts are there at most?", `{"at_most": 8, "start_together": true}`}
	}
	return workQuestion{}
}
