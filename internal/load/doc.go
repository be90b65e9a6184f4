// Package load generates agent programs as load and measures their latencies and
// outcomes. Arrivals are open-loop: programs arrive at predetermined times,
// whether or not earlier ones have finished. A run is seeded, so that two
// policies get the same programs at the same times.
//
// All durations of shapes, engines and results are in workload time. A run may
// be accelerated by a scale factor: at scale 10, a second of workload time takes
// a tenth of a second of real time.
package load
