package schedulingbench

import (
	"testing"
)

// BenchmarkPlacement reports the cost of planning for each placement at two sizes of the
// cell, under saturation and in a swing.
func BenchmarkPlacement(b *testing.B) {
	for _, sc := range []Scenario{Cost(50), Cost(1500), Saturated(Mail), Swinging(Claims)} {
		name := sc.Name
		if sc.Name == "cost" {
			name = map[int]string{50: "50-workers", 1500: "1500-workers"}[sc.Shape.Workers]
		}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				r, err := Run(sc, "primrosereach", NewLeaderScheduler())
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(r.Allocations, "allocs/placement")
				b.ReportMetric(r.Visits, "visits/placement")
				b.ReportMetric(r.Plans, "plans/placement")
				b.ReportMetric(r.Events, "events/placement")
			}
		})
	}
}
