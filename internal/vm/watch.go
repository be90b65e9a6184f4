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
	platformUnreachable bool
	unhealthy           map[string]bool
}

// platform returns the event for a change of reachability, if there was one.
func (w *watch) platform(reachable bool) (timeline.Event, bool) {
	if w.platformUnreachable != reachable {
		return timeline.Event{}, false
	}
	w.platformUnreachable = !reachable
	if reachable {
		return timeline.Event{Kind: timeline.PlatformReachable}, true
	}
	return timeline.Event{Kind: timeline.PlatformUnreachable}, true
}

// endpoints returns the events of endpoints that became unhealthy or recovered.
// Endpoints that are no longer listed are dropped without an event.
func (w *watch) endpoints(all []entity.Endpoint, unhealthy func(name string) bool) []timeline.Event {
	now := make(map[string]bool, len(w.unhealthy))
	var events []timeline.Event
	for _, ep := range all {
		before, after := w.unhealthy[ep.Name], unhealthy(ep.Name)
		if after {
			now[ep.Name] = true
		}
		switch {
		case after && !before:
			events = append(events, timeline.Event{Kind: timeline.EndpointUnhealthy, Endpoint: ep.Name})
		case before && !after:
			events = append(events, timeline.Event{Kind: timeline.EndpointRecovered, Endpoint: ep.Name})
		}
	}
	w.unhealthy = now
	return events
}

// startWatch starts a loop that records changes as events and reports to the
// other VMs whether this one reaches the platform.
func (v *VM) startWatch(ctx context.Context) {
	w := &watch{}
	v.startPeriodic(ctx, watchInterval, func(context.Context) {
		reachable := v.platform.Reachable()
		if e, changed := w.platform(reachable); changed {
			v.members.SetPlatformReachable(reachable)
			v.recorder.Record(e)
		}
		for _, e := range w.endpoints(v.directory.Endpoints(), v.scheduler.Balancer().Unhealthy) {
			v.recorder.Record(e)
		}
	})
}
