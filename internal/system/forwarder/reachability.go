package forwarder

import (
	"sync"
	"time"
)

const (
	// endpointBackoff is how long this VM avoids an endpoint after a failed
	// connection.
	endpointBackoff = 500 * time.Millisecond
	// dcBackoff is how long this VM avoids a data centre that it can't reach.
	// After that, one request probes it.
	dcBackoff = time.Second
	// dcFailureThreshold is the number of endpoints of a data centre that must fail
	// without a success in between before the data centre is avoided: a single
	// endpoint may just have ended.
	dcFailureThreshold = 2
	// failureRetention is how long a failed connection counts towards
	// dcFailureThreshold.
	failureRetention = 2 * time.Second
)

// reachability tracks the endpoints and data centres that this VM can't connect
// to. It is safe for concurrent use.
type reachability struct {
	mu               sync.Mutex
	endpointBackoffs map[string]time.Time       // guarded by mu; end of the backoff by endpoint id
	dcs              map[string]*dcReachability // guarded by mu; by name
}

type dcReachability struct {
	failed       map[string]time.Time // last failure by endpoint id
	backoffUntil time.Time            // zero while the data centre is considered reachable
}

// recordFailure records a failed connection to an endpoint. One that was refused says
// nothing against the data centre: it was reached.
func (r *reachability) recordFailure(endpoint, dc string, refused bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endpointBackoffs == nil {
		r.endpointBackoffs = make(map[string]time.Time)
		r.dcs = make(map[string]*dcReachability)
	}
	r.endpointBackoffs[endpoint] = now.Add(endpointBackoff)
	if refused {
		return
	}
	d := r.dcs[dc]
	if d == nil {
		d = &dcReachability{failed: make(map[string]time.Time)}
		r.dcs[dc] = d
	}
	for id, at := range d.failed {
		if now.Sub(at) > failureRetention {
			delete(d.failed, id)
		}
	}
	d.failed[endpoint] = now
	if len(d.failed) >= dcFailureThreshold || !d.backoffUntil.IsZero() {
		d.backoffUntil = now.Add(dcBackoff)
	}
}

// recordSuccess records a successful connection to an endpoint of a data centre,
// which ends the data centre's backoff.
func (r *reachability) recordSuccess(dc string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.dcs) > 0 {
		delete(r.dcs, dc)
	}
}

// excluded returns the endpoints and data centres to avoid now. After the backoff
// of a data centre, the first call omits the data centre, so that the caller's
// request probes it, and starts another backoff for the other requests.
func (r *reachability) excluded(now time.Time) (endpoints, dcs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, until := range r.endpointBackoffs {
		if now.Before(until) {
			endpoints = append(endpoints, id)
		} else {
			delete(r.endpointBackoffs, id)
		}
	}
	for name, d := range r.dcs {
		switch {
		case d.backoffUntil.IsZero():
		case now.Before(d.backoffUntil):
			dcs = append(dcs, name)
		default:
			d.backoffUntil = now.Add(dcBackoff)
		}
	}
	return endpoints, dcs
}
