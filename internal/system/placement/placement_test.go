package placement

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/estimate"
)

var start = time.Date(2026, 12, 1, 4, 0, 0, 0, time.UTC)

func engine(name string) entity.Endpoint {
	return entity.Endpoint{Name: name, Kind: entity.KindEngine, Models: []string{"m"}, URL: "http://" + name}
}

// blocks returns the block hashes of a prompt that shares its first 300 of 400
// blocks with all prompts of the same root.
func blocks(root, tail uint64) []uint64 {
	list := make([]uint64, 400)
	for i := range list {
		list[i] = root<<32 + uint64(i)
		if i >= 300 {
			list[i] += tail << 16
		}
	}
	return list
}

func call(root, tail uint64) Call {
	prompt := blocks(root, tail)
	return Call{Program: "a.p", Kind: entity.CallModel, Target: "m", Prompt: prompt, PromptTokens: int64(len(prompt)) * blockTokens, MaxTokens: 50}
}

func TestBalancer_Place(t *testing.T) {
	cases := []struct {
		name    string
		setup   func(b *Balancer)
		call    Call
		want    string
		wantErr error
	}{
		{"a call goes to the endpoint that has its prefix", func(b *Balancer) { b.RecordSent("b", call(1, 1), start) }, call(1, 1), "b", nil},
		{"a call goes to the endpoint that has the shared prefix of another call", func(b *Balancer) { b.RecordSent("c", call(1, 1), start) }, call(1, 2), "c", nil},
		{"a program moves when its endpoint is leaving", func(b *Balancer) {
			b.RecordSent("b", call(1, 1), start)
			leaving := engine("b")
			leaving.Leaving = true
			b.SetEndpoints([]entity.Endpoint{engine("a"), leaving})
		}, call(1, 1), "a", nil},
		{"a program moves when the operators' table drains its endpoint", func(b *Balancer) {
			b.SetEndpoints([]entity.Endpoint{engine("a"), engine("b")})
			b.RecordSent("b", call(1, 1), start)
			b.SetDrained(func(name string) bool { return name == "b" })
		}, call(1, 1), "a", nil},
		{"a program moves when its endpoint reports a long queue", func(b *Balancer) {
			b.SetEndpoints([]entity.Endpoint{engine("a"), engine("b")})
			b.RecordSent("b", call(1, 1), start)
			b.SetReportedLoad("b", estimate.Load{Running: 4, Waiting: 40, Permits: 4}, start)
		}, call(1, 1), "a", nil},
		{"an unhealthy endpoint gets no calls", func(b *Balancer) {
			b.SetEndpoints([]entity.Endpoint{engine("a"), engine("b")})
			b.RecordSent("b", call(1, 1), start)
			for range 4 {
				b.RecordFinished("b", FinishedCall{Call: call(1, 1), Failed: true}, start)
			}
		}, call(1, 1), "a", nil},
		{"calls are placed as usual if all endpoints are unhealthy", func(b *Balancer) {
			b.RecordSent("b", call(1, 1), start)
			for _, name := range []string{"a", "b", "c"} {
				for range 4 {
					b.RecordFinished(name, FinishedCall{Call: call(1, 1), Failed: true}, start)
				}
			}
		}, call(1, 1), "b", nil},
		{"a target that no endpoint serves is an error", func(*Balancer) {}, Call{Kind: entity.CallTool, Target: "deposit"}, "", ErrNoEndpoint},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := New(DefaultOptions())
			b.SetEndpoints([]entity.Endpoint{engine("a"), engine("b"), engine("c")})
			c.setup(b)
			d, err := b.Place(c.call, start.Add(time.Millisecond))
			is.True(errors.Is(err, c.wantErr))
			is.Equal(d.Endpoint.Name, c.want)
		})
	}
}

func TestBalancer_UnhealthyEndpointIsProbedByOneCall(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	b := New(opts)
	b.SetEndpoints([]entity.Endpoint{engine("a"), engine("b")})
	c := call(1, 1)
	b.RecordSent("b", c, start)
	for range 4 {
		b.RecordFinished("b", FinishedCall{Call: c, Failed: true}, start)
	}
	is.True(b.Unhealthy("b"))
	due := start.Add(opts.Health.InitialProbeDelay)
	d, err := b.Place(c, due)
	is.NoErr(err)
	is.Equal(d.Endpoint.Name, "b") // the probe, chosen because of its cached prefix
	b.RecordSent("b", c, due)
	d, err = b.Place(c, due)
	is.NoErr(err)
	is.Equal(d.Endpoint.Name, "a")
	for range opts.Health.RecoverySuccesses {
		b.RecordFinished("b", FinishedCall{Call: c}, due)
	}
	is.True(!b.Unhealthy("b"))
}

func TestBalancer_ImportsFromTheProgramsLastEndpoint(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	opts.ImportRate = 1e6
	b := New(opts)
	b.SetEndpoints([]entity.Endpoint{engine("a"), engine("b")})
	c := call(1, 1)
	b.RecordSent("b", c, start)
	b.RecordFinished("b", FinishedCall{Call: c, Sample: estimate.CallSample{RunTime: 4 * time.Second}}, start)
	b.SetReportedLoad("b", estimate.Load{Running: 4, Waiting: 40, Permits: 4}, start)
	d, err := b.Place(c, start)
	is.NoErr(err)
	is.Equal(d.Endpoint.Name, "a")
	is.Equal(d.ImportFrom, "b")
}
