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

// fakePlatform is a platform.VMList that counts its reads.
type fakePlatform struct {
	vms   []platform.ListedVM
	err   error
	reads int
}

func (s *fakePlatform) List(context.Context) ([]platform.ListedVM, error) {
	s.reads++
	return s.vms, s.err
}

type manualClock struct{ now time.Duration }

func (m *manualClock) Now() time.Duration                   { return m.now }
func (m *manualClock) Wall() time.Time                      { return time.Unix(1e9, 0).Add(m.now) }
func (m *manualClock) After(time.Duration) <-chan time.Time { return make(chan time.Time) }

// pair is the cache of a reader and that of a VM that fetches the list from it.
type pair struct {
	clock           manualClock
	source          fakePlatform
	reader, fetcher *Cache
	replies         []Reply
	fetchErr        error
}

func newPair() *pair {
	p := &pair{source: fakePlatform{vms: []platform.ListedVM{{ID: "vm-1"}}}}
	p.reader = New(Options{
		Platform: &p.source, MaxAge: time.Second, Clock: &p.clock,
		Reader: func() (entity.VM, bool) { return entity.VM{ID: "a1"}, false },
	})
	p.fetcher = New(Options{
		Platform: &p.source, MaxAge: time.Second, Clock: &p.clock,
		Reader: func() (entity.VM, bool) { return entity.VM{ID: "a1"}, true },
		Fetch: func(ctx context.Context, _ entity.VM, args Args) (Reply, error) {
			if p.fetchErr != nil {
				return Reply{}, p.fetchErr
			}
			reply, err := p.reader.Serve(ctx, args)
			p.replies = append(p.replies, reply)
			return reply, err
		},
	})
	return p
}

// checkList checks that the fetcher returns a list of one entry with an id.
func (p *pair) checkList(is *is.I, wantID string) {
	is.Helper()
	got, err := p.fetcher.List(context.Background())
	is.NoErr(err)
	is.Equal(got, []platform.ListedVM{{ID: wantID}})
}

func TestList_UnchangedListIsReadOnceAndSentOnce(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.checkList(is, "vm-1")
	p.checkList(is, "vm-1")
	is.Equal(p.source.reads, 1)
	is.Equal(len(p.replies[0].VMs), 1)
	is.Equal(len(p.replies[1].VMs), 0)
}

func TestList_ChangeIsVisibleAfterMaxAge(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.checkList(is, "vm-1")
	p.source.vms = []platform.ListedVM{{ID: "vm-2"}}
	p.clock.now += time.Second
	p.checkList(is, "vm-2")
	is.Equal(p.source.reads, 2)
}

func TestList_EmptyListReplacesTheCachedCopy(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.checkList(is, "vm-1")
	p.source.vms = nil
	p.clock.now += time.Second
	got, err := p.fetcher.List(context.Background())
	is.NoErr(err)
	is.Equal(len(got), 0)
}

func TestList_ReadsThePlatformIfTheReaderFails(t *testing.T) {
	for name, inject := range map[string]func(*pair){
		"the reader is unreachable":                  func(p *pair) { p.fetchErr = errors.New("unreachable") },
		"the reader can't reach the platform either": func(p *pair) { p.source.err = errors.New("down") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair()
			inject(p)
			_, err := p.fetcher.List(context.Background())
			is.Equal(err, p.source.err)
			is.True(p.source.reads > 0)
		})
	}
}

func TestDiff_PatchReproducesTheNewList(t *testing.T) {
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
	_, err := p.fetcher.List(context.Background())
	is.NoErr(err)
	p.source.vms = []platform.ListedVM{{ID: "vm-2", Leaving: true}, {ID: "vm-1"}}
	p.clock.now += time.Second
	got, err := p.fetcher.List(context.Background())
	is.NoErr(err)
	is.Equal(got, []platform.ListedVM{{ID: "vm-1"}, {ID: "vm-2", Leaving: true}})
	is.Equal(p.replies[1].VMs, []platform.ListedVM{{ID: "vm-2", Leaving: true}})
	is.Equal(p.replies[1].Gone, []string{"vm-3"})
}

func TestList_CompleteListIsSentIfTheReaderNoLongerHasTheCopy(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.checkList(is, "vm-1")
	for _, id := range []string{"vm-2", "vm-3", "vm-4", "vm-5", "vm-6"} {
		p.source.vms = []platform.ListedVM{{ID: id}}
		p.clock.now += time.Second
		_, err := p.reader.List(context.Background())
		is.NoErr(err)
	}
	p.checkList(is, "vm-6")
	is.Equal(p.replies[1].Base, uint64(0))
}
