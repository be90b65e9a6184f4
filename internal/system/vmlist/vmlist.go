// Package vmlist reads the platform's VM list once for all VMs of a data
// centre. One VM, a soft role, reads the platform; the others ask it and get
// only the entries that have changed. A VM that gets no answer from the reader
// reads the platform by itself, so that the role saves reads and nothing
// depends on it.
package vmlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// askTimeout bounds the question to the reader, so that time is left for an own
// reading.
const askTimeout = 500 * time.Millisecond

// keptVersions is the number of former lists that changes are told against.
const keptVersions = 4

// Args ask for the list by the digest of the copy that is held; zero for none.
type Args struct{ Digest uint64 }

// Reply tells the list with a digest: as it differs from the list with the
// digest Base, or whole if Base is zero.
type Reply struct {
	Digest uint64
	Base   uint64
	VMs    []platform.ListedVM // changed and new entries, or all
	Gone   []string            // ids
}

// version is a whole list in order of the ids. It is never modified.
type version struct {
	digest uint64
	vms    []platform.ListedVM
}

// Options set up a Cache. All but Clock are required.
type Options struct {
	Platform platform.VMList
	// MaxAge is the age from which on a copy is read anew.
	MaxAge time.Duration
	// Reader returns the VM that reads for the data centre, and whether that is
	// another VM than this one.
	Reader func() (vm entity.VM, remote bool)
	// Fetch calls Serve on another VM.
	Fetch func(ctx context.Context, vm entity.VM, args Args) (Reply, error)
	Clock clock.Clock // the system's if nil
}

// errOtherBase means that changes came against a list that was not asked with.
var errOtherBase = errors.New("changes against another list")

// Cache is a platform.VMList, safe for concurrent use.
type Cache struct {
	o Options

	reading sync.Mutex // held while the platform is read, so that it is read once

	mu     sync.Mutex
	copy   version       // digest zero if there is none
	former []version     // own readings, the latest first
	readAt time.Duration // of the last own reading
	read   bool          // readAt is set
}

var _ platform.VMList = (*Cache)(nil)

// New returns a Cache without a copy.
func New(o Options) *Cache {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	return &Cache{o: o}
}

// List implements platform.VMList. The caller must not change the entries.
func (l *Cache) List(ctx context.Context) ([]platform.ListedVM, error) {
	if vm, remote := l.o.Reader(); remote {
		if vms, err := l.ask(ctx, vm); err == nil {
			return vms, nil
		}
	}
	v, err := l.current(ctx)
	return v.vms, err
}

// ask gets the list from the reader.
func (l *Cache) ask(ctx context.Context, vm entity.VM) ([]platform.ListedVM, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	held := l.held()
	reply, err := l.o.Fetch(ctx, vm, Args{Digest: held.digest})
	if err != nil {
		return nil, fmt.Errorf("ask %s for the VM list: %w", vm.ID, err)
	}
	now := version{digest: reply.Digest, vms: reply.VMs}
	switch reply.Base {
	case 0:
	case held.digest:
		now.vms = patch(held.vms, reply.VMs, reply.Gone)
	default:
		return nil, fmt.Errorf("ask %s for the VM list: %w", vm.ID, errOtherBase)
	}
	l.hold(now)
	return now.vms, nil
}

// Serve answers another VM of the data centre. A copy that is too old is read
// anew first; if the platform can't be reached, the other VM has to try.
func (l *Cache) Serve(ctx context.Context, args Args) (Reply, error) {
	now, err := l.current(ctx)
	if err != nil {
		return Reply{}, err
	}
	reply := Reply{Digest: now.digest, VMs: now.vms}
	if old, ok := l.formerly(args.Digest); ok && unique(old.vms) && unique(now.vms) {
		reply.Base = old.digest
		reply.VMs, reply.Gone = diff(old.vms, now.vms)
	}
	return reply, nil
}

// formerly finds one of the last lists that were read.
func (l *Cache) formerly(digest uint64) (version, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.former {
		if v.digest == digest {
			return v, true
		}
	}
	return version{}, false
}

// current returns a copy that is not too old.
func (l *Cache) current(ctx context.Context) (version, error) {
	l.reading.Lock()
	defer l.reading.Unlock()
	if v, fresh := l.fresh(); fresh {
		return v, nil
	}
	return l.readLocked(ctx)
}

// readLocked reads the platform. The caller holds reading.
func (l *Cache) readLocked(ctx context.Context) (version, error) {
	vms, err := l.o.Platform.List(ctx)
	if err != nil {
		return version{}, err
	}
	v := version{vms: sorted(vms)}
	if v.digest, err = digestOf(v.vms); err != nil {
		return version{}, err
	}
	l.hold(v)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAt, l.read = l.o.Clock.Now(), true
	if len(l.former) == 0 || l.former[0].digest != v.digest {
		l.former = append([]version{v}, l.former[:min(len(l.former), keptVersions-1)]...)
	}
	return v, nil
}

// digestOf identifies the content of a list. An empty list has a digest, too,
// other than zero, which stands for no copy.
func digestOf(vms []platform.ListedVM) (uint64, error) {
	raw, err := json.Marshal(vms)
	if err != nil {
		return 0, fmt.Errorf("digest of the VM list: %w", err)
	}
	return max(1, xxhash.Sum64(raw)), nil
}

func (l *Cache) held() version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.copy
}

// fresh returns the copy of an own reading that is not too old.
func (l *Cache) fresh() (version, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.copy, l.read && l.o.Clock.Now()-l.readAt < l.o.MaxAge
}

func (l *Cache) hold(v version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copy = v
}
