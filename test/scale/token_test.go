package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"ibisstall.example/ibisstall/internal/localfleet"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

// BenchmarkTokens streams answers through a fleet in one process at 5 ms for a token,
// to profile the cost of a token:
//
//	go test -run xxx -bench Tokens -benchtime 10x -cpuprofile cpu.out ./test/scale
func BenchmarkTokens(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	local, err := localfleet.Start(ctx, localfleet.Options{
		Region: region, DCs: []string{"dc0"}, VMs: 4, Engines: 4, Model: model, Workspaces: []string{workspace},
		Engine: runner.EngineOptions{Slots: engineSlots, CacheTokens: 1 << 20, DecodePerToken: 5 * time.Millisecond},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer local.Close()
	f := &fleet{workspaceKey: local.WorkspaceKeys[workspace], client: http.DefaultClient}
	const callers, tokens = 24, 200
	for b.Loop() {
		var all sync.WaitGroup
		for i := range callers {
			all.Go(func() {
				p := &process{http: local.VMs[i%len(local.VMs)].VM.Addr()}
				id, err := f.create(p)
				if err == nil {
					_, err = f.chat(programURL(p, id), chatBody(tokens, 400, true))
				}
				if err != nil {
					b.Error(fmt.Errorf("call %d: %w", i, err))
				}
			})
		}
		all.Wait()
	}
}
