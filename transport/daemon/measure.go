package daemon

import (
	"syscall"

	"github.com/primrosereach/primrosereach/transport/metrics"
)

func (p *process) newMetrics(l *listeners) *metrics.Metrics {
	cfg := metrics.Config{Loop: p.loop, Limits: []metrics.Limit{
		limit("connections", l.public.inUse), limit("control_events", p.loop.QueueLength), limit("endpoint_calls", p.tasks.QueueLength),
	}}
	if dir := p.settings.DataDir; dir != "" {
		cfg.FreeBytes = func() (uint64, error) { return freeBytes(dir) }
	}
	return metrics.New(cfg)
}

// limit returns the metric of a bounded resource. read returns the amount in use and its
// maximum, which must not change.
func limit(name string, read func() (n, most int)) metrics.Limit {
	_, most := read()
	return metrics.Limit{Name: name, Max: most, Used: func() int {
		n, _ := read()
		return n
	}}
}

// freeBytes returns the space in a directory's file system that is available to the
// process.
func freeBytes(dir string) (uint64, error) {
	var s syscall.Statfs_t
	if err := syscall.Statfs(dir, &s); err != nil {
		return 0, err
	}
	return s.Bavail * uint64(s.Bsize), nil
}
