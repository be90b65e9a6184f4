package vm

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/timeline"
)

// watchEvery is the time between two looks at what the watch records.
const watchEvery = 200 * time.Millisecond

// watch turns changes of what this VM believes of the platform and of the
// endpoints into events. Only its own loop uses it.
type watch struct {
	platformLost bool
	sick         map[string]bool
}

// platform returns the event of a change, if there was one.
func (w *watch) platform(reachable bool) (timeline.Event, bool) {
	if w.platformLost != reachable {
		return timeline.Event{}, false
	}
	w.platformLost = !reachable
	if reachable {
		return timeline.Event{Kind: timeline.PlatformReachable}, true
	}
	return timeline.Event{Kind: timeline.PlatformUnreachable}, true
}

// endpoints returns the events of the endpoints that fell sick or recovered.
// One that has gone is forgotten.
func (w *watch) endpoints(all []entity.Endpoint, sick func(name string) bool) []timeline.Event {
	now := make(map[string]bool, len(w.sick))
	var events []timeline.Event
	for _, ep := range all {
		before, is := w.sick[ep.Name], sick(ep.Name)
		if is {
			now[ep.Name] = true
		}
		switch {
		case is && !before:
			events = append(events, timeline.Event{Kind: timeline.EndpointUnhealthy, Endpoint: ep.Name})
		case before && !is:
			events = append(events, timeline.Event{Kind: timeline.EndpointRecovered, Endpoint: ep.Name})
		}
	}
	w.sick = now
	return events
}

// watchLoop records the changes and tells the other VMs whether this one
// reaches the platform.
func (v *VM) watchLoop(ctx context.Context) {
	w := &watch{}
	v.loop(ctx, watchEvery, func(context.Context) {
		reachable := v.platform.Reachable()
		if e, changed := w.platform(reachable); changed {
			v.members.SetPlatformReachable(reachable)
			v.recorder.Record(e)
		}
		for _, e := range w.endpoints(v.directory.Endpoints(), v.schedule.Balancer().Unhealthy) {
			v.recorder.Record(e)
		}
	})
}
