package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/logging/tag"
)

// unconfirmedRetryAfter is the least retry-after of refusals without a recent configuration: other
// VMs may have one.
const unconfirmedRetryAfter = 100 * time.Millisecond

// Reasons why a request is refused for its key.
var (
	errNoKey           = errors.New("no valid key")
	errUnknownKey      = errors.New("unknown key")
	errKeyRemoved      = errors.New("key was taken away while the request waited")
	errKeyMoved        = errors.New("key was given to another workspace while the request waited")
	errConfigTooOld    = errors.New("configuration not confirmed")
	errRouteNotFound   = errors.New("no route")
	errConfigNotLoaded = errors.New("no configuration yet")
)

// maxDenialAge is the largest age of a configuration that proves that a route or a key doesn't
// exist: longer than a feed that responds is silent.
const maxDenialAge = 3 * time.Second

// authenticate finds the route of a request and, by its key, its workspace. It refuses the
// request if there is no such route, or if the route needs a key and the request has none.
func (x *exchange) authenticate(ctx context.Context) bool {
	if !x.findCurrentRoute(ctx) {
		return false
	}
	if !x.requiresKey() {
		return true
	}
	if x.f.Confirmer != nil {
		if err := x.f.Confirmer.Confirm(ctx, x.receivedAt); err != nil {
			x.refuseKey(http.StatusServiceUnavailable, errConfigTooOld)
			x.cause = err
			return false
		}
		// Another configuration may be in force now.
		if !x.findCurrentRoute(ctx) {
			return false
		}
		if !x.requiresKey() {
			return true
		}
	}
	if x.request.Key == "" {
		x.refuseKey(http.StatusUnauthorized, errNoKey)
		return false
	}
	name, ok := x.config.Keys.Holder(x.request.Key)
	if !ok {
		if !x.confirmDenial(ctx) {
			return false
		}
		if name, ok = x.config.Keys.Holder(x.request.Key); !ok {
			x.refuseKey(http.StatusUnauthorized, errUnknownKey)
			return false
		}
	}
	x.workspace = x.config.Workspaces[name]
	return true
}

// findCurrentRoute finds the route in the configuration in force. A request that goes on from a
// turn has a route that keeps turns, unless that was removed: if there is none, the configuration
// may be outdated, as it may be if there is no route at all.
func (x *exchange) findCurrentRoute(ctx context.Context) bool {
	if !x.findRoute() {
		return false
	}
	if (x.route == nil || x.request.PreviousTurn != "" && !x.route.Retain) && !x.confirmDenial(ctx) {
		return false
	}
	if x.route == nil {
		x.refuse(http.StatusNotFound, errRouteNotFound.Error(), 0)
	}
	return x.route != nil
}

// findRoute finds the route, if there is one, in the configuration in force.
func (x *exchange) findRoute() bool {
	x.config = x.f.Config()
	if x.config == nil {
		x.refuse(http.StatusServiceUnavailable, errConfigNotLoaded.Error(), defaultRetryAfter)
		return false
	}
	x.route = x.config.Match(x.request.Host, path(x.request.Target))
	return true
}

// confirmDenial makes sure that the configuration by which a request is to be denied isn't
// outdated, and looks the route up again. A request that goes on from a turn proves that its route
// existed when it came. Without proof it refuses the request: another VM may serve it.
func (x *exchange) confirmDenial(ctx context.Context) bool {
	if x.f.Confirmer == nil {
		return true
	}
	since := x.receivedAt
	if x.request.PreviousTurn == "" {
		since -= maxDenialAge
	}
	if err := x.f.Confirmer.ConfirmSince(ctx, since); err != nil {
		x.f.Metrics.unprovenDenials.Inc()
		x.cause = err
		x.refuse(http.StatusServiceUnavailable, errConfigTooOld.Error(), x.storeRetryAfter(unconfirmedRetryAfter))
		return false
	}
	return x.findRoute()
}

// requiresKey reports whether the request needs a key, and records whether others do.
func (x *exchange) requiresKey() bool {
	x.hideKey = x.hideKey || x.config.Keys != nil
	return x.config.Keys != nil && !x.route.Public
}

// checkKey returns an error if the request must not be sent, since its key was taken away
// after it was authenticated.
func (x *exchange) checkKey() error {
	cfg := x.f.Config()
	if cfg == x.config {
		return nil
	}
	x.config = cfg
	route := cfg.Match(x.request.Host, path(x.request.Target))
	if route == nil {
		route = x.route // it was dropped
	}
	x.hideKey = x.hideKey || cfg.Keys != nil
	if cfg.Keys == nil || route.Public {
		return nil
	}
	name, ok := cfg.Keys.Holder(x.request.Key)
	switch {
	case !ok:
		return errKeyRemoved
	case name != x.workspaceName():
		return errKeyMoved
	}
	return nil
}

// failKey refuses a request that has not run for an error of checkKey. It reports false for
// other errors.
func (x *exchange) failKey(err error) bool {
	switch {
	case errors.Is(err, errKeyRemoved):
		x.refuseKey(http.StatusUnauthorized, errKeyRemoved)
	case errors.Is(err, errKeyMoved):
		x.refuseKey(http.StatusServiceUnavailable, errKeyMoved)
	default:
		return false
	}
	return true
}

// refusedKeyLabels holds the values of the label of refusals for keys.
var refusedKeyLabels = map[error]string{
	errNoKey: "no_key", errUnknownKey: "unknown_key", errKeyRemoved: "removed_key", errKeyMoved: "moved_key", errConfigTooOld: "unconfirmed",
}

// refuseKey refuses a request for its key.
func (x *exchange) refuseKey(status int, reason error) {
	x.f.Metrics.refusedKeys.With(refusedKeyLabels[reason]).Inc()
	if status == http.StatusUnauthorized {
		x.w.Header().Set("WWW-Authenticate", x.f.Headers.KeyScheme)
	}
	x.refusedKey = true
	retryAfter := unconfirmedRetryAfter
	if errors.Is(reason, errConfigTooOld) {
		retryAfter = x.storeRetryAfter(retryAfter)
	}
	x.refuse(status, reason.Error(), retryAfter)
}

// keyFields returns the log fields that say which configuration decided a refusal for a key.
func (x *exchange) keyFields() []zap.Field {
	if !x.refusedKey {
		return nil
	}
	fields := []zap.Field{tag.ConfigVersion(uint64(x.config.Version))}
	if x.f.Confirmer != nil {
		fields = append(fields, tag.Age(x.f.Confirmer.Age()))
	}
	return fields
}
