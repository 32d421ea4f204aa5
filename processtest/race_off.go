//go:build !race

package processtest

var raceFlags []string
