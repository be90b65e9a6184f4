//go:build !race

package test

// raceFlags is empty: the binary is built without the race detector.
var raceFlags []string
