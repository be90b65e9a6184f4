//go:build race

package test

// raceFlags makes TestMain build the binary with the race detector, as the test is.
var raceFlags = []string{"-race"}
