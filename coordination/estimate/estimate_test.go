package estimate

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/primrosereach/primrosereach/state"
)

// logNormal returns a run time with the given median and a spread that is common for
// one kind of work: a tenth of the runs take more than 1.7 times the median.
func logNormal(r *rand.Rand, medianMS float64) int64 {
	return int64(max(1, medianMS*math.Exp(0.4*r.NormFloat64())))
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func within(got, want, factor float64) bool { return got <= want*factor && got >= want/factor }

// Guards against wrong quantiles from a window in which old values were replaced.
func TestWindowQuantilesMatchSorting(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(11))
	props.Property("quantile", prop.ForAll(func(values []float64, q float64) bool {
		var w window
		for _, v := range values {
			w.add(v)
		}
		recent := append([]float64(nil), values[max(0, len(values)-windowSize):]...)
		sort.Float64s(recent)
		if len(recent) == 0 {
			return w.quantile(q) == 0
		}
		rank := max(1, int(math.Ceil(q*float64(len(recent))-1e-9)))
		return w.quantile(q) == float64(float32(recent[rank-1]))
	}, gen.SliceOf(gen.Float64Range(-20, 20)), gen.Float64Range(0, 1)))
	props.TestingRun(t)
}

// Guards against declared values that are wrong by up to ten times and still affect the
// prediction after a few dozen observations, and against any effect of stragglers.
func TestPredictionConverges(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(12))
	props.Property("36 observations", prop.ForAll(func(seed int64, logMedian, declaredError float64) bool {
		r := rand.New(rand.NewSource(seed))
		median := math.Pow(10, logMedian)
		declared := int64(max(1, median*math.Pow(10, declaredError)))
		e := New()
		for i := range 36 {
			run := logNormal(r, median)
			if i%18 == 17 {
				run *= 50 // straggler
			}
			e.Observe(0, Observation{Team: "a", Kind: "k", DeclaredMS: declared, RunMS: run})
		}
		p := e.Predict("a", "k", declared)
		return within(ms(p.P50), median, 1.5) && within(ms(p.P90), 1.67*median, 2)
	}, gen.Int64(), gen.Float64Range(1.5, 7), gen.Float64Range(-1, 1)))
	props.TestingRun(t)
}

// Guards against an estimate that a single outlier moves far, whatever was observed
// before it.
func TestSingleObservationMovesLittle(t *testing.T) {
	const step = 2.52 // 10^0.4, the distance between two pseudo-observations
	for _, earlier := range []int{0, 1, 5, 23, 24, 64, 200} {
		for _, outlier := range []int64{1, 1e9} {
			r := rand.New(rand.NewSource(13))
			e := New()
			for range earlier {
				e.Observe(0, Observation{Team: "a", Kind: "k", DeclaredMS: 1000, RunMS: logNormal(r, 1000)})
			}
			before := e.Predict("a", "k", 1000)
			e.Observe(0, Observation{Team: "a", Kind: "k", DeclaredMS: 1000, RunMS: outlier})
			after := e.Predict("a", "k", 1000)
			if !within(ms(after.P50), ms(before.P50), step) {
				t.Errorf("%d earlier, outlier %d ms: P50 %v -> %v", earlier, outlier, before.P50, after.P50)
			}
		}
	}
}

// Guards against a prediction that ignores the declared value of a kind whose run time is
// proportional to it. The past run times of such a kind do not predict the next one.
func TestPredictionScalesWithDeclaredSize(t *testing.T) {
	r := rand.New(rand.NewSource(14))
	e := New()
	for range 48 {
		declared := int64(math.Pow(10, 3+3*r.Float64()))
		e.Observe(0, Observation{Team: "a", Kind: "run", DeclaredMS: declared, RunMS: logNormal(r, 5*float64(declared))})
	}
	for _, declared := range []int64{2000, 50_000, 900_000} {
		p := e.Predict("a", "run", declared)
		if !within(ms(p.P50), 5*float64(declared), 1.3) {
			t.Errorf("declared %d ms: P50 %v, want about 5 times the declared value", declared, p.P50)
		}
	}
	if a := e.DeclaredAccuracy("a", "run"); !within(a.Ratio, 5, 1.3) {
		t.Errorf("declared accuracy %+v, want a ratio of about 5", a)
	}
}

// Guards against a prediction without observations that looks usable, and against a
// reliability that does not distinguish predictable from erratic kinds.
func TestReliability(t *testing.T) {
	if p := New().Predict("a", "k", 0); p != (Prediction{}) {
		t.Errorf("prediction without observations: %+v", p)
	}
	r := rand.New(rand.NewSource(15))
	e := New()
	for range 100 {
		e.Observe(0, Observation{Team: "a", Kind: "steady", RunMS: logNormal(r, 1000)})
		e.Observe(0, Observation{Team: "a", Kind: "erratic", RunMS: int64(math.Pow(10, 1+4*r.Float64()))})
	}
	steady, erratic := e.Predict("a", "steady", 0), e.Predict("a", "erratic", 0)
	if steady.Reliability < 0.8 || erratic.Reliability > 0.4 {
		t.Errorf("reliability steady %.2f, erratic %.2f", steady.Reliability, erratic.Reliability)
	}
	if g := steady.ForDeadline(); g < steady.P50 || g > steady.P90 {
		t.Errorf("run time for a deadline %v outside %v..%v", g, steady.P50, steady.P90)
	}
	if s, w := e.PredictedAccuracy("a", "steady"), e.PredictedAccuracy("a", "erratic"); s.Spread > 5 || w.Spread < 20 {
		t.Errorf("spread of actual/predicted: steady %+v, erratic %+v", s, w)
	}
}

// Guards against speeds that are distorted by the mix of kinds or by stragglers: every
// endpoint runs a different mix of kinds whose run times differ by up to 10,000 times,
// and 5% of all runs are stragglers.
func TestSpeedIgnoresMixAndStragglers(t *testing.T) {
	r := rand.New(rand.NewSource(16))
	const endpoints, kinds = 40, 20
	e := New()
	speed := make([]float64, endpoints)
	for i := range speed {
		speed[i] = math.Exp2(2*r.Float64() - 1) // 0.5 to 2
	}
	speed[0] = 0.1 // an endpoint that is slow at everything
	for n := range 40 * endpoints {
		i := n % endpoints
		k := (i/2 + r.Intn(4)) % kinds
		run := float64(logNormal(r, math.Pow(10, 2+4*float64(k)/kinds))) / speed[i]
		if r.Intn(20) == 0 {
			run *= 20
		}
		e.Observe(0, Observation{Team: "a", Kind: fmt.Sprint(k), Endpoint: fmt.Sprint(i), RunMS: int64(max(1, run))})
	}
	var errs window
	for i := range speed {
		errs.add(math.Log(e.Speed(fmt.Sprint(i)) / speed[i]))
	}
	var worst, sum float64
	for i := range endpoints {
		err := math.Abs(errs.at(i) - errs.quantile(0.5))
		worst, sum = max(worst, err), sum+err
	}
	t.Logf("speed error: mean factor %.3f, worst factor %.3f", math.Exp(sum/endpoints), math.Exp(worst))
	if worst > math.Log(1.6) {
		t.Errorf("worst speed error is a factor of %.2f", math.Exp(worst))
	}
	slow := e.Speed("0")
	e.Observe(time.Hour, Observation{Team: "a", Kind: "0", Endpoint: "1", RunMS: 100})
	if decayed := e.Speed("0"); slow > 0.2 || decayed < 0.9 || decayed > 1 {
		t.Errorf("speed of the slow endpoint %.2f, an hour later %.2f", slow, decayed)
	}
}

// Guards against a kind that is predicted to be slow everywhere because it has run only
// on a slow endpoint.
func TestRunTimesAreNormalisedBySpeed(t *testing.T) {
	r := rand.New(rand.NewSource(17))
	e := New()
	for n := range 400 {
		run := logNormal(r, 1000)
		if n%10 == 0 {
			run *= 4
		}
		e.Observe(0, Observation{Team: "a", Kind: "common", Endpoint: fmt.Sprint(n % 10), RunMS: run})
	}
	for range 30 {
		e.Observe(0, Observation{Team: "a", Kind: "pinned", Endpoint: "0", RunMS: 4 * logNormal(r, 1000)})
	}
	if p := e.Predict("a", "pinned", 0); !within(ms(p.P50), 1000, 1.4) {
		t.Errorf("P50 %v of work that takes 1 s on an endpoint of speed 1", p.P50)
	}
}

// Guards against tables that grow without bound as kinds and endpoints are replaced.
func TestTablesAreBounded(t *testing.T) {
	e := New()
	for range minSamples {
		e.Observe(0, Observation{Team: "a", Kind: "k", RunMS: 1000})
	}
	for i := range MaxKinds + 100 {
		e.Observe(0, Observation{Team: "a", Kind: "k", Endpoint: fmt.Sprint("e", i), RunMS: 1000})
		e.Observe(0, Observation{Team: "b", Kind: fmt.Sprint(i), RunMS: 1000})
	}
	if len(e.kinds) != MaxKinds || len(e.endpoints) != MaxEndpoints {
		t.Errorf("%d kinds, %d endpoints", len(e.kinds), len(e.endpoints))
	}
	if e.Predict("a", "k", 0).Samples == 0 {
		t.Error("the kind in use was evicted")
	}
	e.Configure(state.Configuration{Teams: map[string]state.TeamConfig{"a": {Kinds: map[string]state.KindConfig{"k": {}}}}})
	if len(e.kinds) != 1 {
		t.Errorf("%d kinds after the configuration left one", len(e.kinds))
	}
}
