// Package vmlist reads the platform's VM list once for all VMs of a data
// centre. One VM, a soft role, reads the platform; the others ask it and get
// the list only if it has changed. A VM that gets no answer from the reader
// reads the platform by itself, so that the role saves reads and nothing
// depends on it.
package vmlist

import (
	"context"
	"encoding/json"
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

// Args ask for the list unless it has the given digest.
type Args struct{ Digest uint64 }

// Reply is the list, or empty if it has the digest that was asked with.
type Reply struct {
	Digest uint64
	VMs    []platform.ListedVM
}

// Options set up a List. All but Clock are required.
type Options struct {
	Platform platform.VMList
	// MaxAge is the age from which on a copy is read anew.
	MaxAge time.Duration
	// Reader returns the VM that reads for the data centre, and whether that is
	// another VM than this one.
	Reader func() (vm entity.VM, remote bool)
	// Ask calls Serve on another VM.
	Ask   func(ctx context.Context, vm entity.VM, args Args) (Reply, error)
	Clock clock.Clock // the system's if nil
}

// List is a platform.VMList, safe for concurrent use.
type List struct {
	o Options

	reading sync.Mutex // held while the platform is read, so that it is read once

	mu     sync.Mutex
	copy   Reply // never modified once set
	known  bool
	readAt time.Duration // of the last own reading
	read   bool          // readAt is set
}

var _ platform.VMList = (*List)(nil)

// New returns a List without a copy.
func New(o Options) *List {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	return &List{o: o}
}

// List implements platform.VMList. The caller must not change the entries.
func (l *List) List(ctx context.Context) ([]platform.ListedVM, error) {
	if vm, remote := l.o.Reader(); remote {
		if vms, err := l.ask(ctx, vm); err == nil {
			return vms, nil
		}
	}
	reply, err := l.current(ctx)
	return reply.VMs, err
}

// ask gets the list from the reader.
func (l *List) ask(ctx context.Context, vm entity.VM) ([]platform.ListedVM, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	held, known := l.held()
	var args Args
	if known {
		args.Digest = held.Digest
	}
	reply, err := l.o.Ask(ctx, vm, args)
	if err != nil {
		return nil, fmt.Errorf("ask %s for the VM list: %w", vm.ID, err)
	}
	if known && reply.Digest == held.Digest {
		return held.VMs, nil
	}
	l.hold(reply)
	return reply.VMs, nil
}

// Serve answers another VM of the data centre. A copy that is too old is read
// anew first; if the platform can't be reached, the other VM has to try.
func (l *List) Serve(ctx context.Context, args Args) (Reply, error) {
	reply, err := l.current(ctx)
	if err != nil {
		return Reply{}, err
	}
	if reply.Digest == args.Digest {
		reply.VMs = nil
	}
	return reply, nil
}

// current returns a copy that is not too old.
func (l *List) current(ctx context.Context) (Reply, error) {
	l.reading.Lock()
	defer l.reading.Unlock()
	if reply, fresh := l.fresh(); fresh {
		return reply, nil
	}
	return l.readLocked(ctx)
}

// readLocked reads the platform. The caller holds reading.
func (l *List) readLocked(ctx context.Context) (Reply, error) {
	vms, err := l.o.Platform.List(ctx)
	if err != nil {
		return Reply{}, err
	}
	digest, err := digestOf(vms)
	if err != nil {
		return Reply{}, err
	}
	reply := Reply{Digest: digest, VMs: vms}
	l.hold(reply)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAt, l.read = l.o.Clock.Now(), true
	return reply, nil
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

func (l *List) held() (Reply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.copy, l.known
}

// fresh returns the copy of an own reading that is not too old.
func (l *List) fresh() (Reply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.copy, l.read && l.o.Clock.Now()-l.readAt < l.o.MaxAge
}

func (l *List) hold(r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copy, l.known = r, true
}
