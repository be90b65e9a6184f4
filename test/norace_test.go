//go:build !race

package test

// raceFlags is empty: without -race, the binary is built without the race detector.
var raceFlags []string
