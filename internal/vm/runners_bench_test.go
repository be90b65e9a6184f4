package vm

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/settings"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
	"ibisstall.example/ibisstall/internal/standin/runner"
	"ibisstall.example/ibisstall/internal/system/owner"
	"ibisstall.example/ibisstall/internal/system/sweep"
)

// traffic counts the requests to servers and the bytes on their connections in
// both directions, including headers.
type traffic struct{ requests, bytes atomic.Int64 }

type countedListener struct {
	net.Listener
	t *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.t}, err
}

type countedConn struct {
	net.Conn
	t *traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.bytes.Add(int64(n))
	return n, err
}

func (t *traffic) serve(b *testing.B, h http.Handler) string {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.requests.Add(1)
		h.ServeHTTP(w, r)
	}))
	server.Listener = countedListener{server.Listener, t}
	server.Start()
	b.Cleanup(server.Close)
	return server.URL
}

// fixture is one VM with some engines and a platform.
type fixture struct {
	vm            *VM
	store         *platformsvc.Server
	platform      traffic
	engines       traffic
	engineServers []*runner.Engine
}

func newFixture(b *testing.B, engines int) *fixture {
	s := &fixture{store: platformsvc.NewServer(platformsvc.NewStore())}
	url := s.platform.serve(b, s.store)
	o := settings.Default()
	o.VM.DC, o.VM.Region, o.VM.ID = "amman-a", "amman", "a1"
	o.VM.Listen, o.VM.AdminListen, o.VM.MeshListen, o.VM.GossipListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	o.Platform.TableURL, o.Platform.ObjectsURL, o.Platform.VMListURL = url, url, url
	o.Engine.SweepInterval, o.Engine.MaxCacheRetention, o.Engine.MaxModels = time.Hour, time.Hour, 2
	o.Engine.OrderInterval = time.Hour
	for i := range engines {
		name := fmt.Sprint("e", i)
		e := runner.NewEngine(runner.EngineOptions{Name: name, Models: []string{"m"}, CacheTokens: 1 << 30})
		s.engineServers = append(s.engineServers, e)
		o.Endpoints = append(o.Endpoints, entity.Endpoint{
			Name: name, Kind: entity.KindEngine, DC: "amman-a", Models: []string{"m"}, URL: s.engines.serve(b, e),
		})
	}
	var err error
	if s.vm, err = New(o, zap.NewNop()); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.vm.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	for deadline := time.Now().Add(10 * time.Second); !s.vm.hasRole(roleOrders) || !s.vm.configManager.Loaded(); {
		if time.Now().After(deadline) {
			b.Fatal("the VM has not started within 10 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
	return s
}

// createPrograms creates n programs that have memory in the engines.
func (s *fixture) createPrograms(b *testing.B, n int) {
	var group errgroup.Group
	group.SetLimit(64)
	for i := range n {
		group.Go(func() error { return s.createProgram(b, i) })
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
}

func (s *fixture) createProgram(b *testing.B, i int) error {
	id := entity.NewProgramID("amman-a", fmt.Sprintf("0123456789abcdef-%06d", i), "")
	_, err := s.vm.owner.Create(b.Context(), owner.CreateArgs{
		ID: id, Workspace: "press", Budget: entity.Budget{Tokens: 1000, Turns: 100, Seconds: 3600},
	})
	if err != nil {
		return err
	}
	content, _ := json.Marshal("a question") // a string can always be encoded
	ep := s.vm.settings.Endpoints[i%len(s.vm.settings.Endpoints)]
	req := endpoint.ChatRequest{
		CallID: string(id), Session: id, Model: "m", MaxTokens: 1,
		Messages: []entity.Message{{Role: "user", Content: content}},
	}
	_, err = s.vm.engine(ep).Chat(b.Context(), req, nil)
	return err
}

// measure reports the requests and bytes for each run of a step.
func (s *fixture) measure(b *testing.B, step func(context.Context) error) {
	reads := s.store.Counters().Reads
	platformBytes, requests, engineBytes := s.platform.bytes.Load(), s.engines.requests.Load(), s.engines.bytes.Load()
	b.ResetTimer()
	for range b.N {
		if err := step(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	n := float64(b.N)
	b.ReportMetric(float64(s.store.Counters().Reads-reads)/n, "platform-reads/op")
	b.ReportMetric(float64(s.platform.bytes.Load()-platformBytes)/n, "platform-B/op")
	b.ReportMetric(float64(s.engines.requests.Load()-requests)/n, "engine-requests/op")
	b.ReportMetric(float64(s.engines.bytes.Load()-engineBytes)/n, "engine-B/op")
}

// BenchmarkVM_Sweep sweeps engines that have active programs in their caches. The
// programs are either in the memory of their owner or only stored in the platform.
func BenchmarkVM_Sweep(b *testing.B) {
	for _, engines := range []int{1, 4} {
		for _, programs := range []int{0, 100, 1100} {
			for _, owned := range []bool{true, false} {
				b.Run(fmt.Sprintf("engines=%d/programs=%d/owned=%v", engines, programs, owned), func(b *testing.B) {
					s := newFixture(b, engines)
					s.createPrograms(b, programs)
					if !owned {
						s.vm.owner.ReleaseIdle()
					}
					s.measure(b, func(ctx context.Context) error {
						_, err := s.vm.sweeper.Sweep(ctx)
						return err
					})
				})
			}
		}
	}
}

// BenchmarkVM_Orders evaluates engines and the demand for models when no order
// is due.
func BenchmarkVM_Orders(b *testing.B) {
	for _, engines := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			s := newFixture(b, engines)
			s.measure(b, s.vm.orders.Reconcile)
		})
	}
}

// BenchmarkVM_Telemetry reads the telemetry of engines once: load reports and an
// empty page of cache events.
func BenchmarkVM_Telemetry(b *testing.B) {
	for _, engines := range []int{1, 4} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			s := newFixture(b, engines)
			s.measure(b, func(ctx context.Context) error {
				for _, ep := range s.vm.settings.Endpoints {
					if _, err := s.vm.telemetry.FetchLoadReport(ctx, ep); err != nil {
						return err
					}
					if err := s.vm.scheduler.Balancer().SyncPrefixCache(ctx, s.vm.telemetry, ep); err != nil {
						return err
					}
				}
				return nil
			})
		})
	}
}

// BenchmarkRunners_Messages encodes the arguments and reply of Status with gob,
// as net/rpc does.
func BenchmarkRunners_Messages(b *testing.B) {
	for _, programs := range []int{100, 1100} {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			args := StatusArgs{}
			reply := StatusReply{Known: make(map[entity.ProgramID]sweep.Status)}
			for i := range programs {
				id := entity.NewProgramID("amman-a", fmt.Sprintf("0123456789abcdef-%06d", i), "")
				args.Programs = append(args.Programs, id)
				reply.Known[id] = sweep.Status{Tool: "deposits"}
			}
			var buffer bytes.Buffer
			for range b.N {
				buffer.Reset()
				enc := gob.NewEncoder(&buffer)
				if err := enc.Encode(args); err != nil {
					b.Fatal(err)
				}
				if err := enc.Encode(reply); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(buffer.Len()), "message-B/op")
		})
	}
}
