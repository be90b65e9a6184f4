package mirror

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/journal"
)

const testRoot entity.ProgramID = "amman-a.0001"

// fakeMesh maps addresses to services. A call to any other address hangs until its
// context ends.
type fakeMesh map[string]*Service

func (m fakeMesh) Call(ctx context.Context, addr, method string, args, reply any) error {
	s := m[addr]
	if s == nil {
		<-ctx.Done()
		return mesh.ErrNotSent
	}
	switch a := args.(type) {
	case PutArgs:
		return s.Put(a, reply.(*Reply))
	case DropArgs:
		return s.Drop(a, reply.(*Reply))
	default:
		return s.Fetch(args.(FetchArgs), reply.(*FetchReply))
	}
}

func vmAt(id, dc string, state entity.VMState) entity.VM {
	return entity.VM{ID: id, DC: dc, MeshAddr: id, State: state}
}

func records(numbers ...uint64) []journal.Record {
	var out []journal.Record
	for _, n := range numbers {
		out = append(out, journal.Record{Number: n, Epoch: 1})
	}
	return out
}

func TestPeerMirror_AdopterFetchesTheCopiesOfAnotherDataCentre(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	b := NewService(journal.NewMirrorStore(10))
	m := fakeMesh{"b": b}
	home := []entity.VM{vmAt("a", "amman-a", entity.VMAlive), vmAt("b", "amman-a", entity.VMAlive)}
	owner := New("a", "amman-a", m, func() []entity.VM { return home }, journal.NewMirrorStore(10))
	is.NoErr(owner.Put(ctx, testRoot, 1, records(1, 2)))

	// The adopter considers the VMs of the home data centre dead, but one of them responds.
	seen := []entity.VM{vmAt("a", "amman-a", entity.VMDead), vmAt("b", "amman-a", entity.VMDead), vmAt("x", "amman-b", entity.VMAlive)}
	adopter := New("x", "amman-b", m, func() []entity.VM { return seen }, journal.NewMirrorStore(10))
	bounded, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	found, err := adopter.Fetch(bounded, []journal.MirroredFamily{{Root: testRoot, Epoch: 1}})
	is.NoErr(err)
	is.Equal(len(found[testRoot]), 2)
	is.NoErr(bounded.Err()) // the request to the hanging VM leaves time for the adoption

	// No further copies are stored for the former owner under the ended epoch.
	is.Equal(owner.Put(ctx, testRoot, 1, records(3)), journal.ErrMirrorStale)
}

func TestPeerMirror_WithoutAnotherVMPutFails(t *testing.T) {
	is := is.New(t)
	alone := []entity.VM{vmAt("a", "amman-a", entity.VMAlive), vmAt("b", "amman-a", entity.VMDead)}
	r := New("a", "amman-a", fakeMesh{}, func() []entity.VM { return alone }, journal.NewMirrorStore(10))
	is.Equal(r.Put(context.Background(), testRoot, 1, records(1)), ErrNoPeer)
}
