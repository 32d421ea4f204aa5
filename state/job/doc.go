// Package job holds the replicated state of jobs with steps: queues, jobs and their
// tasks, workers and the tasks assigned to them, and maintenance waves. A State changes
// only through Apply, which checks the preconditions of every change again, so that a
// leader whose view is out of date cannot exceed a worker's capacity or start a task
// twice.
package job
