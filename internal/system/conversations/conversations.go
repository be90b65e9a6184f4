// Package conversations keeps the turns of conversations, so that a caller sends only what
// is new and names the turn that it goes on from.
//
// Each turn is a row of the table service under an id that follows from its workspace and its
// name alone. A row is written once, under the condition that it doesn't exist, and names the
// turns before it, so that any VM can put a conversation together. docs/design/conversations.md
// weighs this against the alternatives.
package conversations

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

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
	// ErrTooLarge means that the conversation is longer than any VM has room for.
	ErrTooLarge = errors.New("conversation too long")
	// ErrNoRoom means that this VM has no room for the bytes now; also an error of Keep.
	ErrNoRoom = errors.New("no room for the conversation")
)

// errUncertain means that a part of a turn is missing, although the turn exists.
var errUncertain = errors.New("a part of the turn is missing")

// errOtherContent means that a turn with the same name and other content was kept before.
var errOtherContent = errors.New("another turn was kept under this name")

// errNotAcknowledged means that the table service didn't acknowledge a turn in time.
var errNotAcknowledged = errors.New("turn not acknowledged by the table service")

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

// locations is the number of partitions that a turn may be kept in: the first one, or another one
// while that is away.
const locations = 3

// partition returns the n-th of the partitions that the turn may be kept in.
func (i id) partition(n int) string {
	step := i[1] | 1 // odd, so that the partitions differ
	return hex.EncodeToString([]byte{(i[0] + byte(n)*step) % partitions})
}

func (i id) rowKey(n int) platform.Key {
	return platform.Key{Table: Table, ID: i.partition(n) + "/" + i.String()}
}

// Turn is a turn that was answered whole.
type Turn struct {
	Key
	History   *History // what it goes on from; nil at the start of a conversation
	Input     []byte
	Output    []byte        // the data of each event, followed by a line feed
	Oversize  bool          // Output is incomplete: no VM has room to go on from it
	Retention time.Duration // for which the turn can be gone on from
	// Hold accounts for bytes that are held until the turn is kept, and reports whether there is
	// room. It may be nil.
	Hold func(bytes int) bool
}

// History is a conversation up to a turn.
type History struct {
	last  id
	turns []*turn // oldest first
	// Source says where the last turn was found.
	Source Source
}

// Len returns the number of bytes of the history, which may be nil.
func (h *History) Len() int {
	n := 0
	if h == nil {
		return n
	}
	for _, t := range h.turns {
		n += len(t.data)
	}
	return n
}

// Append returns the history followed by an input.
func (h *History) Append(input []byte) []byte {
	return append(h.appendTo(make([]byte, 0, h.Len()+len(input))), input...)
}

// appendTo appends the history, which may be nil, to a buffer.
func (h *History) appendTo(b []byte) []byte {
	if h == nil {
		return b
	}
	for _, t := range h.turns {
		b = append(b, t.data...)
	}
	return b
}

// Source says where a turn was found.
type Source string

// Sources of turns.
const (
	FromMemory Source = "memory" // of this VM
	FromTable  Source = "table"
)

// maxParallelReads bounds the reads of one conversation that are under way at once.
const maxParallelReads = 8

// Pauses between attempts to read a turn.
const (
	minReadPause = 20 * time.Millisecond
	maxReadPause = 160 * time.Millisecond
)

// RankedReader reads rows of the table service, through other VMs while this VM can't reach it. A
// text ranks those VMs.
type RankedReader interface {
	GetRanked(ctx context.Context, rank string, keys []platform.Key) ([]platform.Row, error)
}

// Keeper keeps turns. It is safe for concurrent use.
type Keeper struct {
	// Table and Reader relay calls through other VMs while this VM can't reach the table service;
	// Direct fails them at once.
	Table, Direct platform.VersionedTable
	Reader        RankedReader
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
	// CacheBytes bounds the turns that are held in memory.
	CacheBytes int64
	Peers      Peers
	// Scanner reads the partitions for which Scans reports true: each one is scanned by one VM.
	Scanner Scanner
	Scans   func(partition string) bool
	// Retains reports whether conversations are kept at present.
	Retains func() bool
	Lag     *clock.Lag // scheduling lag of this VM; may be nil
	Log     *zap.Logger
	Metrics *Metrics

	outage outage
	// Reads under way, and bytes of turns that are being written, for all requests together.
	semaphoresOnce sync.Once
	reads, writes  *semaphore.Weighted

	mu     sync.Mutex
	cache  cache                    // guarded by mu
	denied map[string]time.Duration // guarded by mu; when VMs that don't reach the table service were asked last
	// Of turns to delete.
	sweeps     map[string][]sweptTurn // guarded by mu; by partition, the oldest first
	remembered int                    // guarded by mu; turns in sweeps
	scanned    map[string]string      // guarded by mu; name of the last row scanned, by partition
	fullUntil  time.Duration          // guarded by mu; no new conversations begin before
}

// maxReads bounds the calls that read the table service at the same time.
const maxReads = 16

// semaphores returns those that bound reads and writes.
func (k *Keeper) semaphores() (reads, writes *semaphore.Weighted) {
	k.semaphoresOnce.Do(func() {
		k.reads, k.writes = semaphore.NewWeighted(maxReads), semaphore.NewWeighted(k.CacheBytes)
	})
	return k.reads, k.writes
}

// Run follows outages and deletes turns that have expired, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.followOutage(ctx)
	lastSweep, lastScan := k.Clock.Now(), k.Clock.Now()
	for clock.Sleep(ctx, sweepInterval) {
		now := k.Clock.Now()
		if !k.Reachable() {
			continue
		}
		if now-lastSweep >= sweepInterval {
			lastSweep = now
			k.sweep(ctx)
		}
		if now-lastScan >= scanInterval && k.Retains() {
			lastScan = now
			k.scan(ctx)
		}
	}
}

// Load returns the conversation up to a turn. It waits for the end of an outage that may end well
// before ctx's deadline. hold accounts for the bytes of the conversation, and reports whether there
// is room.
func (k *Keeper) Load(ctx context.Context, key Key, maxBytes int64, hold func(bytes int) bool) (*History, error) {
	started := time.Now()
	h, err := k.load(ctx, key, maxBytes, hold)
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

func (k *Keeper) load(ctx context.Context, key Key, maxBytes int64, hold func(bytes int) bool) (*History, error) {
	last := key.id()
	h := k.fromMemory(last)
	held := false
	admit := func(total int64) error {
		if total > maxBytes {
			return ErrTooLarge
		}
		if held = held || hold(int(total)); !held {
			return ErrNoRoom
		}
		return nil
	}
	if h != nil {
		if err := admit(h.turns[len(h.turns)-1].total); err != nil {
			return nil, err
		}
	} else {
		t, err := k.fetch(ctx, key.Workspace, last, admit)
		if err != nil {
			return nil, err
		}
		h = &History{last: last, turns: []*turn{t}, Source: FromTable}
	}
	t := h.turns[len(h.turns)-1]
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
			if turns[i], err = k.fetch(ctx, workspace, ids[i], nil); err != nil {
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

// fetch reads a turn that is not in memory, and keeps it there. The error is ErrNotFound only if
// the table service has answered that there is no such turn: one whose answer has ended was
// acknowledged before. admit, unless nil, is called with the length of the conversation before more
// than the first row is read.
func (k *Keeper) fetch(ctx context.Context, workspace string, i id, admit func(total int64) error) (*turn, error) {
	began := k.Clock.Now()
	for pause := minReadPause; ; pause = min(2*pause, maxReadPause) {
		t, err := k.readAny(ctx, i, admit)
		if err == nil {
			k.remember(workspace, i, t)
			return t, nil
		}
		if !transient(err) || !k.worthwhile(ctx, k.Clock.Now()-began) || !clock.Sleep(ctx, pause) {
			return nil, err
		}
	}
}

// readAny reads a turn from wherever it may be kept. The error is ErrNotFound only if the table
// service has answered for each location.
func (k *Keeper) readAny(ctx context.Context, i id, admit func(total int64) error) (*turn, error) {
	result := ErrNotFound
	for n := range locations {
		t, err := readFrom(ctx, k.get, i, n, admit)
		if transient(err) {
			result = err
		} else if !errors.Is(err, ErrNotFound) {
			return t, err
		}
	}
	return nil, result
}

// get reads rows, itself or through other VMs, which differ from call to call.
func (k *Keeper) get(ctx context.Context, keys []platform.Key) ([]platform.Row, error) {
	reads, _ := k.semaphores()
	if err := reads.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	defer reads.Release(1)
	rows, err := k.Reader.GetRanked(ctx, strconv.FormatUint(rand.Uint64(), 36), keys)
	if ctx.Err() == nil {
		k.outage.observe(k.Clock.Now(), err)
	}
	return rows, err
}

// readFrom reads a turn from its n-th location by calls of the table service. admit is as for fetch.
func readFrom(ctx context.Context, get func(context.Context, []platform.Key) ([]platform.Row, error), i id, n int, admit func(total int64) error) (*turn, error) {
	rows, err := get(ctx, []platform.Key{i.rowKey(n)})
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
	if admit != nil {
		if err := admit(t.total); err != nil {
			return nil, err
		}
	}
	for part := range parts {
		rows, err := get(ctx, []platform.Key{partKey(i, n, t.digest, part)})
		if err != nil {
			return nil, err
		}
		if rows[0].Version == 0 || len(rows[0].Value) < partHeaderBytes {
			return nil, fmt.Errorf("turn %s: %w: part %d", i, errUncertain, part)
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

// Keep keeps a turn. It returns nil once the table service has acknowledged it, so that the turn
// survives the loss of all VMs, and tries until ctx ends.
func (k *Keeper) Keep(ctx context.Context, t Turn) error {
	started := time.Now()
	i := t.id()
	var stored *turn
	var place place
	tried := 0
	record, history, err := k.record(t)
	if err == nil {
		stored, place, tried, err = k.store(ctx, i, record)
	}
	took := time.Since(started)
	bytes := len(t.Input) + len(t.Output)
	k.Metrics.observeKeep(place, err, took, bytes)
	fields := []zap.Field{tag.Attempt(t.Turn), tag.Workspace(t.Workspace), tag.Duration(took), tag.Bytes(int64(bytes)), tag.Outage(k.outageAge())}
	if err != nil {
		if errors.Is(err, platform.ErrFull) {
			k.observeFull()
		}
		k.Log.Warn("turn not kept", append(fields, tag.Error(err))...)
		return err
	}
	k.forgetLater(i, tried, record, t.Retention)
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
// the number of bytes of the data that are those of earlier turns. The error is ErrNoRoom.
func (k *Keeper) record(t Turn) (*turn, int, error) {
	now, _ := k.TableTime()
	r := &turn{
		written: now, retention: t.Retention, chainExpires: now + lifetime(t.Retention), digest: digest(t), total: int64(len(t.Input) + len(t.Output)),
	}
	if t.Oversize {
		r.total = math.MaxInt64
		return r, 0, nil
	}
	hold := func(bytes int) bool { return t.Hold == nil || t.Hold(bytes) }
	var earlier *History // that the record contains
	if h := t.History; h != nil {
		last := h.turns[len(h.turns)-1]
		r.total += last.total
		restarted := last.written > now+lifetimeSlack // the clock of the table service
		if r.total <= inlineBytes || last.chainExpires < now+t.Retention+lifetimeSlack || restarted {
			earlier = h
			r.previous = h.last
		} else {
			r.chainExpires = min(r.chainExpires, last.chainExpires)
			r.ancestors = followedBy(last.ancestors, h.last)
		}
	}
	length := earlier.Len() + len(t.Input) + len(t.Output)
	if !hold(length + earlier.Len()) { // the rows of what the caller sent take little beside it
		return nil, 0, ErrNoRoom
	}
	r.data = append(append(earlier.appendTo(make([]byte, 0, length)), t.Input...), t.Output...)
	return r, earlier.Len(), nil
}

// HeldRatio is what a request takes at most while a turn is served and kept, times the
// conversation: what it goes on from, the body for the endpoint or the record, the record's rows,
// and one of them as it is sent.
const HeldRatio = 4

// followedBy returns the last of the ancestors of a turn, followed by the turn.
func followedBy(ancestors []id, i id) []id {
	return append(slices.Clone(ancestors[max(0, len(ancestors)+1-maxAncestors):]), i)
}

// transient reports whether a call of the table service that failed may be repeated.
func transient(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown)
}
