package dispatch

import (
	"sync"
	"time"
)

// maxSentLimits is the number of limits that a VM sends with one request for a slot.
const maxSentLimits = 256

// limitRetention is how long a VM remembers the limit of an endpoint that it has not
// heard of since.
const limitRetention = 10 * time.Second

// knownLimits holds the rate limits that a VM knows endpoints to have named: from their
// responses, or from schedulers. It is safe for concurrent use.
type knownLimits struct {
	mu         sync.Mutex
	byEndpoint map[string]knownLimit       // guarded by mu; by endpoint id
	informed   map[string]schedulerProcess // guarded by mu; the last scheduler asked, by service
}

// schedulerProcess identifies the process of a scheduler.
type schedulerProcess struct {
	address  string
	instance uint64 // 0 until it has answered
}

type knownLimit struct {
	service   string
	perSecond float64
	heardAt   time.Time
}

// set records an endpoint's limit, or with limited false that it has none. It reports
// whether that differs from what was known.
func (k *knownLimits) set(service, endpoint string, perSecond float64, limited bool, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	previous, known := k.byEndpoint[endpoint]
	if !limited {
		delete(k.byEndpoint, endpoint)
		return known
	}
	if !known {
		k.dropExpired(now)
	}
	k.byEndpoint[endpoint] = knownLimit{service: service, perSecond: perSecond, heardAt: now}
	return !known || previous.perSecond != perSecond
}

// dropExpired forgets the limits that were last heard of limitRetention ago. The caller
// holds mu.
func (k *knownLimits) dropExpired(now time.Time) {
	if k.byEndpoint == nil {
		k.byEndpoint = make(map[string]knownLimit)
	}
	for id, l := range k.byEndpoint {
		if now.Sub(l.heardAt) > limitRetention {
			delete(k.byEndpoint, id)
		}
	}
}

// has reports whether an endpoint is known to have a limit.
func (k *knownLimits) has(endpoint string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, known := k.byEndpoint[endpoint]
	return known
}

// toSend returns the limits of a service's endpoints that the scheduler at an address has
// to be told: all if another process was asked last, and none otherwise.
func (k *knownLimits) toSend(service, address string, now time.Time) []EndpointLimit {
	k.mu.Lock()
	defer k.mu.Unlock()
	if last, asked := k.informed[service]; asked && last.address == address && last.instance != 0 {
		return nil
	}
	k.dropExpired(now)
	var limits []EndpointLimit
	for id, l := range k.byEndpoint {
		if l.service == service && len(limits) < maxSentLimits {
			limits = append(limits, EndpointLimit{Endpoint: id, PerSecond: l.perSecond, Age: now.Sub(l.heardAt)})
		}
	}
	return limits
}

// recordScheduler records which process answered a request for a slot. A process that is
// not the one that was asked last is told all limits with the next request.
func (k *knownLimits) recordScheduler(service, address string, instance uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.informed == nil {
		k.informed = make(map[string]schedulerProcess)
	}
	last := k.informed[service]
	if last.address == address && last.instance != 0 && last.instance != instance {
		instance = 0 // has restarted since it was told
	}
	k.informed[service] = schedulerProcess{address, instance}
}
