package vmlist

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// source is the platform's list, counted.
type source struct {
	vms   []platform.ListedVM
	err   error
	reads int
}

func (s *source) List(context.Context) ([]platform.ListedVM, error) {
	s.reads++
	return s.vms, s.err
}

type manual struct{ now time.Duration }

func (m *manual) Now() time.Duration                   { return m.now }
func (m *manual) Wall() time.Time                      { return time.Unix(1e9, 0).Add(m.now) }
func (m *manual) After(time.Duration) <-chan time.Time { return make(chan time.Time) }

// pair is a reader and a VM that asks it.
type pair struct {
	clock         manual
	source        source
	reader, asker *Cache
	sent          []Reply
	cut           error
}

func newPair() *pair {
	p := &pair{source: source{vms: []platform.ListedVM{{ID: "vm-1"}}}}
	p.reader = New(Options{
		Platform: &p.source, MaxAge: time.Second, Clock: &p.clock,
		Reader: func() (entity.VM, bool) { return entity.VM{ID: "a1"}, false },
	})
	p.asker = New(Options{
		Platform: &p.source, MaxAge: time.Second, Clock: &p.clock,
		Reader: func() (entity.VM, bool) { return entity.VM{ID: "a1"}, true },
		Fetch: func(ctx context.Context, _ entity.VM, args Args) (Reply, error) {
			if p.cut != nil {
				return Reply{}, p.cut
			}
			reply, err := p.reader.Serve(ctx, args)
			p.sent = append(p.sent, reply)
			return reply, err
		},
	})
	return p
}

func (p *pair) list(is *is.I, want string) {
	is.Helper()
	got, err := p.asker.List(context.Background())
	is.NoErr(err)
	is.Equal(got, []platform.ListedVM{{ID: want}})
}

func TestList_AnUnchangedListIsReadOnceAndSentOnce(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.list(is, "vm-1")
	p.list(is, "vm-1")
	is.Equal(p.source.reads, 1)
	is.Equal(len(p.sent[0].VMs), 1)
	is.Equal(len(p.sent[1].VMs), 0)
}

func TestList_AChangeIsSeenOnceTheCopyIsTooOld(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.list(is, "vm-1")
	p.source.vms = []platform.ListedVM{{ID: "vm-2"}}
	p.clock.now += time.Second
	p.list(is, "vm-2")
	is.Equal(p.source.reads, 2)
}

func TestList_AnEmptyListIsNotTakenForNoCopy(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.list(is, "vm-1")
	p.source.vms = nil
	p.clock.now += time.Second
	got, err := p.asker.List(context.Background())
	is.NoErr(err)
	is.Equal(len(got), 0)
}

func TestList_WithoutTheReaderThePlatformIsRead(t *testing.T) {
	for name, breaks := range map[string]func(*pair){
		"the reader can't be reached":                func(p *pair) { p.cut = errors.New("cut") },
		"the reader can't reach the platform either": func(p *pair) { p.source.err = errors.New("down") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair()
			breaks(p)
			_, err := p.asker.List(context.Background())
			is.Equal(err, p.source.err)
			is.True(p.source.reads > 0)
		})
	}
}

func TestDiff_PatchingTheOldListGivesTheNewOne(t *testing.T) {
	entry := rapid.Custom(func(t *rapid.T) platform.ListedVM {
		return platform.ListedVM{ID: rapid.StringMatching("[a-d][0-3]").Draw(t, "id"), Leaving: rapid.Bool().Draw(t, "leaving")}
	})
	list := rapid.SliceOfNDistinct(entry, 0, 12, func(v platform.ListedVM) string { return v.ID })
	rapid.Check(t, func(t *rapid.T) {
		old, now := sorted(list.Draw(t, "old")), sorted(list.Draw(t, "now"))
		changed, gone := diff(old, now)
		got := patch(old, changed, gone)
		if len(got) != len(now) || len(now) > 0 && !reflect.DeepEqual(got, now) {
			t.Fatalf("got %v, want %v", got, now)
		}
	})
}

func TestList_OnlyChangedEntriesAreSent(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.source.vms = []platform.ListedVM{{ID: "vm-3"}, {ID: "vm-1"}, {ID: "vm-2"}}
	_, err := p.asker.List(context.Background())
	is.NoErr(err)
	p.source.vms = []platform.ListedVM{{ID: "vm-2", Leaving: true}, {ID: "vm-1"}}
	p.clock.now += time.Second
	got, err := p.asker.List(context.Background())
	is.NoErr(err)
	is.Equal(got, []platform.ListedVM{{ID: "vm-1"}, {ID: "vm-2", Leaving: true}})
	is.Equal(p.sent[1].VMs, []platform.ListedVM{{ID: "vm-2", Leaving: true}})
	is.Equal(p.sent[1].Gone, []string{"vm-3"})
}

func TestList_ACopyThatTheReaderForgotIsReplacedWhole(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.list(is, "vm-1")
	for _, id := range []string{"vm-2", "vm-3", "vm-4", "vm-5", "vm-6"} {
		p.source.vms = []platform.ListedVM{{ID: id}}
		p.clock.now += time.Second
		_, err := p.reader.List(context.Background())
		is.NoErr(err)
	}
	p.list(is, "vm-6")
	is.Equal(p.sent[1].Base, uint64(0))
}
