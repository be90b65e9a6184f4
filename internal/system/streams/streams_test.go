package streams

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/policy/resumption"
)

// testDirectory is a list of the VMs of each data centre, the own one first. peers are all other
// VMs.
type testDirectory struct {
	dcs   [][]string
	peers []string
	ranks sync.Map // keys that peers were ranked by
}

func (d *testDirectory) Witnesses(string) [][]string { return d.dcs }
func (d *testDirectory) Size() int                   { return 10 }

func (d *testDirectory) Peers(key string) []string {
	d.ranks.Store(key, true) // the directory remembers the order for each key
	return d.peers
}

// testHistory is a history in which the longest wait of the callers is known.
type testHistory struct{ longest time.Duration }

func (h *testHistory) Observe(_, _ string, deadline time.Duration) {
	h.longest = max(h.longest, deadline)
}
func (h *testHistory) Horizon(string) time.Duration { return resumption.Horizon(h.longest) }

// testVM is the Origins of a VM with a mesh server.
type testVM struct {
	*Origins
	directory testDirectory
	history   testHistory
	horizon   atomic.Int64 // nanoseconds, that the view was asked for last
	view      resumption.View
	unread    error // of Reread
	address   string
	stop      func()
}

var (
	soleView  = resumption.View{Versions: 1, Version: "v1", Whole: true}
	mixedView = resumption.View{Versions: 2, Whole: true}
)

func newTestVM(t *testing.T) *testVM {
	t.Helper()
	is := is.New(t)
	newClient := func() *mesh.Client {
		return mesh.NewClient(mesh.ClientOptions{LocalIP: net.IPv4(127, 0, 0, 1), SilenceTimeout: time.Minute, DialTimeout: time.Minute})
	}
	client := newClient()
	t.Cleanup(func() { client.Close() })
	vm := &testVM{view: mixedView}
	vm.Origins = &Origins{
		Mesh: client, NewMesh: newClient, Suspects: &mesh.Suspects{Client: client, Lag: &clock.Lag{}, Log: zap.NewNop()}, Directory: &vm.directory,
		View: func(_ string, horizon time.Duration) resumption.View {
			vm.horizon.Store(int64(horizon))
			return vm.view
		},
		History: &vm.history, Clock: clock.System{},
		Reread: func(context.Context) error { return vm.unread },
	}
	server, err := mesh.Listen(mesh.ServerOptions{Addr: "127.0.0.1:0", SilenceTimeout: time.Minute})
	is.NoErr(err)
	is.NoErr(Register(server, vm.Origins))
	go server.Serve()
	vm.address, vm.stop = server.Addr(), func() { server.Close() }
	t.Cleanup(vm.stop)
	return vm
}

const testService = "model"

func (vm *testVM) resolve(t *testing.T, attempt string) (string, resumption.Origin) {
	return vm.Resolve(t.Context(), Query{Service: testService, Attempt: attempt, Wait: time.Second})
}

// eventually waits until a VM remembers an attempt.
func (vm *testVM) eventually(t *testing.T, attempt string) {
	t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !vm.answer(Query{Service: testService, Attempt: attempt}).Known; {
		if time.Now().After(deadline) {
			t.Fatal("record did not arrive")
		}
		time.Sleep(time.Millisecond)
	}
}

// The version of a stream was known to nobody once the VM that had begun it was lost.
func TestOrigins_VersionIsKnownAtAnyVMAfterTheLossOfTheVMThatBeganTheStream(t *testing.T) {
	is := is.New(t)
	front, near, far, back := newTestVM(t), newTestVM(t), newTestVM(t), newTestVM(t)
	front.directory.dcs = [][]string{{near.address}, {far.address, back.address}}
	back.directory.dcs = [][]string{{far.address}, {front.address, near.address}}
	front.Record(Record{Service: testService, Attempt: "a1", Version: "v2"})
	near.eventually(t, "a1")
	far.eventually(t, "a1")
	front.stop()
	near.stop()
	version, origin := back.resolve(t, "a1")
	is.Equal(version, "v2")
	is.Equal(origin, resumption.Remembered)
	version, _ = front.resolve(t, "a1") // without asking anybody
	is.Equal(version, "v2")
	_, origin = back.resolve(t, "a2")
	is.Equal(origin, resumption.Unknown)
}

// Guards against a stream that goes on at another service, after its route was moved there: that
// service has one version, but it isn't that of the first events.
func TestOrigins_StreamOfAnotherServiceIsOfNoVersionOfThisOne(t *testing.T) {
	is := is.New(t)
	front, back := newTestVM(t), newTestVM(t)
	front.view, back.view = soleView, soleView
	back.directory.dcs = [][]string{{front.address}}
	front.Record(Record{Service: "moved-from", Attempt: "a1", Version: "v1"})
	for _, vm := range []*testVM{front, back} {
		_, origin := vm.resolve(t, "a1")
		is.Equal(origin, resumption.Unknown)
		_, origin = vm.resolve(t, "a2")
		is.Equal(origin, resumption.OnlyOne)
	}
}

// Guards against streams that nobody knows any more once newer software has come and the VM that
// began them is lost: no witness was told while there was one version.
func TestOrigins_WitnessesAreToldAlsoWhileOneVersionServes(t *testing.T) {
	is := is.New(t)
	front, witness := newTestVM(t), newTestVM(t)
	front.directory.dcs = [][]string{{witness.address}}
	for i, view := range []resumption.View{soleView, mixedView} {
		front.view = view
		attempt := fmt.Sprint("a", i)
		front.Record(Record{Service: testService, Attempt: attempt, Version: "v1"})
		witness.eventually(t, attempt)
		is.True(front.answer(Query{Service: testService, Attempt: attempt}).Known)
	}
}

// Guards against a proof that rests on the route's timeout: the list is asked for as long as the
// callers of the service wait.
func TestOrigins_AskForTheVersionsOfAsLongAsCallersWait(t *testing.T) {
	is := is.New(t)
	own, other := newTestVM(t), newTestVM(t)
	own.directory.dcs = [][]string{{other.address}}
	own.view, other.view = soleView, soleView
	own.Record(Record{Service: testService, Attempt: "a1", Version: "v1", Wait: 30 * time.Second})
	_, origin := own.resolve(t, "a2")
	is.Equal(origin, resumption.OnlyOne)
	is.True(own.horizon.Load() >= int64(time.Minute))
	is.True(other.horizon.Load() >= int64(time.Minute))
	own.Record(Record{Service: testService, Version: "v1", Wait: time.Hour}) // of a caller that names no attempt
	own.resolve(t, "a2")
	is.True(own.horizon.Load() >= int64(2*time.Hour))
	other.Resolve(t.Context(), Query{Service: testService, Attempt: "a2", Wait: 10 * time.Minute}) // as its caller says
	is.True(other.horizon.Load() >= int64(20*time.Minute))
}

// Guards against the refusal of streams that a VM still knows, after others were replaced and rank
// before it.
func TestOrigins_AllVMsAreAskedForAStreamThatNoWitnessKnows(t *testing.T) {
	is := is.New(t)
	own, replaced, holder, silent := newTestVM(t), newTestVM(t), newTestVM(t), newTestVM(t)
	own.directory.dcs = [][]string{{replaced.address}}
	own.directory.peers = []string{silent.address, replaced.address, holder.address}
	silent.stop()
	holder.Record(Record{Service: testService, Attempt: "a1", Version: "v2"})
	version, origin := own.resolve(t, "a1")
	is.Equal(version, "v2")
	is.Equal(origin, resumption.Remembered)
	holder.stop()
	_, origin = own.resolve(t, "a1") // without asking anybody
	is.Equal(origin, resumption.Remembered)
	_, origin = own.resolve(t, "a2")
	is.Equal(origin, resumption.Unknown)
	_, origin = own.resolve(t, "") // of a caller that names no attempt
	is.Equal(origin, resumption.Unknown)
}

// However many callers take up streams that nobody knows, the VMs are asked together and seldom.
func TestOrigins_SearchesAreSharedAndSeldom(t *testing.T) {
	is := is.New(t)
	own, other := newTestVM(t), newTestVM(t)
	own.directory.peers = []string{other.address}
	began := time.Now()
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() { own.resolve(t, fmt.Sprint("unknown-", i)) })
	}
	wg.Wait()
	took := time.Since(began)
	interval := time.Duration(own.directory.Size()) * searchIntervalPerVM
	ranks := 0
	own.directory.ranks.Range(func(any, any) bool {
		ranks++
		return true
	})
	is.Equal(ranks, 1)
	own.search.mu.Lock()
	defer own.search.mu.Unlock()
	is.True(own.search.count <= 1+int(took/interval))
}

// A VM that had not read of a second version took the only one that it knew for that of any stream.
func TestOrigins_AVMThatKnowsOneVersionBelievesAnotherThatKnowsTwo(t *testing.T) {
	is := is.New(t)
	behind, ahead := newTestVM(t), newTestVM(t)
	behind.view = soleView
	behind.directory.dcs = [][]string{{ahead.address}}
	_, origin := behind.resolve(t, "a1")
	is.Equal(origin, resumption.Unknown)
	ahead.view = soleView
	version, origin := behind.resolve(t, "a1")
	is.Equal(version, "v1")
	is.Equal(origin, resumption.OnlyOne)
}

// A VM that was cut off or paused took the only version that its outdated list had for that of a
// stream that had begun at another one meanwhile.
func TestOrigins_AListThatWasReadBeforeTheStreamBeganIsNoProof(t *testing.T) {
	errCut := errors.New("cut off")
	is := is.New(t)
	own, near, far := newTestVM(t), newTestVM(t), newTestVM(t)
	for _, vm := range []*testVM{own, near, far} {
		vm.view, vm.unread = soleView, errCut
	}
	own.directory.dcs = [][]string{{near.address}, {far.address}}
	_, origin := own.resolve(t, "a1")
	is.Equal(origin, resumption.OnlyOne) // nobody can read the list: the store is away
	far.stop()
	own.Suspects.Suspect(far.address, errCut)
	_, origin = own.resolve(t, "a1")
	is.Equal(origin, resumption.Unknown) // the data centre may be cut off
	near.unread = nil
	_, origin = own.resolve(t, "a1")
	is.Equal(origin, resumption.OnlyOne) // another VM has read the list since
	near.view.Whole = false
	_, origin = own.resolve(t, "a1")
	is.Equal(origin, resumption.Unknown) // but not for long enough
	near.unread, own.unread = errCut, nil
	_, origin = own.resolve(t, "a1")
	is.Equal(origin, resumption.OnlyOne)
	own.view = mixedView // as its reading shows
	_, origin = own.resolve(t, "a1")
	is.Equal(origin, resumption.Unknown)
}

func TestMemory_IsBoundedInTimeAndSize(t *testing.T) {
	is := is.New(t)
	var m memory
	put := func(attempt string, wait, now time.Duration) {
		m.put(Record{testService, attempt, "v1", wait}, now)
	}
	known := func(attempt string, now time.Duration) bool {
		_, ok := m.get(testService, attempt, now)
		return ok
	}
	put("a", 0, 0)
	put("b", 0, Retention-1)
	is.True(known("a", Retention-1))
	is.True(known("b", 2*Retention-2))
	is.True(!known("a", 3*Retention))
	for i := range 5 * maxGeneration {
		put(fmt.Sprint(i), 0, 4*Retention)
	}
	is.True(len(m.short.newer.records)+len(m.short.older.records) <= 2*maxGeneration)
	is.True(known(fmt.Sprint(5*maxGeneration-1), 4*Retention))
	is.True(known(fmt.Sprint(4*maxGeneration), 4*Retention))
	for i := range 3 * maxNames {
		m.put(Record{testService, fmt.Sprint("n", i), fmt.Sprint("v", i), 0}, 4*Retention)
	}
	is.True(len(m.short.newer.names)+len(m.short.older.names) <= 2*maxNames)
	version, _ := m.get(testService, fmt.Sprint("n", 2*maxNames), 4*Retention)
	is.Equal(version, fmt.Sprint("v", 2*maxNames))
}

// Guards against streams that are forgotten after a minute though their callers wait longer, and
// against many short ones that displace them.
func TestMemory_KeepsAStreamForAsLongAsItsCallerWaits(t *testing.T) {
	is := is.New(t)
	var m memory
	waits := []time.Duration{time.Second, Retention, 10 * time.Minute, longRetention}
	for i, wait := range waits {
		m.put(Record{testService, fmt.Sprint(i), "v1", wait}, 0)
	}
	for i := range 3 * maxGeneration {
		m.put(Record{testService, fmt.Sprint("short-", i), "v1", time.Second}, Retention/2)
	}
	for i, wait := range waits[2:] {
		version, _ := m.get(testService, fmt.Sprint(2+i), wait)
		is.Equal(version, "v1")
	}
	_, known := m.get(testService, "3", 3*longRetention)
	is.True(!known)
}
