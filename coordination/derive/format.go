package derive

import (
	"fmt"
	"strings"

	"github.com/primrosereach/primrosereach/state"
)

var units = []struct {
	ms   int64
	name string
}{
	{24 * 60 * 60 * 1000, "day"}, {60 * 60 * 1000, "hour"}, {60 * 1000, "minute"}, {1000, "second"}, {1, "millisecond"},
}

// formatDuration formats milliseconds in the largest unit that divides them, in the form
// that the questionnaire accepts.
func formatDuration(ms int64) string {
	if ms == 0 {
		return "0 seconds"
	}
	for _, u := range units {
		if n := ms / u.ms; ms%u.ms == 0 {
			return plural(n, u.name)
		}
	}
	return plural(ms, "millisecond")
}

func plural(n int64, unit string) string {
	if n == 1 {
		return "1 " + unit
	}
	return fmt.Sprintf("%d %ss", n, unit)
}

// formatResources formats resources in the units of the questionnaire.
func formatResources(r state.Resources) string {
	var parts []string
	if r.Slots != 0 {
		parts = append(parts, plural(int64(r.Slots), "small task"))
	}
	if r.MilliCores != 0 {
		parts = append(parts, fmt.Sprintf("%g cores", float64(r.MilliCores)/1000))
	}
	if r.MemoryMB != 0 {
		parts = append(parts, fmt.Sprintf("%g GB of memory", float64(r.MemoryMB)/1024))
	}
	if r.Accelerators != 0 {
		parts = append(parts, plural(int64(r.Accelerators), "accelerator"))
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}

// maxResources returns the larger value of each field.
func maxResources(a, b state.Resources) state.Resources {
	return state.Resources{Slots: max(a.Slots, b.Slots), MilliCores: max(a.MilliCores, b.MilliCores), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// minResources returns the smaller value of each field.
func minResources(a, b state.Resources) state.Resources {
	return state.Resources{Slots: min(a.Slots, b.Slots), MilliCores: min(a.MilliCores, b.MilliCores), MemoryMB: min(a.MemoryMB, b.MemoryMB), Accelerators: min(a.Accelerators, b.Accelerators)}
}

// scaleFactor returns the largest factor, rounded down to two decimals, by which a can be
// multiplied to fit in b. It must be called only if a does not fit in b.
func scaleFactor(a, b state.Resources) string {
	percent := 100
	for _, pair := range [][2]int{{a.Slots, b.Slots}, {a.MilliCores, b.MilliCores}, {a.MemoryMB, b.MemoryMB}, {a.Accelerators, b.Accelerators}} {
		if pair[0] > pair[1] {
			percent = min(percent, 100*pair[1]/pair[0])
		}
	}
	return fmt.Sprintf("0.%02d", percent)
}
