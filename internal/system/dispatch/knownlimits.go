package dispatch

import (
	"sync"
	"time"
)

// limitRetention is how long a VM remembers the limit of an endpoint that it has not
// heard of since.
const limitRetention = 10 * time.Second

// knownLimits holds the rate limits that a VM knows endpoints to have named: from their
// responses, or from schedulers. It is safe for concurrent use.
type knownLimits struct {
	mu         sync.Mutex
	byEndpoint map[string]knownLimit // guarded by mu; by endpoint id
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
	if k.byEndpoint == nil {
		k.byEndpoint = make(map[string]knownLimit)
	}
	k.byEndpoint[endpoint] = knownLimit{service: service, perSecond: perSecond, heardAt: now}
	return !known || previous.perSecond != perSecond
}
