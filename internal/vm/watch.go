package vm

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/timeline"
)

// watchInterval is the time between two checks for changes to record.
const watchInterval = 200 * time.Millisecond

// watch converts changes in the reachability of the platform and the health of
// endpoints, as this VM sees them, into events. It is not safe for concurrent
// use.
type watch struct {
	platformUnreachable bool            // at the last check
	unhealthy           map[string]bool // endpoints at the last check, by name
}

// platformEvent returns the event for a change of the platform's reachability since
// the last call. It returns false if there was no change.
func (w *watch) platformEvent(reachable bool) (timeline.Event, bool) {
	if w.platformUnreachable != reachable {
		return timeline.Event{}, false
	}
	w.platformUnreachable = !reachable
	if reachable {
		return timeline.Event{Kind: timeline.PlatformReachable}, true
	}
	return timeline.Event{Kind: timeline.PlatformUnreachable}, true
}

// endpointEvents returns an event for each endpoint that became unhealthy or recovered
// since the last call.
// Endpoints that are no longer listed are dropped without an event.
func (w *watch) endpointEvents(all []entity.Endpoint, unhealthy func(name string) bool) []timeline.Event {
	unhealthyNow := make(map[string]bool, len(w.unhealthy))
	var events []timeline.Event
	for _, ep := range all {
		wasUnhealthy, isUnhealthy := w.unhealthy[ep.Name], unhealthy(ep.Name)
		if isUnhealthy {
			unhealthyNow[ep.Name] = true
		}
		switch {
		case isUnhealthy && !wasUnhealthy:
			events = append(events, timeline.Event{Kind: timeline.EndpointUnhealthy, Endpoint: ep.Name})
		case wasUnhealthy && !isUnhealthy:
			events = append(events, timeline.Event{Kind: timeline.EndpointRecovered, Endpoint: ep.Name})
		}
	}
	w.unhealthy = unhealthyNow
	return events
}

// startWatch starts a loop that records changes as events and reports to the
// other VMs whether this one reaches the platform.
func (v *VM) startWatch(ctx context.Context) {
	w := &watch{}
	v.startPeriodic(ctx, watchInterval, func(context.Context) {
		reachable := v.platform.Reachable()
		if e, changed := w.platformEvent(reachable); changed {
			v.members.SetPlatformReachable(reachable)
			v.recorder.Record(e)
		}
		for _, e := range w.endpointEvents(v.directory.Endpoints(), v.scheduler.Balancer().Unhealthy) {
			v.recorder.Record(e)
		}
	})
}
