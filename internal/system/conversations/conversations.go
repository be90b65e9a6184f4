// Package conversations keeps the turns of conversations, so that a caller sends only what
// is new and names the turn that it goes on from.
//
// Each turn is a row of the table service under an id that follows from its workspace and its
// name alone. A row is written once, under the condition that it doesn't exist, and names the
// turns before it, so that any VM can put a conversation together. docs/design/conversations.md
// weighs this against the alternatives.
package conversations

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
)

// Table is the table of turns.
const Table = "turns"

// partitions is the number of partitions of the table, a power of two up to 256.
const partitions = 64

// Errors of Load. Any other error means that it can't be told at present whether the turn exists.
var (
	// ErrNotFound means that the workspace has no such turn.
	ErrNotFound = errors.New("no such turn")
	// ErrTooLarge means that the conversation is longer than a request may be.
	ErrTooLarge = errors.New("conversation too long")
)

// errUncertain means that a turn was not found where it would usually be.
var errUncertain = errors.New("turn not found, but it may exist")

// errOtherContent means that a turn with the same name and other content was kept before.
var errOtherContent = errors.New("another turn was kept under this name")

// errNotSafe means that a turn could be made safe nowhere in time.
var errNotSafe = errors.New("neither the table service nor enough other VMs keep the turn")

// Key names a turn.
type Key struct {
	Workspace string // empty where the configuration has no workspaces
	Turn      string // id of the attempt that was answered
}

// id identifies a turn. It depends on the workspace, so that the turns of others can't be told
// from turns that don't exist.
type id [16]byte

func (k Key) id() id {
	h := sha256.New()
	fmt.Fprintf(h, "%d\x00%s\x00%s", len(k.Workspace), k.Workspace, k.Turn)
	return id(h.Sum(nil)[:len(id{})])
}

func (i id) String() string { return hex.EncodeToString(i[:]) }

// partition returns the partition of the table that holds the turn.
func (i id) partition() string { return hex.EncodeToString([]byte{i[0] % partitions}) }

func (i id) rowKey() platform.Key {
	return platform.Key{Table: Table, ID: i.partition() + "/" + i.String()}
}

// Turn is a turn that was answered whole.
type Turn struct {
	Key
	History   *History // what it goes on from; nil at the start of a conversation
	Input     []byte
	Output    []byte        // the data of each event, followed by a line feed
	Oversize  bool          // Output is incomplete, since it is longer than a request may be
	Retention time.Duration // for which the turn can be gone on from
}

// History is a conversation up to a turn.
type History struct {
	last  id
	turns []*turn // oldest first
	// Source says where the last turn was found.
	Source Source
}

// Len returns the number of bytes of the history.
func (h *History) Len() int {
	n := 0
	for _, t := range h.turns {
		n += len(t.data)
	}
	return n
}

// Append returns the history followed by an input.
func (h *History) Append(input []byte) []byte {
	b := make([]byte, 0, h.Len()+len(input))
	for _, t := range h.turns {
		b = append(b, t.data...)
	}
	return append(b, input...)
}

// Source says where a turn was found.
type Source string

// Sources of turns.
const (
	FromMemory Source = "memory" // of this VM
	FromTable  Source = "table"
	FromCopy   Source = "copy" // at another VM
)

// Limits of calls.
const (
	// maxParallelReads bounds the reads of one conversation that are under way at once.
	maxParallelReads = 8
	// maxNameBytes bounds the name of a turn.
	maxNameBytes = 1024
)

// Keeper keeps turns. It is safe for concurrent use.
type Keeper struct {
	// Table relays calls through other VMs while this VM can't reach the table service; Direct
	// fails them at once.
	Table, Direct platform.VersionedTable
	// Reachable reports whether this VM reaches the table service itself.
	Reachable func() bool
	// Isolated reports whether this VM reaches neither the table service nor other data centres, so
	// that no turn can be made safe. It may be nil.
	Isolated func() bool
	// TableTime returns the time of the table service, which all VMs share, as far as this VM
	// knows it.
	TableTime func() (now time.Duration, known bool)
	Clock     clock.Clock
	RowBytes  int // largest value of a row
	// CacheBytes bounds the turns that are held in memory, and by themselves the copies of those
	// that aren't in the table service yet.
	CacheBytes int64
	// SettleTime is how long this VM has to run, and to reach the table service, until it is
	// certain that a turn which it doesn't find doesn't exist.
	SettleTime time.Duration
	Peers      Peers
	// Scanner reads the partitions for which Scans reports true: each one is scanned by one VM.
	Scanner Scanner
	Scans   func(partition string) bool
	// Retains reports whether conversations are kept at present.
	Retains func() bool
	Lag     *clock.Lag // scheduling lag of this VM; may be nil
	Log     *zap.Logger
	Metrics *Metrics

	mu        sync.Mutex
	cache     cache            // guarded by mu
	copies    map[id]*heldCopy // guarded by mu
	copyBytes int64            // guarded by mu; sum of the sizes of copies
	reachable bool             // guarded by mu; what Run last saw
	since     time.Duration    // guarded by mu; of reachable, on Clock
	relayedAt time.Duration    // guarded by mu; when copies were last passed to other VMs to be written
	// Of turns to delete.
	sweeps     map[string][]sweptTurn // guarded by mu; by partition, the oldest first
	remembered int                    // guarded by mu; turns in sweeps
	scanned    map[string]string      // guarded by mu; name of the last row scanned, by partition
	fullUntil  time.Duration          // guarded by mu; no new conversations begin before

	unsafeUntil time.Duration // guarded by mu; no turns begin before, unless the table service is reachable
}

// DefaultSettleTime is the SettleTime for production: copies are written within some seconds of
// the table service's return.
const DefaultSettleTime = 10 * time.Second

// Load returns the conversation up to a turn.
func (k *Keeper) Load(ctx context.Context, key Key, maxBytes int64) (*History, error) {
	if len(key.Turn) > maxNameBytes {
		return nil, ErrNotFound
	}
	started := time.Now()
	h, err := k.load(ctx, key, maxBytes)
	fields := []zap.Field{tag.Attempt(key.Turn), tag.Workspace(key.Workspace), tag.Duration(time.Since(started))}
	switch {
	case err == nil:
		k.Metrics.observeLoad(string(h.Source), h.Len())
		k.Log.Info("turn read", append(fields, tag.HistorySource(string(h.Source)), tag.Count(len(h.turns)), tag.Bytes(int64(h.Len())), tag.Age(k.age(h.turns[len(h.turns)-1])))...)
	default:
		k.Metrics.observeLoad(failureLabel(err), 0)
		k.Log.Info("turn not read", append(fields, tag.Error(err))...)
	}
	return h, err
}

func (k *Keeper) load(ctx context.Context, key Key, maxBytes int64) (*History, error) {
	last := key.id()
	h := k.fromMemory(last)
	if h == nil {
		t, source, err := k.fetch(ctx, key.Workspace, last)
		if err != nil {
			return nil, err
		}
		h = &History{last: last, turns: []*turn{t}, Source: source}
	}
	t := h.turns[len(h.turns)-1]
	if t.total > maxBytes {
		return nil, ErrTooLarge
	}
	for len(h.turns[0].ancestors) > 0 && h.Source != FromMemory {
		before, err := k.findAll(ctx, key.Workspace, h.turns[0].ancestors)
		if errors.Is(err, ErrNotFound) && !k.expired(t) {
			err = errUncertain // an ancestor outlives its turns
		}
		if err != nil {
			return nil, fmt.Errorf("ancestors: %w", err)
		}
		h.turns = append(before, h.turns...)
	}
	return h, nil
}

// fromMemory returns the conversation up to a turn, or nil if a part of it is not in memory.
func (k *Keeper) fromMemory(last id) *History {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.cache.get(last)
	if t == nil {
		return nil
	}
	h := &History{last: last, turns: []*turn{t}, Source: FromMemory}
	for previous, ok := t.predecessor(); ok; previous, ok = t.predecessor() {
		if t = k.cache.get(previous); t == nil {
			return nil
		}
		h.turns = append(h.turns, t)
	}
	slices.Reverse(h.turns)
	return h
}

// findAll finds turns at the same time.
func (k *Keeper) findAll(ctx context.Context, workspace string, ids []id) ([]*turn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	turns := make([]*turn, len(ids))
	running := make(chan struct{}, maxParallelReads)
	var wg sync.WaitGroup
	for i := range ids {
		if turns[i] = k.cached(ids[i]); turns[i] != nil {
			continue
		}
		running <- struct{}{}
		wg.Go(func() {
			defer func() { <-running }()
			var err error
			if turns[i], _, err = k.fetch(ctx, workspace, ids[i]); err != nil {
				cancel(err)
			}
		})
	}
	wg.Wait()
	return turns, context.Cause(ctx)
}

// cached returns a turn from memory as its row has it, or nil.
func (k *Keeper) cached(i id) *turn {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.cache.get(i); t != nil && !t.short {
		return t
	}
	return nil
}

// fetch finds a turn that is not in memory, and keeps it there. The error is ErrNotFound only if
// the turn certainly doesn't exist.
func (k *Keeper) fetch(ctx context.Context, workspace string, i id) (*turn, Source, error) {
	if t := k.copyOf(i); t != nil {
		return t, FromCopy, nil
	}
	t, err := k.read(ctx, i)
	source := FromTable
	if errors.Is(err, ErrNotFound) || transient(err) {
		source = FromCopy
		var copyErr error
		if t, copyErr = k.findCopy(ctx, i); copyErr == nil {
			err = nil
		} else if errors.Is(err, ErrNotFound) {
			err = copyErr
		}
	}
	if err != nil {
		return nil, "", err
	}
	k.remember(workspace, i, t)
	return t, source, nil
}

// read reads a turn from the table service.
func (k *Keeper) read(ctx context.Context, i id) (*turn, error) { return k.readFrom(ctx, k.Table, i) }

func (k *Keeper) readFrom(ctx context.Context, table platform.VersionedTable, i id) (*turn, error) {
	rows, err := table.Get(ctx, []platform.Key{i.rowKey()})
	if err != nil {
		return nil, err
	}
	if rows[0].Version == 0 {
		return nil, ErrNotFound
	}
	t, parts, err := decodeTurn(rows[0].Value)
	if err != nil {
		return nil, fmt.Errorf("turn %s: %w", i, err)
	}
	for n := range parts {
		rows, err := table.Get(ctx, []platform.Key{partKey(i, t.digest, n)})
		if err != nil {
			return nil, err
		}
		if rows[0].Version == 0 || len(rows[0].Value) < partHeaderBytes {
			return nil, fmt.Errorf("turn %s: %w: part %d is missing", i, errUncertain, n)
		}
		t.data = append(t.data, rows[0].Value[partHeaderBytes:]...)
	}
	return t, nil
}

// remember keeps a turn in memory.
func (k *Keeper) remember(workspace string, i id, t *turn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cache.put(workspace, i, t, k.CacheBytes)
}

// lifetime returns how long the row of a turn is kept. It is longer than the retention, so
// that turns go on from it for a while without a copy of it.
func lifetime(retention time.Duration) time.Duration { return lifetimeFactor * retention }

const (
	lifetimeFactor = 3
	// lifetimeSlack is what a row's lifetime has to exceed the retention of the turns that
	// need it by: they may be kept late.
	lifetimeSlack = 30 * time.Second
)

// age returns how long ago a turn was kept; 0 if that is unknown.
func (k *Keeper) age(t *turn) time.Duration {
	now, known := k.TableTime()
	if !known {
		return 0
	}
	return max(0, now-t.written)
}

// expired reports whether a turn's retention is certainly over.
func (k *Keeper) expired(t *turn) bool { return k.age(t) > t.retention+lifetimeSlack }

// Keep keeps a turn. It returns nil once the turn survives the loss of all VMs.
func (k *Keeper) Keep(ctx context.Context, t Turn) error {
	started := time.Now()
	i := t.id()
	record, history := k.record(t)
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	c := &Copy{ID: i, Digest: record.digest, Transactions: encodeTurn(i, record, k.RowBytes)}
	stored, place, err := k.secure(ctx, c, record)
	took := time.Since(started)
	k.Metrics.observeKeep(place, err, took, len(record.data))
	fields := []zap.Field{tag.Attempt(t.Turn), tag.Workspace(t.Workspace), tag.Duration(took), tag.Bytes(int64(len(record.data)))}
	if err != nil {
		if errors.Is(err, platform.ErrFull) {
			k.observeFull()
		} else if errors.Is(err, errNotSafe) {
			k.observeUnsafe()
		}
		k.Log.Warn("turn not kept", append(fields, tag.Error(err))...)
		return err
	}
	k.forgetLater(c, t.Retention)
	if stored == record {
		stored = record.without(history)
	}
	k.remember(t.Workspace, i, stored)
	k.Log.Info("turn kept", append(fields, tag.KeptIn(string(place)), tag.Count(len(record.ancestors)))...)
	return nil
}

// inlineBytes is the length up to which a turn's row contains the whole conversation, so that
// one short read finds it.
const inlineBytes = 16 << 10

// record returns what is stored of a turn. It contains the whole conversation if that is short,
// or if a row that holds a part of it may be deleted within the turn's retention. It also returns
// the number of bytes of the data that are those of earlier turns.
func (k *Keeper) record(t Turn) (*turn, int) {
	now, _ := k.TableTime()
	r := &turn{
		written: now, retention: t.Retention, chainExpires: now + lifetime(t.Retention), digest: digest(t), total: int64(len(t.Input) + len(t.Output)),
	}
	if t.Oversize {
		r.total = math.MaxInt64
		return r, 0
	}
	var history []byte
	if h := t.History; h != nil {
		last := h.turns[len(h.turns)-1]
		r.total += last.total
		restarted := last.written > now+lifetimeSlack // the clock of the table service
		if r.total <= inlineBytes || last.chainExpires < now+t.Retention+lifetimeSlack || restarted {
			history = h.Append(nil)
			r.previous = h.last
		} else {
			r.chainExpires = min(r.chainExpires, last.chainExpires)
			r.ancestors = followedBy(last.ancestors, h.last)
		}
	}
	r.data = slices.Concat(history, t.Input, t.Output)
	return r, len(history)
}

// followedBy returns the last of the ancestors of a turn, followed by the turn.
func followedBy(ancestors []id, i id) []id {
	return append(slices.Clone(ancestors[max(0, len(ancestors)+1-maxAncestors):]), i)
}

// Timing of writes.
const (
	// keepTimeout is how long a caller waits for its turn to be kept.
	keepTimeout = 1500 * time.Millisecond
	// Pauses between attempts to write a turn.
	minWritePause = 20 * time.Millisecond
	maxWritePause = 160 * time.Millisecond
)

// place is where a turn is safe.
type place string

const (
	inTable  place = "table"   // written by this VM
	byOther  place = "other"   // in the table, written by another VM
	asCopies place = "copies"  // at VMs of several data centres
	nowhere  place = "nowhere" // not safe
)

// hedgeDelay is how long a write may take until other VMs are asked to make it.
const hedgeDelay = 100 * time.Millisecond

// secure makes a turn safe: in the table service, written by this VM or by another one, or as
// copies while no VM reaches the service. It returns the turn that is stored, as an earlier write
// of the same turn may have won.
func (k *Keeper) secure(ctx context.Context, c *Copy, t *turn) (*turn, place, error) {
	type result struct {
		stored *turn // nil if it is t
		err    error
	}
	writing := false
	done := make(chan result, 1)
	for pause := minWritePause; ; pause = min(2*pause, maxWritePause) {
		if !writing {
			writing = true
			go func() {
				stored, err := k.writeTo(ctx, k.Direct, c)
				done <- result{stored, err}
			}()
		}
		r := result{err: platform.ErrOutcomeUnknown}
		select {
		case r = <-done:
			writing = false
		case <-time.After(hedgeDelay + k.Lag.TimeoutExtension()):
		}
		switch {
		case r.err == nil:
			return cmp.Or(r.stored, t), inTable, nil
		case !transient(r.err):
			return nil, nowhere, r.err
		}
		stored, witnesses, err := k.hold(ctx, c)
		switch {
		case stored:
			return t, byOther, nil
		case err == nil && k.addCopy(&heldCopy{Copy: *c, own: true, witnesses: witnesses}):
			return t, asCopies, nil
		case errors.Is(err, errOtherContent):
			return nil, nowhere, err
		case k.isolated():
			return nil, nowhere, ErrUnsafe
		}
		if !clock.Sleep(ctx, pause) {
			return nil, nowhere, errNotSafe
		}
	}
}

// writeTo writes a turn's rows. It may be repeated, also while an earlier write is under way. If
// the turn was stored before, it returns it as stored.
func (k *Keeper) writeTo(ctx context.Context, table platform.VersionedTable, c *Copy) (*turn, error) {
	for _, writes := range c.Transactions {
		_, err := table.CommitVersioned(ctx, writes)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) { // only the last transaction has a condition
			stored, err := k.readFrom(ctx, table, c.ID)
			if err == nil && stored.digest != c.Digest {
				err = errOtherContent
			}
			return stored, err
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// transient reports whether a call of the table service that failed may be repeated.
func transient(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown)
}
