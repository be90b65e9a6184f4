package sweep

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/predictedrelease"
)

// listedEngine is an Engine that lists the given sessions.
type listedEngine []endpoint.Session

func (e listedEngine) Sessions(context.Context) ([]endpoint.Session, error) { return e, nil }
func (e listedEngine) Release(context.Context, entity.ProgramID) error      { return nil }
func (e listedEngine) FetchLoadReport(context.Context) (endpoint.LoadReport, error) {
	return endpoint.LoadReport{CacheTokens: 1 << 40}, nil
}

// BenchmarkSweeper_Sweep sweeps 6 engines with 42 programs each, without the
// network. This is the part of one of 350 VMs in a deployment of 2,000 engines
// and 84,000 programs.
func BenchmarkSweeper_Sweep(b *testing.B) {
	engines := make(map[string]Engine)
	for i := range 6 {
		var e listedEngine
		for j := range 42 {
			id := entity.NewProgramID("amman-a", fmt.Sprint("p", i, "-", j), "")
			e = append(e, endpoint.Session{Program: id, Tokens: 4000, IdleSeconds: 2})
		}
		engines[fmt.Sprint("e", i)] = e
	}
	s := New(Options{
		Engines:   func() map[string]Engine { return engines },
		Lookup:    func(context.Context, []entity.ProgramID) (map[entity.ProgramID]Status, error) { return nil, nil },
		Retention: predictedrelease.DefaultParams(time.Hour),
	})
	for range b.N {
		if _, err := s.Sweep(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}
