// Package forward defines the configuration, requests and endpoints of forwarding:
// requests whose bodies and responses are opaque to the system. The route of a
// request decides whether it may be resent or resumed.
package forward

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ibisstall.example/ibisstall/internal/keys"
)

// Kind is the kind of a route's requests. It determines, for streams together with
// Route.Resumable, whether a request with an unknown outcome may be resent.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests must run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests have a stream of events as their response. They must run at
	// most once unless the route is resumable.
	Stream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [...]string{"non_idempotent", "idempotent", "stream"}[k]
}

// WeightedService is a service that receives part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int // relative to the route's other services
}

// Route selects requests by host and path and says how to forward them.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Timeout            time.Duration // longest time until the response is complete; 0 for no limit
	LatencyTarget      time.Duration // response time up to which a response has its full value; 0 for no target
	Priority           int           // 0 is the most urgent
	Services           []WeightedService
	MaxEndpoints       int           // endpoints that may run one request; less than 1 counts as 1
	Resumable          bool          // endpoints can resume a stream after an event
	Public             bool          // needs no key, also where the configuration has workspaces
	Retain             bool          // the system keeps the conversations of its programs
	Retention          time.Duration // for which a turn can be gone on from
	EventGapTarget     time.Duration // longest time between two events of a stream that counts as on time; 0 for no target
}

// Retryable reports whether a request with an unknown outcome may be resent.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a group of endpoints that run the same software.
type Service struct {
	Name           string
	Slots          int // requests that an engine runs in one batch; 0 for a service without engines
	KVCacheTokens  int // capacity of an engine's prompt cache in tokens
	TokensPerEvent int // generated tokens in one event of a stream
	// LearnCapacity means that the scheduler learns how much each endpoint takes well.
	LearnCapacity bool
}

// CallerLimits bounds the connections and requests of callers.
type CallerLimits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It is immutable once it
// is in use.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   CallerLimits
	// Keys are the keys of all workspaces; nil if requests need none.
	Keys       *keys.Set
	Workspaces map[string]*Workspace // by name
}

// Retains reports whether the conversations of a route are kept; false for nil.
func (c *Config) Retains() bool {
	return c != nil && slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Retain })
}

// Validate returns an error if the configuration is unusable.
func (c *Config) Validate() error {
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			return fmt.Errorf("route %q: no host, or prefix without a slash at both ends: host %q, prefix %q", r.Name, r.Host, r.Prefix)
		}
		if len(r.Services) == 0 {
			return fmt.Errorf("route %q: no service configured", r.Name)
		}
	}
	return nil
}

// Match returns the route with the longest matching prefix for a host and path, or nil.
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

// PickService picks one of the route's services by weight. Equal keys pick the same
// service. It returns "" if no service has a positive weight.
func (r *Route) PickService(key uint64) string {
	total := 0
	for _, s := range r.Services {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return ""
	}
	position := int(key % uint64(total))
	for _, s := range r.Services {
		if position < max(0, s.Weight) {
			return s.Service
		}
		position -= max(0, s.Weight)
	}
	return ""
}
