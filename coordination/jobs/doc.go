// Package jobs holds the decisions of the leader that runs jobs with steps: which
// task runs on which worker, when workers are asked what they run, what their answers
// mean, and what callers are told. It performs no I/O: events go in, commands to
// replicate and effects to carry out come out through a Host.
//
// What must survive a change of leader is in state/job. A Leader adds what it can
// learn again: clocks of workers, calls under way, tickets and estimates.
package jobs
