package relay

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

// fleet is one relay in each of three data centres, and their platform.
type fleet struct {
	server       *platformsvc.Server
	relays       map[string]*Relay
	disconnected map[string]bool // data centres without connection to the platform
	callErr      error           // returned by each call if set
	calls        int             // requests relayed, including failed ones
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{server: platformsvc.NewServer(platformsvc.NewStore()), relays: map[string]*Relay{}, disconnected: map[string]bool{}}
	for _, dc := range []string{"a", "b", "c"} {
		direct := f.server.Client(dc)
		r, err := New(Options{
			VMID: dc, DC: dc, Table: direct, Objects: direct.Objects(),
			PlatformReachable: func() bool { return !f.disconnected[dc] }, VMs: f.vms, Call: f.call,
		})
		is.New(t).NoErr(err)
		f.relays[dc] = r
	}
	return f
}

func (f *fleet) vms() []entity.VM {
	var out []entity.VM
	for _, dc := range []string{"a", "b", "c"} {
		out = append(out, entity.VM{ID: dc, DC: dc, PlatformReachable: !f.disconnected[dc]})
	}
	return out
}

// call encodes and decodes request and reply as a call between VMs does.
func (f *fleet) call(ctx context.Context, vm entity.VM, req Request) (Reply, error) {
	f.calls++
	if f.callErr != nil {
		return Reply{}, f.callErr
	}
	var sent Request
	var got Reply
	if err := transcode(req, &sent); err != nil {
		return Reply{}, err
	}
	return got, transcode(f.relays[vm.ID].Serve(ctx, sent), &got)
}

func transcode(from, to any) error {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(from); err != nil {
		return err
	}
	return gob.NewDecoder(&buf).Decode(to)
}

func (f *fleet) disconnect(dcs ...string) {
	var faults []platformsvc.Fault
	for _, dc := range dcs {
		f.disconnected[dc] = true
		for _, s := range []platformsvc.Service{platformsvc.Table, platformsvc.Objects} {
			faults = append(faults, platformsvc.Fault{Service: s, DC: dc, Down: true})
		}
	}
	if err := f.server.SetControl(platformsvc.Control{Faults: faults}); err != nil {
		panic(err)
	}
}

var key = platform.Key{Table: "t", ID: "1"}

func put(version uint64) []platform.Write {
	return []platform.Write{{Key: key, IfVersion: version, Value: []byte("v")}}
}

func TestRelay_DisconnectedDataCentreReadsAndWritesThroughAnother(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(t)
	f.disconnect("a")
	a := f.relays["a"]
	is.NoErr(a.Commit(ctx, put(0)))
	rows, err := a.Get(ctx, []platform.Key{key})
	is.NoErr(err)
	is.Equal(string(rows[0].Value), "v")
	rows, err = a.Scan(ctx, "t", "", "", 10)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.NoErr(a.Objects().Put(ctx, "o", []byte("data")))
	data, err := a.Objects().Get(ctx, "o")
	is.NoErr(err)
	is.Equal(string(data), "data")
	is.NoErr(a.Objects().Delete(ctx, "o"))
	_, err = a.Objects().Get(ctx, "o")
	is.True(errors.Is(err, platform.ErrNotFound))
	var conflict *platform.ConflictError
	is.True(errors.As(a.Commit(ctx, put(0)), &conflict))
	is.Equal(conflict.Indexes, []int{0})
	is.True(f.calls > 0)
}

func TestRelay_RelayedRequestsAreNotRelayedFurther(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.disconnect("a", "b", "c")
	f.disconnected["b"], f.disconnected["c"] = false, false // still reported as connected
	err := f.relays["a"].Commit(context.Background(), put(0))
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.Equal(f.calls, 2) // one call to each other VM, which does not relay it further
}

func TestRelay_CallErrors(t *testing.T) {
	cases := []struct {
		name    string
		callErr error
		write   bool
		want    error
	}{
		{"a write that was not sent had no effect", fmt.Errorf("dial: %w", ErrNotSent), true, platform.ErrUnavailable},
		{"a write whose call failed may have taken effect", errors.New("connection reset"), true, platform.ErrOutcomeUnknown},
		{"a read whose call failed had no effect", errors.New("connection reset"), false, platform.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			f.disconnect("a")
			f.callErr = c.callErr
			var err error
			if c.write {
				err = f.relays["a"].Commit(context.Background(), put(0))
			} else {
				_, err = f.relays["a"].Get(context.Background(), []platform.Key{key})
			}
			is.True(errors.Is(err, c.want))
		})
	}
}

func TestRelay_CommitWithLostReplyIsUnknownAndNotResent(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.disconnect("a")
	faults := []platformsvc.Fault{{Service: platformsvc.Table, DC: "a", Down: true}, {Service: platformsvc.Table, LoseAnswers: 1}}
	is.NoErr(f.server.SetControl(platformsvc.Control{Faults: faults}))
	err := f.relays["a"].Commit(context.Background(), put(0))
	is.True(errors.Is(err, platform.ErrOutcomeUnknown))
	is.Equal(f.calls, 1)
	rows, err := f.relays["a"].Get(context.Background(), []platform.Key{key})
	is.NoErr(err)
	is.Equal(rows[0].Version, uint64(1))
}

func TestRelay_ErrorOfAWorkingConnectionIsNotRelayed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	is.NoErr(f.server.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{{Service: platformsvc.Table, DC: "a", Down: true}}}))
	err := f.relays["a"].Commit(context.Background(), put(0)) // refused, as if the platform were over its limits
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.Equal(f.calls, 0)
}
