package vm

import (
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/timeline"
)

func TestWatch_Platform(t *testing.T) {
	is := is.New(t)
	var kinds []timeline.Kind
	w := &watch{}
	for _, reachable := range []bool{true, false, false, true, true, false} {
		if e, changed := w.platformEvent(reachable); changed {
			kinds = append(kinds, e.Kind)
		}
	}
	is.Equal(kinds, []timeline.Kind{timeline.PlatformUnreachable, timeline.PlatformReachable, timeline.PlatformUnreachable})
}

func TestWatch_Endpoints(t *testing.T) {
	is := is.New(t)
	a, b := entity.Endpoint{Name: "a"}, entity.Endpoint{Name: "b"}
	steps := []struct {
		name      string
		all       []entity.Endpoint
		unhealthy string
		events    []timeline.Event
	}{
		{"healthy endpoints cause no event", []entity.Endpoint{a, b}, "", nil},
		{"a becomes unhealthy", []entity.Endpoint{a, b}, "a", []timeline.Event{{Kind: timeline.EndpointUnhealthy, Endpoint: "a"}}},
		{"a stays unhealthy", []entity.Endpoint{a, b}, "a", nil},
		{"a recovers as b becomes unhealthy", []entity.Endpoint{a, b}, "b", []timeline.Event{
			{Kind: timeline.EndpointRecovered, Endpoint: "a"}, {Kind: timeline.EndpointUnhealthy, Endpoint: "b"}}},
		{"b is unhealthy and no longer listed", []entity.Endpoint{a}, "b", nil},
		{"b is listed again and healthy", []entity.Endpoint{a, b}, "", nil},
	}
	w := &watch{}
	for _, s := range steps {
		is.Equal(w.endpointEvents(s.all, func(name string) bool { return name == s.unhealthy }), s.events)
	}
}
