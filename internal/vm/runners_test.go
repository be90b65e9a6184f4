package vm

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/system/placement"
)

// heldNews is the news of an engine that holds one session.
type heldNews struct{ placement.Telemetry }

func (heldNews) Sessions(context.Context, entity.Endpoint) ([]endpoint.Session, error) {
	return []endpoint.Session{{Program: "amman-a.p1", Tokens: 10}}, nil
}

func TestNews_SessionsAreListedWhileMemoryIsShort(t *testing.T) {
	cases := []struct {
		name   string
		pinned int64
		want   int
	}{
		{"an engine with free memory is not asked", 50, 0},
		{"an engine with little free memory is asked", 90, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			report := endpoint.LoadReport{CacheTokens: 100, PinnedTokens: c.pinned}
			n := &news{Telemetry: heldNews{}, last: map[string]reading{"e1": {report: report}}}
			sessions, err := n.Sessions(t.Context(), entity.Endpoint{Name: "e1"})
			is.NoErr(err)
			is.Equal(len(sessions), c.want)
		})
	}
}
