// Package load generates the load of agent programs and measures how they
// fare. Arrivals are open-loop: programs come at their own times, whether or
// not earlier ones have finished. A run is seeded, so that two policies meet
// the same programs at the same instants.
//
// All durations of shapes, engines and results are in the time of the
// workload. A run may go faster than that by a scale: at scale 10 a second of
// the workload takes a tenth of a second.
package load
