package questionnaire

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
)

// periodPattern is also published in the JSON Schema.
const periodPattern = `^([0-9]+(?:\.[0-9]+)?) (millisecond|second|minute|hour|day)s?$`

var periodExpression = regexp.MustCompile(periodPattern)

var unitMS = map[string]float64{"millisecond": 1, "second": 1000, "minute": 60_000, "hour": 3_600_000, "day": 86_400_000}

// maxPeriodMS is 365 days. A longer time is rejected as a mistake in the unit.
const maxPeriodMS = 365 * 86_400_000

// period is a time span in milliseconds, written as "10 minutes".
type period int64

// UnmarshalText reads a number and a unit.
func (p *period) UnmarshalText(text []byte) error {
	m := periodExpression.FindStringSubmatch(string(text))
	if m == nil {
		return fmt.Errorf("%q: want a number and a unit, such as \"10 minutes\" (milliseconds, seconds, minutes, hours or days)", text)
	}
	n, err := strconv.ParseFloat(m[1], 64)
	ms := math.Round(n * unitMS[m[2]])
	if err != nil || ms < 1 || ms > maxPeriodMS {
		return fmt.Errorf("%q: want more than 0 and at most 365 days", text)
	}
	*p = period(ms)
	return nil
}

// wait is a period, or "no" for 0.
type wait int64

// UnmarshalText reads "no" or a period.
func (w *wait) UnmarshalText(text []byte) error {
	if string(text) == "no" {
		*w = 0
		return nil
	}
	var p period
	if err := p.UnmarshalText(text); err != nil {
		return fmt.Errorf("%w, or \"no\"", err)
	}
	*w = wait(p)
	return nil
}
