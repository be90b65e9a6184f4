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
	Table platform.VersionedTable
	// TableTime returns the time of the table service, which all VMs share, as far as this VM
	// knows it.
	TableTime func() (now time.Duration, known bool)
	Clock     clock.Clock
	RowBytes  int // largest value of a row
	// CacheBytes bounds the turns that are held in memory.
	CacheBytes int64
	Log        *zap.Logger
	Metrics    *Metrics

	mu    sync.Mutex
	cache cache // guarded by mu
}

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
	t, source, err := k.find(ctx, key.Workspace, last)
	if err != nil {
		return nil, err
	}
	if t.total > maxBytes {
		return nil, ErrTooLarge
	}
	h := &History{last: last, turns: []*turn{t}, Source: source}
	for len(h.turns[0].ancestors) > 0 {
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
			if turns[i], _, err = k.find(ctx, workspace, ids[i]); err != nil {
				cancel(err)
			}
		})
	}
	wg.Wait()
	return turns, context.Cause(ctx)
}

// cached returns a turn from memory, or nil.
func (k *Keeper) cached(i id) *turn {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cache.get(i)
}

// find finds one turn.
func (k *Keeper) find(ctx context.Context, workspace string, i id) (*turn, Source, error) {
	if t := k.cached(i); t != nil {
		return t, FromMemory, nil
	}
	t, err := k.read(ctx, i)
	if err != nil {
		return nil, "", err
	}
	k.remember(workspace, i, t)
	return t, FromTable, nil
}

// read reads a turn from the table service.
func (k *Keeper) read(ctx context.Context, i id) (*turn, error) {
	rows, err := k.Table.Get(ctx, []platform.Key{i.rowKey()})
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
		rows, err := k.Table.Get(ctx, []platform.Key{partKey(i, t.digest, n)})
		if err != nil {
			return nil, err
		}
		if rows[0].Version == 0 {
			return nil, fmt.Errorf("turn %s: %w: part %d is missing", i, errUncertain, n)
		}
		t.data = append(t.data, rows[0].Value...)
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
	record := k.record(t)
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	err := k.write(ctx, i, record)
	took := time.Since(started)
	k.Metrics.observeKeep(err, took, len(record.data))
	fields := []zap.Field{tag.Attempt(t.Turn), tag.Workspace(t.Workspace), tag.Duration(took), tag.Bytes(int64(len(record.data)))}
	if err != nil {
		k.Log.Warn("turn not kept", append(fields, tag.Error(err))...)
		return err
	}
	k.remember(t.Workspace, i, record)
	k.Log.Info("turn kept", append(fields, tag.Count(len(record.ancestors)))...)
	return nil
}

// record returns what is stored of a turn. It contains the whole conversation if a row that
// holds a part of it may be deleted within the turn's retention.
func (k *Keeper) record(t Turn) *turn {
	now, _ := k.TableTime()
	r := &turn{written: now, retention: t.Retention, chainExpires: now + lifetime(t.Retention)}
	var history []byte
	if h := t.History; h != nil {
		last := h.turns[len(h.turns)-1]
		r.total = last.total
		if last.chainExpires < now+t.Retention+lifetimeSlack {
			history = h.Append(nil)
		} else {
			r.chainExpires = min(r.chainExpires, last.chainExpires)
			r.ancestors = append(last.ancestors[max(0, len(last.ancestors)+1-maxAncestors):len(last.ancestors):len(last.ancestors)], h.last)
		}
	}
	r.data = make([]byte, 0, len(history)+len(t.Input)+len(t.Output))
	r.data = append(append(append(r.data, history...), t.Input...), t.Output...)
	r.total += int64(len(t.Input) + len(t.Output))
	if t.Oversize {
		r.data, r.ancestors, r.total = nil, nil, math.MaxInt64
	}
	r.digest = digest(t)
	return r
}

// Timing of writes.
const (
	// keepTimeout is how long a caller waits for its turn to be kept.
	keepTimeout = 1500 * time.Millisecond
	// Pauses between attempts to write a turn.
	minWritePause = 20 * time.Millisecond
	maxWritePause = 160 * time.Millisecond
)

// write writes a turn's rows. It may be repeated, also while an earlier write is under way.
func (k *Keeper) write(ctx context.Context, i id, t *turn) error {
	for _, transaction := range encodeTurn(i, t, k.RowBytes) {
		if err := k.commit(ctx, i, t, transaction); err != nil {
			return err
		}
	}
	return nil
}

// commit commits one transaction of a turn.
func (k *Keeper) commit(ctx context.Context, i id, t *turn, writes []platform.Write) error {
	for pause := minWritePause; ; pause = min(2*pause, maxWritePause) {
		_, err := k.Table.CommitVersioned(ctx, writes)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			var stored *turn
			if stored, err = k.read(ctx, i); err == nil && stored.digest != t.digest {
				err = errOtherContent
			}
		}
		if err == nil || !transient(err) || !clock.Sleep(ctx, pause) {
			return err
		}
	}
}

// transient reports whether a call of the table service that failed may be repeated.
func transient(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown)
}
