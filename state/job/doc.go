// Package job is the replicated state of jobs with steps: queues, jobs and their
// tasks, workers and what they hold, and waves of maintenance. A State changes only
// through Apply, which checks every change again, so that a leader whose view is out
// of date cannot exceed a worker's capacity or start a task twice.
package job
