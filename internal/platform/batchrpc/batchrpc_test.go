package batchrpc

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/batch"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

const timeout = 5 * time.Second

// peer is another VM that serves the platform over the mesh.
type peer struct {
	service *platformsvc.Server
	server  *mesh.Server
	client  *mesh.Client
}

func newPeer(t *testing.T) *peer {
	t.Helper()
	p := &peer{service: platformsvc.NewServer(platformsvc.NewStore())}
	direct := p.service.Direct("peer")
	committer := batch.New(direct, batch.Options{})
	var err error
	p.server, err = mesh.Listen(mesh.ServerOptions{Addr: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.server.Register(ServiceName, NewService(committer, direct.Objects(), timeout)); err != nil {
		t.Fatal(err)
	}
	var wait sync.WaitGroup
	wait.Go(func() { _ = p.server.Serve() })
	p.client = mesh.NewClient(mesh.ClientOptions{})
	t.Cleanup(func() {
		p.client.Close()
		_ = p.server.Close() // a test may have closed it
		wait.Wait()
		committer.Close()
	})
	return p
}

func (p *peer) addr() string { return p.server.Addr() }

// cutOff makes the platform unreachable for the VM of the test.
func (p *peer) cutOff(t *testing.T, faults ...platformsvc.Fault) {
	t.Helper()
	faults = append(faults, platformsvc.Fault{Service: platformsvc.Table, DC: "self", Down: true})
	if err := p.service.SetControl(platformsvc.Control{Faults: faults}); err != nil {
		t.Fatal(err)
	}
}

func put(id string, version uint64) []platform.Write {
	return []platform.Write{{Key: platform.Key{Table: "t", ID: id}, IfVersion: version, Value: []byte(id)}}
}

func TestRelay_ServesWhileTheVMIsCutOffFromThePlatform(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := newPeer(t)
	p.cutOff(t)
	table := NewRelay(p.service.Direct("self"), p.client, timeout, func() []string { return []string{"127.0.0.1:1", p.addr()} })
	is.NoErr(table.Commit(ctx, put("a", 0)))
	var conflict *platform.ConflictError
	is.True(errors.As(table.Commit(ctx, put("a", 0)), &conflict))
	is.Equal(conflict.Indexes, []int{0})
	rows, err := table.Get(ctx, []platform.Key{{Table: "t", ID: "a"}})
	is.NoErr(err)
	is.Equal(rows[0].Version, uint64(1))
	rows, err = table.Scan(ctx, "t", "", "", 10)
	is.NoErr(err)
	is.Equal(len(rows), 1)
}

func TestRelayObjects_ServesWhileTheVMIsCutOffFromThePlatform(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := newPeer(t)
	p.cutOff(t, platformsvc.Fault{Service: platformsvc.Objects, DC: "self", Down: true})
	relays := []string{p.addr()}
	objects := NewRelayObjects(p.service.Direct("self").Objects(), p.client, timeout, func() []string { return relays })
	is.NoErr(objects.Put(ctx, "a", []byte("data")))
	data, err := objects.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(data), "data")
	is.NoErr(objects.Delete(ctx, "a"))
	_, err = objects.Get(ctx, "a")
	is.True(errors.Is(err, platform.ErrNotFound))
	relays = nil
	_, err = objects.Get(ctx, "a")
	is.True(errors.Is(err, platform.ErrUnavailable))
}

func TestRelay_GivesTheOwnErrorWithoutARelay(t *testing.T) {
	is := is.New(t)
	p := newPeer(t)
	p.cutOff(t, platformsvc.Fault{Service: platformsvc.Table, DC: "peer", Down: true})
	table := NewRelay(p.service.Direct("self"), p.client, timeout, func() []string { return []string{p.addr()} })
	is.True(errors.Is(table.Commit(context.Background(), put("a", 0)), platform.ErrUnavailable))
	_, err := table.Get(context.Background(), []platform.Key{{Table: "t", ID: "a"}})
	is.True(errors.Is(err, platform.ErrUnavailable))
}

func TestRelay_ResolvesAnAnswerThatTheRelayLost(t *testing.T) {
	is := is.New(t)
	p := newPeer(t)
	p.cutOff(t, platformsvc.Fault{Service: platformsvc.Table, DC: "peer", LoseAnswers: 1})
	relay := NewRelay(p.service.Direct("self"), p.client, timeout, func() []string { return []string{p.addr()} })
	committer := batch.New(relay, batch.Options{})
	defer committer.Close()
	is.NoErr(committer.Commit(context.Background(), put("a", 0)))
	rows, err := committer.Get(context.Background(), []platform.Key{{Table: "t", ID: "a"}})
	is.NoErr(err)
	is.Equal(rows[0].Version, uint64(1))
}

func TestForwarder_FallsBackToTheOwnWrite(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := newPeer(t)
	f := NewForwarder(p.client, timeout, func() (string, bool) { return p.addr(), true })
	committer := batch.New(p.service.Direct("self"), batch.Options{Forwarder: f})
	defer committer.Close()

	p.cutOff(t) // so that only the batching VM can write
	is.NoErr(committer.Commit(ctx, put("a", 0)))

	is.NoErr(p.service.SetControl(platformsvc.Control{}))
	is.NoErr(p.server.Close()) // the batching VM dies
	is.NoErr(committer.Commit(ctx, put("b", 0)))
	_, err := f.Forward(ctx, [][]platform.Write{put("c", 0)})
	is.True(errors.Is(err, platform.ErrUnavailable)) // left alone for a while
	rows, err := committer.Get(ctx, []platform.Key{{Table: "t", ID: "a"}, {Table: "t", ID: "b"}})
	is.NoErr(err)
	is.Equal(rows[0].Version, uint64(1))
	is.Equal(rows[1].Version, uint64(1))
}

func TestForwarder_WritesItselfWithoutABatcher(t *testing.T) {
	is := is.New(t)
	p := newPeer(t)
	f := NewForwarder(p.client, timeout, func() (string, bool) { return "", false })
	committer := batch.New(p.service.Direct("self"), batch.Options{Forwarder: f})
	defer committer.Close()
	is.NoErr(committer.Commit(context.Background(), put("a", 0)))
}
