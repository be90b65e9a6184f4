package main

import (
	"context"
	"testing"
	"time"

	"ibisstall.example/ibisstall/internal/localfleet"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

// BenchmarkRest keeps a fleet in one process idle for one second per iteration, with
// 2,000 listed runners, to profile its background work:
//
//	go test -run xxx -bench Rest -benchtime 20x -cpuprofile cpu.out ./test/scale
func BenchmarkRest(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var listed []platform.ListedVM
	for i := range 2000 {
		listed = append(listed, farRunner(i))
	}
	f, err := localfleet.Start(ctx, localfleet.Options{
		Region: region, DCs: []string{"dc0", "dc1", "dc2"}, VMs: 8, Engines: 3, Model: model, Workspaces: []string{workspace}, ExtraListedVMs: listed,
		Engine: runner.EngineOptions{Slots: 8, CacheTokens: 1 << 16},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	for b.Loop() {
		time.Sleep(time.Second)
	}
}
