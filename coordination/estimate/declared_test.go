package estimate

import (
	"math"
	"math/rand"
	"testing"
)

// Guards against predictions that are not better than declared run times after a few
// observations, and against a P90 that does not cover about nine of ten runs; deadlines
// and backfill rely on both.
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
				e.Observe(0, Observation{Team: "a", Kind: "k", DeclaredMS: declared, RunMS: stragglingRun(r, median)})
			}
			p := e.Predict("a", "k", declared)
			run := float64(stragglingRun(r, median))
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

// stragglingRun is logNormal, except that 3% of the runs take ten times as long.
func stragglingRun(r *rand.Rand, medianMS float64) int64 {
	if r.Intn(33) == 0 {
		medianMS *= 10
	}
	return logNormal(r, medianMS)
}
