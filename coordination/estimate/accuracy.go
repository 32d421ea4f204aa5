package estimate

import "math"

// Accuracy describes how far earlier estimates were from the actual run times.
type Accuracy struct {
	Ratio   float64 // median of actual / estimated
	Spread  float64 // 90% quantile of that ratio divided by its 10% quantile, at least 1
	Samples int     // number of recent estimates compared; if it is 0, so are Ratio and Spread
}

// DeclaredAccuracy returns the accuracy of the declared run times of a kind.
func (e *Estimator) DeclaredAccuracy(team, kind string) Accuracy {
	if k := e.kinds[kindKey{team, kind}]; k != nil {
		return accuracy(&k.declared)
	}
	return Accuracy{}
}

// PredictedAccuracy returns the accuracy of P50 as predicted just before each run was
// observed.
func (e *Estimator) PredictedAccuracy(team, kind string) Accuracy {
	if k := e.kinds[kindKey{team, kind}]; k != nil {
		return accuracy(&k.errors)
	}
	return Accuracy{}
}

func accuracy(w *window) Accuracy {
	if w.n == 0 {
		return Accuracy{}
	}
	return Accuracy{Ratio: math.Exp(w.quantile(0.5)), Spread: math.Exp(w.spread()), Samples: int(w.n)}
}
