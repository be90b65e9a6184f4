package membership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

type fixedList []platform.ListedVM

func (l fixedList) List(context.Context) ([]platform.ListedVM, error) { return l, nil }

// running is a running Membership with a loopback socket.
type running struct {
	*Membership
	udp  *UDP
	stop func()
}

func start(t *testing.T, id string, list platform.VMList, seeds ...string) *running {
	is := is.New(t)
	udp, err := ListenUDP("127.0.0.1:0")
	is.NoErr(err)
	self := entity.VM{ID: id, DC: "dc", MeshAddr: "127.0.0.1:1", GossipAddr: udp.Addr(), PlatformReachable: true}
	m, err := New(Options{Self: self, Seeds: seeds, Keys: [][]byte{testKey}, Transport: udp, VMList: list})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { m.Run(ctx) })
	stop := func() { cancel(); wg.Wait() }
	t.Cleanup(stop)
	return &running{Membership: m, udp: udp, stop: stop}
}

// waitFor waits until the view satisfies a condition. what names the condition in
// the failure message.
func (r *running) waitFor(t *testing.T, what string, cond func([]entity.VM) bool) {
	t.Helper()
	deadline := time.After(20 * time.Second)
	for {
		changed := r.Changed()
		if cond(r.View()) {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			t.Fatalf("%s: never %s in %+v", r.machine.self.ID, what, r.View())
		}
	}
}

func findVM(view []entity.VM, id string) (entity.VM, bool) {
	for _, v := range view {
		if v.ID == id {
			return v, true
		}
	}
	return entity.VM{}, false
}

func TestMembership_JoinUpdateLeaveAndKillOverUDP(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	a := start(t, "a", nil)
	b := start(t, "b", nil, a.udp.Addr())
	c := start(t, "c", fixedList{{Role: platform.RoleEntry, GossipAddr: a.udp.Addr()}, {Role: platform.RoleRunner, GossipAddr: "127.0.0.1:9"}})
	for _, m := range []*running{a, b, c} {
		m.waitFor(t, "three alive", func(v []entity.VM) bool {
			return len(v) == 3 && v[0].ID == "a" && v[0].State == entity.VMAlive && v[1].State == entity.VMAlive && v[2].State == entity.VMAlive
		})
	}
	a.SetConfigVersion(5)
	a.SetPlatformReachable(false)
	b.waitFor(t, "new state of a", func(v []entity.VM) bool { return v[0].ConfigVersion == 5 && !v[0].PlatformReachable })

	is.NoErr(c.Leave(context.Background()))
	b.waitFor(t, "c leaving", func(v []entity.VM) bool { vm, _ := findVM(v, "c"); return vm.State == entity.VMLeaving })
	c.stop()
	b.waitFor(t, "c dead", func(v []entity.VM) bool { vm, _ := findVM(v, "c"); return vm.State == entity.VMDead })

	a.stop() // without Leave, which equals a kill
	b.waitFor(t, "a dead", func(v []entity.VM) bool { vm, _ := findVM(v, "a"); return vm.State == entity.VMDead })
	for _, m := range []*running{a, b, c} {
		m.stop()
	}
}

func TestNew_RejectsInvalidOptions(t *testing.T) {
	udp, err := ListenUDP("127.0.0.1:0")
	is.New(t).NoErr(err)
	defer udp.Close()
	self := entity.VM{ID: "a", DC: "dc", GossipAddr: udp.Addr()}
	cases := []struct {
		name string
		o    Options
	}{
		{"no own id", Options{Self: entity.VM{DC: "dc", GossipAddr: "x"}, Keys: [][]byte{testKey}, Transport: udp}},
		{"no transport", Options{Self: self, Keys: [][]byte{testKey}}},
		{"no key", Options{Self: self, Transport: udp}},
		{"three keys", Options{Self: self, Transport: udp, Keys: [][]byte{testKey, testKey, testKey}}},
		{"short key", Options{Self: self, Transport: udp, Keys: [][]byte{testKey[:8]}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := New(c.o)
			is.New(t).True(err != nil)
			is.New(t).True(fmt.Sprint(err) != "")
		})
	}
}
