// Package coordination makes every decision of an entry process. Node.Step takes an
// event and the time of the step, changes the state that the process owns and returns
// the effects to execute. It has no sockets, files, goroutines or clock, so the
// daemon, the property tests and the benchmarks run the same code.
//
// A process hosts several replication groups: the group of its own failure domain,
// possibly groups of other domains as an outside member, and the cell group, which
// holds the configuration. In a deployment with a job group (Config.Jobs is set), a
// process hosts only that group.
package coordination
