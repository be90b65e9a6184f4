package placement

import (
	"fmt"
	"testing"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// BenchmarkBalancer_Place places calls with a prompt of 230,000 tokens on the
// engines of a small data centre and of one of the target size, 167 engines. One
// engine has the prompt cached.
func BenchmarkBalancer_Place(b *testing.B) {
	const promptBlocks = 230_000 / blockTokens
	for _, engines := range []int{4, 167} {
		b.Run(fmt.Sprint("engines=", engines), func(b *testing.B) {
			balancer := New(DefaultOptions())
			list := make([]entity.Endpoint, engines)
			for i := range list {
				list[i] = engine(fmt.Sprint("engine-", i))
			}
			balancer.SetEndpoints(list)
			c := Call{Program: "a.p", Kind: entity.CallModel, Target: "m", PromptTokens: promptBlocks * blockTokens}
			for i := range uint64(promptBlocks) {
				c.Prompt = append(c.Prompt, i*2654435761)
			}
			balancer.RecordSent("engine-1", c, time.Now())
			for b.Loop() {
				d, err := balancer.Place(c, time.Now())
				if err != nil || d.Endpoint.Name != "engine-1" {
					b.Fatalf("placed at %s: %v", d.Endpoint.Name, err)
				}
				balancer.RecordSent(d.Endpoint.Name, c, time.Now())
				balancer.RecordFinished(d.Endpoint.Name, FinishedCall{Call: c}, time.Now())
			}
		})
	}
}
