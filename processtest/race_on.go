//go:build race

package processtest

// raceFlags builds the program with the race detector, like the test itself.
var raceFlags = []string{"-race"}
