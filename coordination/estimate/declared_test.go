package estimate

import (
	"math"
	"math/rand"
	"testing"
)

// Learned run times must be better than declared ones after few observations, and
// the P90 must cover about nine of ten runs; deadlines and backfill rely on both.
// The figures are those of docs/decisions/0001-run-time-prediction.md.
func TestLearnedAgainstDeclared(t *testing.T) {
	const kinds = 500
	for _, observed := range []int{0, 1, 4, 8, 24, 48} {
		r := rand.New(rand.NewSource(18))
		declaredNear, learnedNear, covered := 0, 0, 0
		for range kinds {
			median := math.Pow(10, 2+4*r.Float64())
			declared := int64(max(1, median*math.Pow(10, 2*r.Float64()-1)))
			e := New()
			for range observed {
				e.Observe(0, Observation{Team: "a", Kind: "k", DeclaredMS: declared, RunMS: straggling(r, median)})
			}
			p := e.Predict("a", "k", declared)
			run := float64(straggling(r, median))
			if within(float64(declared), run, 2) {
				declaredNear++
			}
			if within(ms(p.P50), run, 2) {
				learnedNear++
			}
			if run <= ms(p.P90) {
				covered++
			}
		}
		t.Logf("%2d observations: within a factor of 2: declared %.2f, learned %.2f; P90 covers %.2f",
			observed, float64(declaredNear)/kinds, float64(learnedNear)/kinds, float64(covered)/kinds)
		if observed >= 8 && learnedNear < declaredNear*3/2 || observed >= 24 && (covered < kinds*80/100 || covered > kinds*97/100) {
			t.Errorf("%d observations: declared %d, learned %d, covered %d of %d", observed, declaredNear, learnedNear, covered, kinds)
		}
	}
}

// straggling is logNormal, with 3% of the runs ten times as long.
func straggling(r *rand.Rand, medianMS float64) int64 {
	if r.Intn(33) == 0 {
		medianMS *= 10
	}
	return logNormal(r, medianMS)
}
