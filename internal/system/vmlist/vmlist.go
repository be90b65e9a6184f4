// Package vmlist caches the platform's VM list. One elected VM of each data
// centre, the reader, reads the list from the platform. The other VMs fetch the
// list from the reader and receive only the entries that have changed. A VM that
// can't fetch the list reads the platform itself: the reader reduces the number of
// reads, but no VM depends on it.
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

// fetchTimeout bounds a fetch from the reader, so that time is left to read the
// platform directly.
const fetchTimeout = 500 * time.Millisecond

// maxPreviousVersions is the number of versions that the reader keeps in order to
// send only the differences from them.
const maxPreviousVersions = 4

// Args request the list. Digest is the digest of the caller's cached copy, or zero
// if the caller has none.
type Args struct{ Digest uint64 }

// Reply is the list with the given digest: the differences from the list with
// the digest Base, or the complete list if Base is zero.
type Reply struct {
	Digest uint64
	Base   uint64
	VMs    []platform.ListedVM // changed and new entries, or all
	Gone   []string            // ids of removed entries
}

// version is a complete list, sorted by id. It is immutable.
type version struct {
	digest uint64
	vms    []platform.ListedVM
}

// Options configure a Cache. All but Clock are required.
type Options struct {
	Platform platform.VMList
	// MaxAge is the age at which a list is read from the platform again.
	MaxAge time.Duration
	// Reader returns the VM that reads the platform for the data centre, and
	// whether it is a VM other than this one.
	Reader func() (vm entity.VM, remote bool)
	// Fetch calls Cache.Serve on another VM.
	Fetch func(ctx context.Context, vm entity.VM, args Args) (Reply, error)
	Clock clock.Clock // the system's if nil
}

// errUnknownBase means that a reply has the differences from a list other than
// the requested one.
var errUnknownBase = errors.New("differences from an unknown list")

// Cache is a platform.VMList that caches the list. It is safe for concurrent use.
type Cache struct {
	options Options

	reading sync.Mutex // held while the platform is read, so that concurrent calls read it once

	mu       sync.Mutex
	copy     version       // latest list, read or fetched; its digest is zero if there is none
	previous []version     // lists read from the platform by this VM, the latest first
	readAt   time.Duration // clock reading when this VM last read the platform
	hasRead  bool          // readAt is set
}

var _ platform.VMList = (*Cache)(nil)

// New returns an empty Cache.
func New(o Options) *Cache {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	return &Cache{options: o}
}

// List implements platform.VMList. The caller must not modify the entries.
func (c *Cache) List(ctx context.Context) ([]platform.ListedVM, error) {
	if vm, remote := c.options.Reader(); remote {
		if vms, err := c.fetch(ctx, vm); err == nil {
			return vms, nil
		}
	}
	v, err := c.current(ctx)
	return v.vms, err
}

// fetch fetches the list from the reader and caches it.
func (c *Cache) fetch(ctx context.Context, vm entity.VM) ([]platform.ListedVM, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	base := c.cachedCopy()
	reply, err := c.options.Fetch(ctx, vm, Args{Digest: base.digest})
	if err != nil {
		return nil, fmt.Errorf("fetch the VM list from %s: %w", vm.ID, err)
	}
	now := version{digest: reply.Digest, vms: reply.VMs}
	switch reply.Base {
	case 0:
	case base.digest:
		now.vms = patch(base.vms, reply.VMs, reply.Gone)
	default:
		return nil, fmt.Errorf("fetch the VM list from %s: %w", vm.ID, errUnknownBase)
	}
	c.setCopy(now)
	return now.vms, nil
}

// Serve returns the list to another VM of the data centre, after reading the
// platform if the copy is too old. If the platform can't be reached, it returns
// an error and the other VM reads the platform itself.
func (c *Cache) Serve(ctx context.Context, args Args) (Reply, error) {
	now, err := c.current(ctx)
	if err != nil {
		return Reply{}, err
	}
	reply := Reply{Digest: now.digest, VMs: now.vms}
	if old, ok := c.previousVersion(args.Digest); ok && unique(old.vms) && unique(now.vms) {
		reply.Base = old.digest
		reply.VMs, reply.Gone = diff(old.vms, now.vms)
	}
	return reply, nil
}

// previousVersion returns the list with a digest, and false if it is not among the
// last lists that this VM has read from the platform.
func (c *Cache) previousVersion(digest uint64) (version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.previous {
		if v.digest == digest {
			return v, true
		}
	}
	return version{}, false
}

// current returns the cached copy, after reading the platform if this VM's last
// read is older than MaxAge.
func (c *Cache) current(ctx context.Context) (version, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if v, fresh := c.fresh(); fresh {
		return v, nil
	}
	return c.readLocked(ctx)
}

// readLocked reads the list from the platform and caches it. The caller holds
// c.reading.
func (c *Cache) readLocked(ctx context.Context) (version, error) {
	vms, err := c.options.Platform.List(ctx)
	if err != nil {
		return version{}, err
	}
	v := version{vms: sorted(vms)}
	if v.digest, err = digestOf(v.vms); err != nil {
		return version{}, err
	}
	c.setCopy(v)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAt, c.hasRead = c.options.Clock.Now(), true
	if len(c.previous) == 0 || c.previous[0].digest != v.digest {
		c.previous = append([]version{v}, c.previous[:min(len(c.previous), maxPreviousVersions-1)]...)
	}
	return v, nil
}

// digestOf returns a digest of the content of a list. It is never zero, not even
// for an empty list: zero means that there is no copy.
func digestOf(vms []platform.ListedVM) (uint64, error) {
	raw, err := json.Marshal(vms)
	if err != nil {
		return 0, fmt.Errorf("digest of the VM list: %w", err)
	}
	return max(1, xxhash.Sum64(raw)), nil
}

func (c *Cache) cachedCopy() version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copy
}

// fresh returns the copy, and whether this VM has read the platform less than
// MaxAge ago.
func (c *Cache) fresh() (version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copy, c.hasRead && c.options.Clock.Now()-c.readAt < c.options.MaxAge
}

func (c *Cache) setCopy(v version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copy = v
}
