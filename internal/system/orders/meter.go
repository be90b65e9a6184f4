package orders

import (
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/policy/provisioning"
	"ibisstall.example/ibisstall/internal/system/rolling"
)

// DemandMeter measures the demand of this VM's calls for each assignment. The demand
// in a data centre is the sum over its VMs. DemandMeter is safe for concurrent use.
type DemandMeter struct {
	window         time.Duration
	callsPerEngine float64   // calls that one engine runs concurrently
	start          time.Time // origin of the times passed to rolling.Sum

	mu           sync.Mutex
	byAssignment map[provisioning.Assignment]*rolling.Sum[callStats]
}

// callStats sums up the calls of a period.
type callStats struct {
	calls    int     // calls that were not refused
	seconds  float64 // total time for which calls held permits
	refusals int     // calls refused because no engine had the assignment
}

// Plus implements rolling.Addable.
func (w callStats) Plus(o callStats) callStats {
	return callStats{calls: w.calls + o.calls, seconds: w.seconds + o.seconds, refusals: w.refusals + o.refusals}
}

// demand returns the number of engines that the calls of a window keep busy. A
// refused call counts with the mean duration of the others, or with
// defaultCallDuration if there are none.
func (w callStats) demand(window time.Duration, callsPerEngine float64) float64 {
	mean := defaultCallDuration.Seconds()
	if w.calls > 0 {
		mean = w.seconds / float64(w.calls)
	}
	return (w.seconds + float64(w.refusals)*mean) / window.Seconds() / callsPerEngine
}

// defaultCallDuration is the assumed duration of a refused call if no other call was
// measured in the window.
const defaultCallDuration = 5 * time.Second

// NewDemandMeter returns a DemandMeter over a window, for engines that run
// callsPerEngine calls concurrently.
func NewDemandMeter(window time.Duration, callsPerEngine int) *DemandMeter {
	return &DemandMeter{
		window:         window,
		callsPerEngine: float64(max(callsPerEngine, 1)),
		start:          time.Now(),
		byAssignment:   make(map[provisioning.Assignment]*rolling.Sum[callStats]),
	}
}

// RecordCall records a call that held a permit for the given time.
func (m *DemandMeter) RecordCall(assignment provisioning.Assignment, held time.Duration) {
	m.add(assignment, callStats{calls: 1, seconds: held.Seconds()})
}

// maxMeasuredAssignments bounds the measured assignments, since callers choose
// their names. Calls for further assignments are not measured.
const maxMeasuredAssignments = 1000

// RecordRefusal records a call that was refused because no engine had the
// assignment.
func (m *DemandMeter) RecordRefusal(assignment provisioning.Assignment) {
	m.add(assignment, callStats{refusals: 1})
}

func (m *DemandMeter) add(assignment provisioning.Assignment, w callStats) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := m.byAssignment[assignment]
	if sum == nil && len(m.byAssignment) >= maxMeasuredAssignments {
		return
	}
	if sum == nil {
		sum = &rolling.Sum[callStats]{}
		m.byAssignment[assignment] = sum
	}
	sum.Add(time.Since(m.start), m.window, w)
}

// Demand returns the demand over the window, and removes assignments without calls
// in the window from the meter.
func (m *DemandMeter) Demand() provisioning.Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(provisioning.Demand, len(m.byAssignment))
	for assignment, sum := range m.byAssignment {
		w := sum.Total(time.Since(m.start), m.window)
		if w == (callStats{}) {
			delete(m.byAssignment, assignment)
			continue
		}
		out[assignment] = w.demand(m.window, m.callsPerEngine)
	}
	return out
}
