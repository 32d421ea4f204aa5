package metrics

import "github.com/prometheus/client_golang/prometheus"

// limitCollector exposes the usage of the bounded resources of this process and the free
// space of its data directory.
type limitCollector struct {
	limits          []Limit
	freeBytes       func() (uint64, error)
	used, max, free *prometheus.Desc
}

func newLimitCollector(limits []Limit, freeBytes func() (uint64, error)) *limitCollector {
	return &limitCollector{
		limits: limits, freeBytes: freeBytes,
		used: desc("limit_used", "What is in use of a bounded number.", "limit"),
		max:  desc("limit_max", "The bound.", "limit"),
		free: desc("data_directory_free_bytes", "Free space of the file system that holds the data directory."),
	}
}

// Describe implements prometheus.Collector.
func (l *limitCollector) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{l.used, l.max, l.free} {
		c <- d
	}
}

// Collect implements prometheus.Collector.
func (l *limitCollector) Collect(c chan<- prometheus.Metric) {
	gauge := gaugesTo(c)
	for _, x := range l.limits {
		gauge(l.used, float64(x.Used()), x.Name)
		gauge(l.max, float64(x.Max), x.Name)
	}
	if l.freeBytes == nil {
		return
	}
	if n, err := l.freeBytes(); err == nil {
		gauge(l.free, float64(n))
	}
}
