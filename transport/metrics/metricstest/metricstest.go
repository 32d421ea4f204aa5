// Package metricstest provides checks that the metrics of every process must pass.
package metricstest

import (
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
)

// documented matches the names of metrics in a text.
var documented = regexp.MustCompile(`(primrosereach|process)_[a-z_]+`)

// CheckDocumented checks that each metric named in a text is served, because an alarm on
// a name that does not exist never fires. It also fails if the text contains fewer than
// least names.
func CheckDocumented(t *testing.T, text string, h http.Handler, least int) {
	t.Helper()
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	names := documented.FindAllString(text, -1)
	for _, n := range names {
		if !strings.Contains(rec.Body.String(), "\n"+n) {
			t.Errorf("no metric %s", n)
		}
	}
	if len(names) < least {
		t.Errorf("%d names in the text, at least %d were expected", len(names), least)
	}
}

// CheckConventions checks that the metrics with a prefix follow the Prometheus naming
// conventions. Other names make wrong queries likely.
func CheckConventions(t *testing.T, g prometheus.Gatherer, prefix string) {
	t.Helper()
	families, err := g.Gather()
	if err != nil {
		t.Fatal(err)
	}
	problems, err := promlint.NewWithMetricFamilies(families).Lint()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range problems {
		if strings.HasPrefix(p.Metric, prefix) {
			t.Errorf("%s: %s", p.Metric, p.Text)
		}
	}
}
