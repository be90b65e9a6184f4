package conversations

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform"
)

func TestMeshPeers_PassTurnsToOtherVMs(t *testing.T) {
	is := is.New(t)
	server, err := mesh.Listen(mesh.ServerOptions{Addr: "127.0.0.1:0"})
	is.NoErr(err)
	defer server.Close()
	table := newFakeTable()
	witness := newKeeper(table)
	is.NoErr(Register(server, witness))
	go server.Serve()
	client := mesh.NewClient(mesh.ClientOptions{})
	defer client.Close()
	suspects := &mesh.Suspects{Client: client, Log: zap.NewNop()}
	address := server.Addr()
	peers := &MeshPeers{Mesh: client, Suspects: suspects, Ranked: func(string) (own []string, others [][]string) {
		return nil, [][]string{{address}}
	}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	turn := Turn{Key: Key{"w", "a"}, Input: []byte("A"), Output: make([]byte, 100_000), Retention: testRetention}
	record, _ := witness.record(turn)
	c := &Copy{ID: turn.id(), Digest: record.digest, Transactions: encodeTurn(turn.id(), record, 0)}

	table.fail = platform.ErrUnavailable
	held, err := peers.Hold(ctx, address, c)
	is.NoErr(err)
	is.Equal(held, HoldResult{Held: true})
	found, err := peers.Find(ctx, address, c.ID)
	is.NoErr(err)
	is.Equal(found.Copy, c)
	is.Equal(found.Copy.turn().data, record.data)

	table.fail = nil
	held, err = peers.Hold(ctx, address, c)
	is.NoErr(err)
	is.Equal(held, HoldResult{Stored: true})
	is.NoErr(peers.Drop(ctx, address, [][16]byte{c.ID}))
	found, err = peers.Find(ctx, address, c.ID)
	is.NoErr(err)
	is.True(found.Copy == nil)

	_, err = peers.Hold(ctx, address, &Copy{})
	is.True(err != nil)
	is.True(!suspects.Suspected(address)) // it answered
}
