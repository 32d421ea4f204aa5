// Package derive computes the configuration of a cell from the answers of the teams'
// questionnaires. It explains each value by the answer from which it is derived. Answers
// that are missing or contradict each other give a question and a proposal.
package derive

import "github.com/primrosereach/primrosereach/state"

// Priority is a team's answer to what matters most about a kind of work.
type Priority string

// Priorities.
const (
	StartsAtOnce     Priority = "starts_at_once"     // urgent: comes before everything that may wait
	SomeoneIsWaiting Priority = "someone_is_waiting" // a person waits for the result
	NothingIsLost    Priority = "nothing_is_lost"    // may wait, but must be done
	FinishedInTime   Priority = "finished_in_time"   // large work with a deadline
	KeepsRunning     Priority = "keeps_running"      // a service, which runs until it is stopped
)

// Priorities lists all priorities.
var Priorities = []Priority{StartsAtOnce, SomeoneIsWaiting, NothingIsLost, FinishedInTime, KeepsRunning}

// Answers are all questionnaires of a cell.
type Answers struct {
	Site  *Site // nil if the computers were not described
	Teams []Team
}

// Site describes the computers of the cell.
type Site struct {
	Source  string // file name, for questions
	Domains int    // number of failure domains, at least 1
	Runners []Computers
	Workers []Computers
}

// Computers is a group of endpoints of equal capacity.
type Computers struct {
	Count    int
	Capacity state.Resources // capacity of one endpoint
}

// Team is the questionnaire of one team.
type Team struct {
	Source string // file name, for questions
	Name   string
	AtMost *state.Resources // limit for all work of the team in the cell; nil if not answered
	Work   []Work
}

// Work holds the answers of a team about one kind of work. A pointer is nil if the
// question was not answered.
type Work struct {
	Name           string
	MattersMost    Priority
	NeverTwice     bool             // the work must never be done twice
	MayWaitMS      *int64           // longest wait before the start, milliseconds
	FinishWithinMS *int64           // time from submission to the end, milliseconds
	UsualRunMS     *int64           // usual run time of one task, milliseconds
	TryAgain       *int             // number of further attempts after a failure
	Size           *state.Resources // resources of one task
	Parts          int              // largest number of tasks of one request, at least 1
	StartTogether  bool             // all parts must run at the same time
	BusiestPerSec  int              // number of requests submitted in the busiest second, 0 if not known
}

// Result is the result of a derivation. The configuration is complete only if there are
// no questions.
type Result struct {
	Configuration state.Configuration
	Explanations  []Explanation
	Questions     []Question
}

// Explanation states in one sentence from which answer a value is derived.
type Explanation struct {
	Team, Work string // Work is "" for a value of the whole team
	Field      string // name of the configuration field
	Value      string
	Because    string // one sentence that names the answer
}

// Question is asked about answers that are missing or contradict each other.
type Question struct {
	Source     string // file name
	Team, Work string // "" if the question is not about a single one
	Answers    string // names of the answers in question
	Text       string // text of the question
	Proposal   string // an answer that would resolve it
}
