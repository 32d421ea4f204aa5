package derive

import (
	"fmt"

	"github.com/primrosereach/primrosereach/state"
)

// complaint is a question about one kind of work. The zero value is none.
type complaint struct{ answers, text, proposal string }

// checkWork asks about answers of one kind of work that are missing or contradict
// each other.
func (d *derivation) checkWork(t *Team, w *Work) {
	for _, check := range []func(*Work) complaint{
		checkDeadlineNeeded, checkWaitNeeded, checkSizeNeeded, checkRunTime, checkWaiting,
		checkWaitAllowed, checkRetries, checkService, checkTogether,
	} {
		if c := check(w); c.text != "" {
			d.ask(t, w, c.answers, c.text, c.proposal)
		}
	}
}

func checkDeadlineNeeded(w *Work) complaint {
	if w.FinishWithinMS != nil {
		return complaint{}
	}
	switch w.MattersMost {
	case FinishedInTime:
		return complaint{answerFinishWithin, "By when must it be finished, counted from handing it over?",
			"\"4 hours\", or the time that remains before the print slot; a caller may name a shorter time with each request"}
	case SomeoneIsWaiting:
		return complaint{answerFinishWithin, "After how long does the person who waits give up?", "\"10 seconds\""}
	}
	return complaint{}
}

func checkWaitNeeded(w *Work) complaint {
	if w.MattersMost != NothingIsLost || w.MayWaitMS != nil {
		return complaint{}
	}
	return complaint{answerMayWait, "How long may it wait before it starts?", "\"1 day\""}
}

func checkSizeNeeded(w *Work) complaint {
	onWorker := w.MattersMost == FinishedInTime || w.MattersMost == KeepsRunning || w.StartTogether
	onRunner := w.MattersMost == StartsAtOnce || w.MattersMost == SomeoneIsWaiting
	switch {
	case onRunner && w.Size != nil:
		return complaint{answerSize + ", " + answerMattersMost,
			fmt.Sprintf("Work for which %q matters most runs in a slot of a runner, but this work needs %s. Does it fit in a slot?", w.MattersMost, resources(*w.Size)),
			fmt.Sprintf("remove %s if it fits in a slot, or answer %s with %q", answerSize, answerMattersMost, FinishedInTime)}
	case onWorker && w.Size == nil:
		return complaint{answerSize, "How many cores and how much memory does one part need?", `{"cores": 2, "memory_gb": 4}`}
	}
	return complaint{}
}

func checkRunTime(w *Work) complaint {
	if w.FinishWithinMS == nil || w.UsualRunMS == nil || *w.UsualRunMS <= *w.FinishWithinMS {
		return complaint{}
	}
	return complaint{answerFinishWithin + ", " + answerUsualRun,
		fmt.Sprintf("It usually runs for %s but must be finished within %s. Which of the two is right?", words(*w.UsualRunMS), words(*w.FinishWithinMS)),
		fmt.Sprintf("answer %s with %q or more", answerFinishWithin, words(*w.UsualRunMS+waitOf(w)))}
}

// checkWaiting is silent where checkRunTime has asked already.
func checkWaiting(w *Work) complaint {
	if w.FinishWithinMS == nil || waitOf(w) == 0 || w.UsualRunMS != nil && *w.UsualRunMS > *w.FinishWithinMS {
		return complaint{}
	}
	var run int64
	if w.UsualRunMS != nil {
		run = *w.UsualRunMS
	}
	if waitOf(w)+run <= *w.FinishWithinMS {
		return complaint{}
	}
	proposal := fmt.Sprintf("answer %s with %q or more", answerFinishWithin, words(waitOf(w)+run))
	if left := *w.FinishWithinMS - run; left > 0 {
		proposal += fmt.Sprintf(", or %s with %q or less", answerMayWait, words(left))
	}
	return complaint{answerMayWait + ", " + answerFinishWithin,
		fmt.Sprintf("It may wait %s and then runs %s, but must be finished within %s. How long may it really wait?", words(waitOf(w)), words(run), words(*w.FinishWithinMS)), proposal}
}

func waitOf(w *Work) int64 {
	if w.MayWaitMS == nil {
		return 0
	}
	return *w.MayWaitMS
}

func checkWaitAllowed(w *Work) complaint {
	if waitOf(w) == 0 || w.MattersMost != StartsAtOnce && w.MattersMost != SomeoneIsWaiting {
		return complaint{}
	}
	return complaint{answerMayWait + ", " + answerMattersMost,
		fmt.Sprintf("The answer %s is %q, but it may wait %s. May it wait?", answerMattersMost, w.MattersMost, words(waitOf(w))),
		fmt.Sprintf("answer %s with \"no\", or %s with %q", answerMayWait, answerMattersMost, NothingIsLost)}
}

func checkRetries(w *Work) complaint {
	if !w.NeverTwice || w.TryAgain == nil || *w.TryAgain == 0 {
		return complaint{}
	}
	return complaint{answerNeverTwice + ", " + answerTryAgain,
		fmt.Sprintf("It must never happen twice, but is to be tried again %d times after a failure. A failed attempt may have had its effect. Which answer holds?", *w.TryAgain),
		fmt.Sprintf("answer %s with 0; a person then decides after each failure", answerTryAgain)}
}

func checkService(w *Work) complaint {
	switch {
	case w.MattersMost != KeepsRunning:
	case w.NeverTwice:
		return complaint{answerMattersMost + ", " + answerNeverTwice,
			"Work that keeps running is started again after each failure, but this work must never happen twice. May it be started again?",
			fmt.Sprintf("answer %s with false", answerNeverTwice)}
	case w.FinishWithinMS != nil || w.UsualRunMS != nil:
		return complaint{answerMattersMost + ", " + answerFinishWithin + ", " + answerUsualRun,
			"Work that keeps running does not end, but a time to finish or to run is given. Does it end by itself?",
			fmt.Sprintf("remove %s and %s, or answer %s with %q", answerFinishWithin, answerUsualRun, answerMattersMost, FinishedInTime)}
	}
	return complaint{}
}

func checkTogether(w *Work) complaint {
	switch {
	case !w.StartTogether:
	case classOf(w) != state.ClassGang:
		return complaint{answerParts + ", " + answerMattersMost,
			fmt.Sprintf("All parts are to start together, which work with %s %q cannot do. Must they start together?", answerMattersMost, w.MattersMost),
			fmt.Sprintf("answer parts.start_together with false, or %s with %q", answerMattersMost, FinishedInTime)}
	case w.Parts < 2:
		return complaint{answerParts, "All parts are to start together, but there is only one. How many parts are there at most?", `{"at_most": 8, "start_together": true}`}
	}
	return complaint{}
}
