package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"testing"
	"time"

	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/policy/quota"
)

const (
	benchWorkspaces = 550
	benchPrograms   = 50 // of a workspace at a keeper, remembered
)

// BenchmarkGrant answers questions for one request each, one in five of a program that begins.
func BenchmarkGrant(b *testing.B) {
	f := newFleet(3, 2)
	keeper := f.vms["0-0"].Keeper
	names := make([]string, benchWorkspaces)
	for i := range names {
		names[i] = fmt.Sprint("workspace-", i)
	}
	random := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		ask := quota.Ask{Others: 1, Usage: quota.Usage{Requests: 1}}
		if random.IntN(5) == 0 {
			ask = quota.Ask{Programs: []uint64{random.Uint64N(1000)}}
		}
		f.advance(time.Millisecond)
		keeper.grant(GrantRequest{Workspace: names[random.IntN(len(names))], Limit: quota.Limit{PerSecond: 30, Burst: 30}, Ask: ask})
	}
}

// BenchmarkAcquire takes requests through a VM that sends 1,000 a second of one workspace.
func BenchmarkAcquire(b *testing.B) {
	f := newFleet(3, 2)
	q := limited
	q.PerSecond, q.Burst = 1e5, 1e5
	b.ReportAllocs()
	for b.Loop() {
		f.advance(time.Millisecond)
		if err := f.vms["0-1"].Acquire(context.Background(), q, Request{Workspace: "w"}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(f.calls)/float64(b.N), "questions/op")
}

// BenchmarkQuestion sends questions for one request over the mesh.
func BenchmarkQuestion(b *testing.B) {
	f := newFleet(1, 1)
	server, err := mesh.Listen(mesh.ServerOptions{Addr: "127.0.0.1:0", SilenceTimeout: time.Minute})
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	if err := Register(server, f.vms["0-0"].Keeper); err != nil {
		b.Fatal(err)
	}
	go server.Serve()
	client := mesh.NewClient(mesh.ClientOptions{LocalIP: net.IPv4(127, 0, 0, 1), SilenceTimeout: time.Minute, DialTimeout: time.Minute})
	defer client.Close()
	for b.Loop() {
		f.advance(time.Millisecond)
		req := GrantRequest{Workspace: "workspace-1", Version: 12, Limit: quota.Limit{PerSecond: 1e5, Burst: 1e5}, Ask: quota.Ask{Others: 1}}
		var resp GrantResponse
		if err := client.Call(context.Background(), server.Addr(), methodGrant, req, &resp); err != nil || resp.Answer.Others != 1 {
			b.Fatal(err, resp)
		}
	}
}

// BenchmarkMemory measures what a keeper holds for a workspace, and a VM that sends for it.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		f := newFleet(1, 2)
		vm, keeper := f.vms["0-1"], f.vms["0-0"].Keeper
		measure := func(unit string, fill func(workspace string)) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range benchWorkspaces {
				fill(fmt.Sprint("workspace-", i))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchWorkspaces, unit)
		}
		measure("B/share", func(name string) {
			for p := range uint64(benchPrograms) {
				keeper.grant(GrantRequest{Workspace: name, Limit: quota.Limit{PerSecond: 1000, Burst: 1000}, Ask: quota.Ask{Programs: []uint64{p}}})
			}
		})
		measure("B/account", func(name string) {
			if err := vm.Acquire(context.Background(), limited, Request{Workspace: name}); err != nil {
				b.Fatal(err)
			}
		})
		runtime.KeepAlive(f)
	}
}
