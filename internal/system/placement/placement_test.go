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

// blocks returns the hashes of a prompt that shares its first blocks with all
// prompts of the same root.
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

func TestSystem_Place(t *testing.T) {
	cases := []struct {
		name  string
		news  func(s *System)
		call  Call
		want  string
		fails error
	}{
		{"a program returns to its prefix", func(s *System) { s.Sent("b", call(1, 1), start) }, call(1, 1), "b", nil},
		{"a program follows a sibling's shared prefix", func(s *System) { s.Sent("c", call(1, 1), start) }, call(1, 2), "c", nil},
		{"a program goes elsewhere when its endpoint leaves", func(s *System) {
			s.Sent("b", call(1, 1), start)
			leaving := engine("b")
			leaving.Leaving = true
			s.SetEndpoints([]entity.Endpoint{engine("a"), leaving})
		}, call(1, 1), "a", nil},
		{"a program goes elsewhere when the table drains its endpoint", func(s *System) {
			s.SetEndpoints([]entity.Endpoint{engine("a"), engine("b")})
			s.Sent("b", call(1, 1), start)
			s.SetDrains(func(name string) bool { return name == "b" })
		}, call(1, 1), "a", nil},
		{"a program spills when the reported queue is long", func(s *System) {
			s.SetEndpoints([]entity.Endpoint{engine("a"), engine("b")})
			s.Sent("b", call(1, 1), start)
			s.Report("b", estimate.Load{Running: 4, Waiting: 40, Permits: 4}, start)
		}, call(1, 1), "a", nil},
		{"a sick endpoint gets nothing", func(s *System) {
			s.SetEndpoints([]entity.Endpoint{engine("a"), engine("b")})
			s.Sent("b", call(1, 1), start)
			for range 4 {
				s.Finished("b", Ended{Call: call(1, 1), Failed: true}, start)
			}
		}, call(1, 1), "a", nil},
		{"what troubles all endpoints keeps none from the calls", func(s *System) {
			s.Sent("b", call(1, 1), start)
			for _, name := range []string{"a", "b", "c"} {
				for range 4 {
					s.Finished(name, Ended{Call: call(1, 1), Failed: true}, start)
				}
			}
		}, call(1, 1), "b", nil},
		{"a target that nobody serves is an error", func(*System) {}, Call{Kind: entity.CallTool, Target: "deposit"}, "", ErrNoEndpoint},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New(DefaultOptions())
			s.SetEndpoints([]entity.Endpoint{engine("a"), engine("b"), engine("c")})
			c.news(s)
			d, err := s.Place(c.call, start.Add(time.Millisecond))
			is.True(errors.Is(err, c.fails))
			is.Equal(d.Endpoint.Name, c.want)
		})
	}
}

func TestSystem_SickEndpointIsProbedByOneCall(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	s := New(opts)
	s.SetEndpoints([]entity.Endpoint{engine("a"), engine("b")})
	c := call(1, 1)
	s.Sent("b", c, start)
	for range 4 {
		s.Finished("b", Ended{Call: c, Failed: true}, start)
	}
	is.True(s.Sick("b"))
	due := start.Add(opts.Health.InitialProbeDelay)
	d, err := s.Place(c, due)
	is.NoErr(err)
	is.Equal(d.Endpoint.Name, "b") // the probe, drawn by its prefix
	s.Sent("b", c, due)
	d, err = s.Place(c, due)
	is.NoErr(err)
	is.Equal(d.Endpoint.Name, "a")
	for range opts.Health.RecoverySuccesses {
		s.Finished("b", Ended{Call: c}, due)
	}
	is.True(!s.Sick("b"))
}

func TestSystem_ImportsFromTheProgramsLastEndpoint(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	opts.ImportRate = 1e6
	s := New(opts)
	s.SetEndpoints([]entity.Endpoint{engine("a"), engine("b")})
	c := call(1, 1)
	s.Sent("b", c, start)
	s.Finished("b", Ended{Call: c, Run: estimate.CallSample{Total: 4 * time.Second}}, start)
	s.Report("b", estimate.Load{Running: 4, Waiting: 40, Permits: 4}, start)
	d, err := s.Place(c, start)
	is.NoErr(err)
	is.Equal(d.Endpoint.Name, "a")
	is.Equal(d.ImportFrom, "b")
}
