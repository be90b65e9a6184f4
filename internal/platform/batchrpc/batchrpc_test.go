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

// peer is the batching VM: it serves the batching service over the mesh.
type peer struct {
	service *platformsvc.Server // the simulated platform
	server  *mesh.Server
	client  *mesh.Client // used by the VM under test
}

func newPeer(t *testing.T) *peer {
	t.Helper()
	p := &peer{service: platformsvc.NewServer(platformsvc.NewStore())}
	direct := p.service.Client("peer")
	committer := batch.New(direct, batch.Options{})
	var err error
	p.server, err = mesh.Listen(mesh.ServerOptions{Addr: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.server.Register(ServiceName, NewService(committer, timeout)); err != nil {
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

// cutOff makes the platform unreachable for the VM under test.
func (p *peer) cutOff(t *testing.T) {
	t.Helper()
	faults := []platformsvc.Fault{{Service: platformsvc.Table, DC: "self", Down: true}}
	if err := p.service.SetControl(platformsvc.Control{Faults: faults}); err != nil {
		t.Fatal(err)
	}
}

func put(id string, version uint64) []platform.Write {
	return []platform.Write{{Key: platform.Key{Table: "t", ID: id}, IfVersion: version, Value: []byte(id)}}
}

func TestForwarder_FallsBackToADirectCommit(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := newPeer(t)
	f := NewForwarder(p.client, timeout, func() (string, bool) { return p.addr(), true })
	committer := batch.New(p.service.Client("self"), batch.Options{Forwarder: f})
	defer committer.Close()

	p.cutOff(t) // only the batching VM can write now
	is.NoErr(committer.Commit(ctx, put("a", 0)))

	is.NoErr(p.service.SetControl(platformsvc.Control{}))
	is.NoErr(p.server.Close()) // the batching VM fails
	is.NoErr(committer.Commit(ctx, put("b", 0)))
	_, err := f.Forward(ctx, [][]platform.Write{put("c", 0)})
	is.True(errors.Is(err, platform.ErrUnavailable)) // the breaker is open
	rows, err := committer.Get(ctx, []platform.Key{{Table: "t", ID: "a"}, {Table: "t", ID: "b"}})
	is.NoErr(err)
	is.Equal(rows[0].Version, uint64(1))
	is.Equal(rows[1].Version, uint64(1))
}

func TestForwarder_CommitsDirectlyWithoutABatchingVM(t *testing.T) {
	is := is.New(t)
	p := newPeer(t)
	f := NewForwarder(p.client, timeout, func() (string, bool) { return "", false })
	committer := batch.New(p.service.Client("self"), batch.Options{Forwarder: f})
	defer committer.Close()
	is.NoErr(committer.Commit(context.Background(), put("a", 0)))
}
