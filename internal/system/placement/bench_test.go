package placement

import (
	"fmt"
	"testing"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// BenchmarkSystem_Place places calls with a prompt of 230,000 tokens over the
// engines of a data centre of the target size, one of which holds it.
func BenchmarkSystem_Place(b *testing.B) {
	const promptBlocks = 230_000 / blockTokens
	for _, engines := range []int{4, 167} {
		b.Run(fmt.Sprint("engines=", engines), func(b *testing.B) {
			s := New(DefaultOptions())
			list := make([]entity.Endpoint, engines)
			for i := range list {
				list[i] = engine(fmt.Sprint("engine-", i))
			}
			s.SetEndpoints(list)
			c := Call{Program: "a.p", Kind: entity.CallModel, Target: "m", PromptTokens: promptBlocks * blockTokens}
			for i := range uint64(promptBlocks) {
				c.Prompt = append(c.Prompt, i*2654435761)
			}
			s.RecordSent("engine-1", c, time.Now())
			for b.Loop() {
				d, err := s.Place(c, time.Now())
				if err != nil || d.Endpoint.Name != "engine-1" {
					b.Fatalf("placed at %s: %v", d.Endpoint.Name, err)
				}
				s.RecordSent(d.Endpoint.Name, c, time.Now())
				s.RecordFinished(d.Endpoint.Name, FinishedCall{Call: c}, time.Now())
			}
		})
	}
}
