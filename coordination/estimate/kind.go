package estimate

import "math"

// priorOffsets are pseudo-observations relative to a declared run time, as natural
// logarithms: 10^-0.8, 10^-0.4, 1, 10^0.4 and 10^0.8 times the declared value.
// Declared values are wrong by up to ten times in either direction; if the logarithm
// of the error is uniform over that range, these are its quantiles.
var priorOffsets = [5]float64{-0.8 * math.Ln10, -0.4 * math.Ln10, 0, 0.4 * math.Ln10, 0.8 * math.Ln10}

const (
	// priorSamples is the number of observations after which the prior of a run time, that
	// is, the pseudo-observations, has no weight.
	priorSamples = 24
	// reliabilityDecay is the factor by which each observation reduces the weight of
	// earlier predictions; about the last 32 count.
	reliabilityDecay = 31.0 / 32
	// reliabilityPrior is the weight of the prior of the reliability, as a number of wrong
	// predictions, so that a few correct predictions do not make a kind reliable.
	reliabilityPrior = 4
)

// kindStats holds the statistics of one (team, kind). All times and ratios are natural
// logarithms; times are in milliseconds on an endpoint of speed 1.
type kindStats struct {
	work     window  // run times
	declared window  // ratio of the run time to the declared one
	errors   window  // ratio of the run time to the predicted P50
	hits     float64 // weighted number of predictions within a factor of 2
	total    float64 // weighted number of all predictions and of the prior
	last     uint64  // Estimator.count at the latest observation
}

// normalSpread is the distance from the 10% to the 90% quantile of a normal distribution, in standard
// deviations.
const normalSpread = 2.563

var emptyStats = *newKindStats()

func newKindStats() *kindStats { return &kindStats{total: reliabilityPrior} }

// usesDeclared reports whether the declared value, multiplied by the usual ratio of run
// time to declared value, predicts better than past run times alone: the ratios spread
// less than the run times. That is the case if the work differs in size from request to
// request and callers declare accordingly. The margin of 10% avoids switching between
// models whose spreads are about equal.
func (k *kindStats) usesDeclared(declaredMS int64) bool {
	return declaredMS > 0 && k.declared.n >= minSamples && k.declared.spread() < 0.9*k.work.spread()
}

// model returns the window whose quantiles are used, the base to add to them, and the
// centre and weight of the prior relative to the values of the window. ok is false if
// there is neither a declared value nor an observation.
func (k *kindStats) model(declaredMS int64) (w *window, base, centre, weight float64, ok bool) {
	weight = max(0, 1-float64(k.work.n)/priorSamples)
	if k.usesDeclared(declaredMS) {
		weight = max(0, 1-float64(k.declared.n)/priorSamples)
		return &k.declared, logMS(declaredMS), 0, weight, true
	}
	if declaredMS > 0 {
		return &k.work, 0, logMS(declaredMS), weight, true
	}
	if k.work.n == 0 {
		return nil, 0, 0, 0, false
	}
	return &k.work, 0, k.work.quantile(0.5), weight, true
}

func (k *kindStats) predict(declaredMS int64) Prediction {
	w, base, centre, weight, ok := k.model(declaredMS)
	if !ok {
		return Prediction{}
	}
	spread := 0.0
	if k.errors.n >= minSamples {
		spread = k.errors.spread() / normalSpread
	}
	return Prediction{
		ErrorSpread: spread,
		P50:         fromLogMS(base + w.mixedQuantile(0.5, centre, weight)),
		P90:         fromLogMS(base + w.mixedQuantile(0.9, centre, weight)),
		Reliability: k.hits / k.total,
		Samples:     int(w.n),
	}
}

// medianRun returns the logarithm of the median run time without a prior. The
// second result is false if fewer than minSamples runs were observed.
func (k *kindStats) medianRun(declaredMS int64) (float64, bool) {
	if k.work.n < minSamples {
		return 0, false
	}
	if k.usesDeclared(declaredMS) {
		return logMS(declaredMS) + k.declared.quantile(0.5), true
	}
	return k.work.quantile(0.5), true
}

// observe records the error of the prediction for a run, and then the run time.
func (k *kindStats) observe(work float64, declaredMS int64) {
	if w, base, centre, weight, ok := k.model(declaredMS); ok {
		k.recordError(work - base - w.mixedQuantile(0.5, centre, weight))
	}
	k.work.add(work)
	if declaredMS > 0 {
		k.declared.add(work - logMS(declaredMS))
	}
}

// recordError records the logarithm of the ratio of a run time to its prediction.
func (k *kindStats) recordError(err float64) {
	k.errors.add(err)
	k.hits *= reliabilityDecay
	k.total = k.total*reliabilityDecay + 1
	if math.Abs(err) <= math.Ln2 {
		k.hits++
	}
}
