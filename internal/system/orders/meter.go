package orders

import (
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/policy/provisioning"
	"ibisstall.example/ibisstall/internal/system/rolling"
)

// DemandMeter measures what calls of this VM demand of each item. The demand of a
// data centre is the sum over its VMs. It is safe for concurrent use.
type DemandMeter struct {
	window time.Duration
	slots  float64   // calls that one engine runs at a time
	start  time.Time // of the monotonic clock that windows are counted in

	mu    sync.Mutex
	items map[provisioning.Assignment]*rolling.Sum[work]
}

// work is what calls took in some time.
type work struct {
	calls   int
	seconds float64 // for which they held permits
	refused int     // for want of an engine
}

// Plus implements rolling.Addable.
func (w work) Plus(o work) work {
	return work{calls: w.calls + o.calls, seconds: w.seconds + o.seconds, refused: w.refused + o.refused}
}

// demand returns the engines that the work of a window keeps busy. A refused
// call counts as an average one.
func (w work) demand(window time.Duration, slots float64) float64 {
	mean := assumedCall.Seconds()
	if w.calls > 0 {
		mean = w.seconds / float64(w.calls)
	}
	return (w.seconds + float64(w.refused)*mean) / window.Seconds() / slots
}

// assumedCall is the time that a call is assumed to take where none was seen.
const assumedCall = 5 * time.Second

// NewDemandMeter returns a Meter over a window, for engines that run some calls at a
// time.
func NewDemandMeter(window time.Duration, slots int) *DemandMeter {
	return &DemandMeter{
		window: window,
		slots:  float64(max(slots, 1)),
		start:  time.Now(),
		items:  make(map[provisioning.Assignment]*rolling.Sum[work]),
	}
}

// RecordCall takes in a call that held a permit for a time.
func (m *DemandMeter) RecordCall(item provisioning.Assignment, held time.Duration) {
	m.add(item, work{calls: 1, seconds: held.Seconds()})
}

// maxItems bounds the items that are measured, since callers choose names.
const maxItems = 1000

// RecordRefusal takes in a call that found no engine.
func (m *DemandMeter) RecordRefusal(item provisioning.Assignment) { m.add(item, work{refused: 1}) }

func (m *DemandMeter) add(item provisioning.Assignment, w work) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := m.items[item]
	if sum == nil && len(m.items) >= maxItems {
		return
	}
	if sum == nil {
		sum = &rolling.Sum[work]{}
		m.items[item] = sum
	}
	sum.Add(time.Since(m.start), m.window, w)
}

// Demand returns the demand over the window. Items without any are dropped.
func (m *DemandMeter) Demand() provisioning.Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(provisioning.Demand, len(m.items))
	for item, sum := range m.items {
		w := sum.Total(time.Since(m.start), m.window)
		if w == (work{}) {
			delete(m.items, item)
			continue
		}
		out[item] = w.demand(m.window, m.slots)
	}
	return out
}
