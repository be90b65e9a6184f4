package vm

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/system/placement"
)

// oneSessionTelemetry is the telemetry of an engine with one session.
type oneSessionTelemetry struct{ placement.Telemetry }

func (oneSessionTelemetry) Sessions(context.Context, entity.Endpoint) ([]endpoint.Session, error) {
	return []endpoint.Session{{Program: "amman-a.p1", Tokens: 10}}, nil
}

func TestEngineTelemetry_ListsSessionsAboveTheHighWatermark(t *testing.T) {
	cases := []struct {
		name   string
		pinned int64
		want   int
	}{
		{"below the high watermark the engine is not queried", 50, 0},
		{"above the high watermark the engine is queried", 90, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			report := endpoint.LoadReport{CacheTokens: 100, PinnedTokens: c.pinned}
			n := &engineTelemetry{Telemetry: oneSessionTelemetry{}, last: map[string]timedReport{"e1": {report: report}}}
			sessions, err := n.Sessions(t.Context(), entity.Endpoint{Name: "e1"})
			is.NoErr(err)
			is.Equal(len(sessions), c.want)
		})
	}
}
