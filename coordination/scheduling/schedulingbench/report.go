package schedulingbench

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/primrosereach/primrosereach/coordination/scheduling"
)

// Contender is one of the schedulers that a report compares.
type Contender struct {
	Name string
	New  func() scheduling.Scheduler
}

// Contenders returns the project's scheduler and the baselines.
func Contenders() []Contender {
	return []Contender{
		{"primrosereach", func() scheduling.Scheduler { return NewLeaderScheduler() }},
		{"no admission limit", NewUnlimited},
		{"first come first served", func() scheduling.Scheduler { return NewFCFS() }},
		{"first fit", func() scheduling.Scheduler { return NewFirstFit() }},
	}
}

// Scenarios returns all scenarios of the report.
func Scenarios() []Scenario {
	out := []Scenario{}
	for _, sh := range []Shape{Claims, Mail} {
		out = append(out, Steady(sh), Swinging(sh), Cancelling(sh), Failing(sh), WrongEstimates(sh), DomainLost(sh))
	}
	return append(out, Steady(TwoYear), Saturated(Mail), Blocking(false), Blocking(true), LargeGang(Mail), Cost(50), Cost(1500))
}

// WriteTable writes the measures of the results as Markdown tables.
func WriteTable(w io.Writer, results []*Result) error {
	var b strings.Builder
	b.WriteString("| shape | scenario | scheduler | kind | wait p50 | p99 | worst | at the crest p99 | worst |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		for _, kind := range kinds(r) {
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Shape, r.Scenario, r.Scheduler, kind,
				ms(Percentile(r.Wait, kind, 50)), ms(Percentile(r.Wait, kind, 99)), ms(Worst(r.Wait, kind)), ms(Percentile(r.Crest, kind, 99)), ms(Worst(r.Crest, kind)))
		}
	}
	b.WriteString("\n| shape | scenario | scheduler | placements | packing | refused | late | failed | not started | on broken | on stragglers | rejected plans | violations | allocations | visits | plans | events per placement |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %s | %s | %d | %.1f%% | %s | %s | %s | %s | %d | %d | %d | %d of %d | %s | %.1f | %.2f | %.2f |\n", r.Shape, r.Scenario, r.Scheduler,
			r.Placements, 100*r.Packing, counts(r.Refused), counts(r.Late), counts(r.Failed), counts(r.Unstarted), r.OnBroken, r.OnStragglers, r.Rejected, r.Violations, r.Checks,
			allocations(r), r.Visits, r.Plans, r.Events)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func allocations(r *Result) string {
	if !r.sc.Allocations {
		return "-"
	}
	return fmt.Sprintf("%.1f", r.Allocations)
}

func kinds(r *Result) []string {
	var out []string
	for k := range r.Wait {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func counts[K ~string](m map[K]int) string {
	var out []string
	for k, n := range m {
		if n > 0 {
			out = append(out, fmt.Sprintf("%d %s", n, k))
		}
	}
	if len(out) == 0 {
		return "0"
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

func ms(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f ms", float64(d)/float64(time.Millisecond))
}
