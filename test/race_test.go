//go:build race

package test

// raceFlags builds the binary with the race detector, too.
var raceFlags = []string{"-race"}
