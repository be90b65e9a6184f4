// Package forward serves requests of callers that the system passes on to
// endpoints as they are: their bodies and answers are opaque. What may be
// repeated, resumed or refused follows from the route.
package forward

import (
	"fmt"
	"strings"
	"time"
)

// Kind tells what may be done with a request whose outcome is unknown.
type Kind int

// The kinds of a route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Stream requests are answered by a series of events; they are
	// non-idempotent unless the route is resumable.
	Stream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [...]string{"non_idempotent", "idempotent", "stream"}[k]
}

// WeightedService is a service that takes a part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int // relative to the route's other shares
}

// Route is a rule by which requests are passed on.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Timeout            time.Duration // longest time that a caller is kept waiting
	TargetLatency      time.Duration // time within which an answer has its full use
	Priority           int           // 0 is the most urgent
	Services           []WeightedService
	MaxEndpoints       int // endpoints that one request may run on
	Resumable          bool
	EventGapTarget     time.Duration // longest pause between events that is on time
}

// Retryable reports whether a request whose outcome is unknown may be sent
// again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a group of endpoints that run the same software.
type Service struct {
	Name           string
	Slots          int // requests that an engine batches; 0 for a plain service
	KVCacheTokens  int // prompt cache of an engine, in tokens
	TokensPerEvent int // tokens that one event of a stream holds
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It is not changed
// once it is in force.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   CallerLimits
}

// Validate reports what makes a configuration unusable.
func (c *Config) Validate() error {
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			return fmt.Errorf("route %q: host %q and prefix %q select nothing", r.Name, r.Host, r.Prefix)
		}
		if len(r.Services) == 0 {
			return fmt.Errorf("route %q: no service", r.Name)
		}
	}
	return nil
}

// Match returns the route of the longest prefix for a host and path, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// PickService picks the service of a request by the weights of the route's
// shares; the same key always picks the same one. It returns "" if no share has
// a weight.
func (r *Route) PickService(key uint64) string {
	total := 0
	for _, s := range r.Services {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return ""
	}
	point := int(key % uint64(total))
	for _, s := range r.Services {
		if point < max(0, s.Weight) {
			return s.Service
		}
		point -= max(0, s.Weight)
	}
	return ""
}
