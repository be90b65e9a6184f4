package journal

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform/batch"
	"ibisstall.example/ibisstall/internal/platform/batchrpc"
	"ibisstall.example/ibisstall/internal/platform/httpclient"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

// Settings of the benchmarks.
const (
	benchDelay           = 5 * time.Millisecond  // delay of each table request at the platform
	benchSpacing         = 20 * time.Millisecond // minimum time between transactions of a VM
	benchReadsPerSecond  = 2000                  // platform's rate limit for read requests
	benchWritesPerSecond = 300                   // platform's rate limit for write requests
	benchAnswerBytes     = 3000                  // size of a turn's answer
	benchAdoptedPrograms = 1000
)

// benchPlatform serves the platform stand-in over HTTP.
type benchPlatform struct {
	service *platformsvc.Server
	url     string
}

func newBenchPlatform(b *testing.B) *benchPlatform {
	b.Helper()
	service := platformsvc.NewServer(platformsvc.NewStore())
	server := httptest.NewServer(service)
	b.Cleanup(server.Close)
	p := &benchPlatform{service: service, url: server.URL}
	p.setControl(b, platformsvc.Control{Faults: []platformsvc.Fault{{Service: platformsvc.Table, DelayMS: benchDelay.Milliseconds()}}})
	return p
}

func (p *benchPlatform) setControl(b *testing.B, c platformsvc.Control) {
	b.Helper()
	if err := p.service.SetControl(c); err != nil {
		b.Fatal(err)
	}
}

// vm returns the committer and the journal of one VM; forwarder may be nil.
func (p *benchPlatform) vm(b *testing.B, forwarder batch.Forwarder) (*batch.Committer, *Journal) {
	b.Helper()
	client := httpclient.New(httpclient.Options{BaseURL: p.url, DC: "amman-a"})
	committer := batch.New(client, batch.Options{MinInterval: benchSpacing, Forwarder: forwarder})
	j := New(Options{Table: committer, Objects: client.Objects()})
	b.Cleanup(func() {
		j.Close()
		committer.Close()
		client.Close()
	})
	return committer, j
}

// serve registers a committer with a mesh server, so that other VMs can commit
// through it, and returns the server's address.
func serve(b *testing.B, committer *batch.Committer) string {
	b.Helper()
	server, err := mesh.Listen(mesh.ServerOptions{Addr: "127.0.0.1:0"})
	if err != nil {
		b.Fatal(err)
	}
	if err := server.Register(batchrpc.ServiceName, batchrpc.NewService(committer, DefaultRequestTimeout)); err != nil {
		b.Fatal(err)
	}
	var wait sync.WaitGroup
	wait.Go(func() { _ = server.Serve() })
	b.Cleanup(func() {
		_ = server.Close()
		wait.Wait()
	})
	return server.Addr()
}

// createAll creates count root programs, spread evenly over the journals, and
// returns their ids. children is the number of sub-agents that each one counts.
func createAll(b *testing.B, journals []*Journal, count int, children uint64) []entity.ProgramID {
	b.Helper()
	roots := make([]entity.ProgramID, count)
	errs := make([]error, count)
	forEachConcurrently(count, count, func(i int) {
		roots[i] = entity.ProgramID(fmt.Sprintf("amman-a.p%04d", i))
		program := newProgram(roots[i])
		program.Children = children
		_, errs[i] = journals[i%len(journals)].Create(context.Background(), program, "vm-1")
	})
	for _, err := range errs {
		if err != nil {
			b.Fatal(err)
		}
	}
	return roots
}

// BenchmarkJournal_WritesPerTurn appends b.N turns to each program. The pauses
// between a program's turns are random, with the given mean.
func BenchmarkJournal_WritesPerTurn(b *testing.B) {
	for _, pause := range []time.Duration{0, time.Second} {
		for _, programs := range []int{1, 10, 100, 1000} {
			b.Run(fmt.Sprintf("vms=1/pause=%v/programs=%d", pause, programs), func(b *testing.B) {
				p := newBenchPlatform(b)
				_, j := p.vm(b, nil)
				benchTurns(b, p, []*Journal{j}, programs, pause)
			})
		}
	}
	const vms = 20
	for _, forward := range []bool{false, true} {
		b.Run(fmt.Sprintf("vms=%d/forward=%v/pause=1s/programs=1000", vms, forward), func(b *testing.B) {
			p := newBenchPlatform(b)
			batching, _ := p.vm(b, nil)
			addr := serve(b, batching)
			journals := make([]*Journal, vms)
			for i := range journals {
				client := mesh.NewClient(mesh.ClientOptions{})
				b.Cleanup(client.Close)
				forwarder := batchrpc.NewForwarder(client, DefaultRequestTimeout, func() (string, bool) { return addr, forward })
				_, journals[i] = p.vm(b, forwarder)
			}
			benchTurns(b, p, journals, 1000, time.Second)
		})
	}
}

func benchTurns(b *testing.B, p *benchPlatform, journals []*Journal, programs int, pause time.Duration) {
	roots := createAll(b, journals, programs, 0)
	before := p.service.Counters().Writes
	b.ResetTimer()
	var wait sync.WaitGroup
	for i, root := range roots {
		wait.Go(func() { appendTurns(b, journals[i%len(journals)], root, pause) })
	}
	wait.Wait()
	b.StopTimer()
	turns := float64(programs * b.N)
	writes := float64(p.service.Counters().Writes - before)
	b.ReportMetric(writes/turns, "writes/turn")
	b.ReportMetric(writes/b.Elapsed().Seconds(), "writes/s")
	b.ReportMetric(turns/b.Elapsed().Seconds(), "turns/s")
}

func appendTurns(b *testing.B, j *Journal, root entity.ProgramID, pause time.Duration) {
	answer := make([]byte, benchAnswerBytes)
	for n := range b.N {
		time.Sleep(time.Duration(rand.Float64() * 2 * float64(pause)))
		turn := newTurn(root, uint64(n+1))
		turn.Answer = answer
		if _, err := j.Append(context.Background(), root, Changes{Turns: []*entity.Turn{turn}}); err != nil {
			b.Error(err)
			return
		}
	}
}

// BenchmarkJournal_Adopt1000 adopts 1,000 programs, without sub-agents and with
// one each, at the platform's request rates.
func BenchmarkJournal_Adopt1000(b *testing.B) {
	for _, children := range []uint64{0, 1} {
		b.Run(fmt.Sprintf("sub-agents=%d", children), func(b *testing.B) {
			p := newBenchPlatform(b)
			_, first := p.vm(b, nil)
			roots := createAll(b, []*Journal{first}, benchAdoptedPrograms, children)
			if children > 0 {
				addChildren(b, first, roots)
			}
			p.setControl(b, platformsvc.Control{
				Faults:          []platformsvc.Fault{{Service: platformsvc.Table, DelayMS: benchDelay.Milliseconds()}},
				ReadsPerSecond:  benchReadsPerSecond,
				WritesPerSecond: benchWritesPerSecond,
			})
			before := p.service.Counters()
			b.ResetTimer()
			for n := range b.N {
				_, j := p.vm(b, nil)
				for _, a := range j.Adopt(context.Background(), roots, fmt.Sprint("vm-", n+2)) {
					if a.Err != nil {
						b.Fatal(a.Err)
					}
				}
			}
			b.StopTimer()
			after := p.service.Counters()
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/op")
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/op")
		})
	}
}

// addChildren creates one sub-agent for each root program.
func addChildren(b *testing.B, j *Journal, roots []entity.ProgramID) {
	b.Helper()
	errs := make([]error, len(roots))
	forEachConcurrently(len(roots), len(roots), func(i int) {
		child := newProgram(roots[i] + ".c1")
		_, errs[i] = j.Append(context.Background(), roots[i], Changes{Programs: []*entity.Program{child}})
	})
	for _, err := range errs {
		if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkJournal_History320 reads the history of a program with 320 turns, the
// oldest of which are compacted, as a VM does after adopting it.
func BenchmarkJournal_History320(b *testing.B) {
	const turns = 320
	p := newBenchPlatform(b)
	_, j := p.vm(b, nil)
	root := createAll(b, []*Journal{j}, 1, 0)[0]
	random := rand.New(rand.NewPCG(1, 2))
	change := Changes{}
	for n := uint64(1); n <= turns; n++ {
		change.Turns = append(change.Turns, largeTurn(root, n, random))
	}
	ctx := context.Background()
	if _, err := j.Append(ctx, root, change); err != nil {
		b.Fatal(err)
	}
	if _, err := j.Compact(ctx, root); err != nil {
		b.Fatal(err)
	}
	before := p.service.Counters().Reads
	b.ResetTimer()
	for range b.N {
		history, err := j.History(ctx, root, 1)
		if err != nil || len(history) != turns {
			b.Fatal(len(history), err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(p.service.Counters().Reads-before)/float64(b.N), "reads/op")
}
