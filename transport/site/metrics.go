package site

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsHandler serves the metrics of the process.
func (x *process) metricsHandler() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewGoCollector(),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "primrosereach_ready", Help: "1 if the process serves callers."}, func() float64 {
			if x.client.Ready() && !x.draining.Load() {
				return 1
			}
			return 0
		}),
	)
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}
