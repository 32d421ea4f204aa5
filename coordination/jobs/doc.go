// Package jobs makes the decisions of the leader that runs jobs with steps: it assigns
// tasks to workers, polls workers for the runs that they hold, interprets their answers
// and answers callers. It performs no I/O: it takes events as input, and passes commands
// to replicate and effects to execute to a Host.
//
// State that must survive a change of leader is in state/job. A Leader adds state that
// it can rebuild: clocks of workers, requests in flight, tickets and estimates.
package jobs
