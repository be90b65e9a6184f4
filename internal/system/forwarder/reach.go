package forwarder

import (
	"sync"
	"time"
)

const (
	// unreachableRest is how long this VM avoids an endpoint that it could
	// not connect to.
	unreachableRest = 500 * time.Millisecond
	// farRest is how long it avoids a data centre of which it could reach no
	// endpoint; one request then tries again.
	farRest = time.Second
	// farFailures is the number of endpoints of a data centre that must be
	// out of reach, and none in reach, before all of it is avoided: one may
	// just have ended.
	farFailures = 2
	// farMemory is how long a failure counts.
	farMemory = 2 * time.Second
)

// reach remembers which endpoints and data centres this VM can't connect to.
// It is safe for concurrent use.
type reach struct {
	mu        sync.Mutex
	endpoints map[string]time.Time // guarded by mu; to the end of its rest
	dcs       map[string]*dcReach  // guarded by mu
}

type dcReach struct {
	failed map[string]time.Time // endpoint to its last failure
	until  time.Time            // end of the rest; zero while in reach
}

// failed notes that an endpoint could not be connected to.
func (r *reach) failed(endpoint, dc string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endpoints == nil {
		r.endpoints = make(map[string]time.Time)
		r.dcs = make(map[string]*dcReach)
	}
	r.endpoints[endpoint] = now.Add(unreachableRest)
	d := r.dcs[dc]
	if d == nil {
		d = &dcReach{failed: make(map[string]time.Time)}
		r.dcs[dc] = d
	}
	for id, at := range d.failed {
		if now.Sub(at) > farMemory {
			delete(d.failed, id)
		}
	}
	d.failed[endpoint] = now
	if len(d.failed) >= farFailures || !d.until.IsZero() {
		d.until = now.Add(farRest)
	}
}

// reached notes that an endpoint was connected to.
func (r *reach) reached(dc string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.dcs) > 0 {
		delete(r.dcs, dc)
	}
}

// avoided lists the endpoints and the data centres to avoid now. When the rest
// of a data centre is over, the first to ask may try it.
func (r *reach) avoided(now time.Time) (endpoints, dcs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, until := range r.endpoints {
		if now.Before(until) {
			endpoints = append(endpoints, id)
		} else {
			delete(r.endpoints, id)
		}
	}
	for name, d := range r.dcs {
		switch {
		case d.until.IsZero():
		case now.Before(d.until):
			dcs = append(dcs, name)
		default:
			d.until = now.Add(farRest)
		}
	}
	return endpoints, dcs
}
