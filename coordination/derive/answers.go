// Package derive turns the answers of the teams' questionnaires into the
// configuration of a cell. It explains each value by the answer it comes from,
// and replies to answers that contradict each other with a question and a
// proposal.
package derive

import "github.com/primrosereach/primrosereach/state"

// Priority is a team's answer to what matters most about a kind of work.
type Priority string

// Priorities.
const (
	StartsAtOnce     Priority = "starts_at_once"     // urgent: before everything that may wait
	SomeoneIsWaiting Priority = "someone_is_waiting" // a person waits for the answer
	NothingIsLost    Priority = "nothing_is_lost"    // may wait, but is certainly done
	FinishedInTime   Priority = "finished_in_time"   // large work with a time by which it must be finished
	KeepsRunning     Priority = "keeps_running"      // started once, runs until it is stopped
)

// Priorities lists every priority once.
var Priorities = []Priority{StartsAtOnce, SomeoneIsWaiting, NothingIsLost, FinishedInTime, KeepsRunning}

// Answers are all questionnaires of a cell.
type Answers struct {
	Site  *Site // nil if nobody described the computers
	Teams []Team
}

// Site describes the computers of the cell.
type Site struct {
	Source  string // file name, for questions
	Domains int    // number of failure domains, at least 1
	Runners []Computers
	Workers []Computers
}

// Computers is a number of equal endpoints.
type Computers struct {
	Count    int
	Capacity state.Resources // of one
}

// Team is the questionnaire of one team.
type Team struct {
	Source string // file name, for questions
	Name   string
	AtMost *state.Resources // everything of the team together, in the cell; nil if not answered
	Work   []Work
}

// Work is what a team answered about one kind of work. A pointer is nil if the
// question was not answered.
type Work struct {
	Name           string
	MattersMost    Priority
	NeverTwice     bool   // must never happen twice
	MayWaitMS      *int64 // how long it may wait before it starts
	FinishWithinMS *int64 // milliseconds from handing over to the end
	UsualRunMS     *int64 // milliseconds that one task usually runs
	TryAgain       *int   // further attempts after a failure
	Size           *state.Resources
	Parts          int  // largest number of tasks of one request, at least 1
	StartTogether  bool // all parts must run at the same time
	BusiestPerSec  int  // requests handed over in the busiest second, 0 if not known
}

// Result is what the answers lead to. The configuration is complete only if
// there are no questions.
type Result struct {
	Configuration state.Configuration
	Explanations  []Explanation
	Questions     []Question
}

// Explanation says in one sentence where a value comes from.
type Explanation struct {
	Team, Work string // Work is "" for a value of the whole team
	Field      string // of the configuration
	Value      string
	Because    string // one sentence that names the answer
}

// Question is asked about answers that are missing or contradict each other.
type Question struct {
	Source     string // file name
	Team, Work string // "" if the question is not about one
	Answers    string // names of the answers in question
	Text       string // the question
	Proposal   string // an answer that would resolve it
}
