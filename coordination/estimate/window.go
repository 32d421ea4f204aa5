package estimate

import "sort"

// windowSize is the number of recent values that a window keeps. 64 values give a usable
// P90, and a few dozen further observations replace the whole history.
const windowSize = 64

// window holds the most recent values and their ascending order, so that a
// quantile needs no sorting and no allocation.
type window struct {
	value [windowSize]float32
	order [windowSize]uint8 // indexes into value, ascending by value
	n     uint8             // number of values
	next  uint8             // index of the value to overwrite next
}

func (w *window) add(v float64) {
	if w.n == windowSize {
		w.remove(w.next)
	}
	x := float32(v)
	used := w.order[:w.n]
	at := sort.Search(len(used), func(i int) bool { return w.value[used[i]] > x })
	copy(w.order[at+1:w.n+1], w.order[at:w.n])
	w.order[at] = w.next
	w.value[w.next] = x
	w.n++
	w.next = (w.next + 1) % windowSize
}

func (w *window) remove(slot uint8) {
	for i := range w.order[:w.n] {
		if w.order[i] == slot {
			copy(w.order[i:w.n-1], w.order[i+1:w.n])
			w.n--
			return
		}
	}
}

func (w *window) at(i int) float64 { return float64(w.value[w.order[i]]) }

// quantile returns the smallest value v such that at least a share q of the values are
// at most v. It returns 0 for an empty window.
func (w *window) quantile(q float64) float64 {
	return w.mixedQuantile(q, 0, 0)
}

// spread returns the distance from the 10% to the 90% quantile.
func (w *window) spread() float64 { return w.quantile(0.9) - w.quantile(0.1) }

// mixedQuantile returns the quantile of the values together with the pseudo-observations
// priorOffsets around centre. Each pseudo-observation has the given weight, where a value
// has weight 1.
func (w *window) mixedQuantile(q, centre, weight float64) float64 {
	target := q * (float64(w.n) + weight*float64(len(priorOffsets)))
	sum, v := 0.0, 0.0
	i, j := 0, 0
	if weight <= 0 {
		j = len(priorOffsets)
	}
	for i < int(w.n) || j < len(priorOffsets) {
		if j == len(priorOffsets) || i < int(w.n) && w.at(i) <= centre+priorOffsets[j] {
			v = w.at(i)
			sum++
			i++
		} else {
			v = centre + priorOffsets[j]
			sum += weight
			j++
		}
		// The tolerance absorbs rounding of q times the number of values.
		if sum >= target-1e-9 {
			return v
		}
	}
	return v
}
