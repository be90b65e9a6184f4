package conversations

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
)

// This file writes turns to the table service, through other VMs where this VM doesn't reach it.

// Timing of writes.
const (
	// Pauses between attempts to write a turn.
	minWritePause = 20 * time.Millisecond
	maxWritePause = 160 * time.Millisecond
	// hedgeDelay is how long a write may take until other VMs are asked to make it.
	hedgeDelay = 100 * time.Millisecond
	// relayTimeout bounds a write by another VM.
	relayTimeout = 500 * time.Millisecond
	// relayInterval is how long a VM that doesn't reach the table service isn't asked again.
	relayInterval = 250 * time.Millisecond
	// relayShards is the number of groups of turns that prefer the same VMs.
	relayShards = 8
)

// EncodedTurn is a turn as transactions that write it.
type EncodedTurn struct {
	ID           [16]byte
	Location     int // of those of the turn
	Digest       uint64
	Transactions [][]platform.Write
}

// size returns the length of the values.
func (e *EncodedTurn) size() int64 {
	var n int64
	for _, writes := range e.Transactions {
		for _, w := range writes {
			n += int64(len(w.Value))
		}
	}
	return n
}

// valid reports whether the transactions write a turn with the digest.
func (e *EncodedTurn) valid() bool {
	rows := slices.Concat(e.Transactions...)
	if len(rows) == 0 {
		return false
	}
	t, parts, err := decodeTurn(rows[len(rows)-1].Value)
	return err == nil && parts == len(rows)-1 && t.digest == e.Digest && e.Location >= 0 && e.Location < locations
}

// Peers are the other VMs.
type Peers interface {
	// Relays returns the addresses of the VMs ranked first by a key in this VM's own data
	// centre and in each other one, without this VM and without those that don't answer.
	Relays(key string) (own []string, others [][]string)
	// ReachesTable reports whether a VM reaches the table service itself.
	ReachesTable(ctx context.Context, address string) (bool, error)
	// Write makes a VM write a turn.
	Write(ctx context.Context, address string, e *EncodedTurn) (WriteResult, error)
}

func (i id) relayKey() string { return "turns/" + strconv.Itoa(int(i[len(i)-1])%relayShards) }

// WriteResult is the result of a write by another VM. Its zero value means that the outcome is
// unknown, or that the VM doesn't reach the table service or has no room for the turn.
type WriteResult struct {
	Stored   bool // the turn is in the table
	Conflict bool // another turn was kept under the name
}

// place is by which way a turn came into the table.
type place string

const (
	inTable place = "table"   // written by this VM
	byOther place = "other"   // written by another VM
	nowhere place = "nowhere" // not known to be in the table
)

// store writes a turn, itself or through another VM, until the table service has acknowledged it
// or ctx ends: nothing else survives the loss of all VMs. While a location of the turn is away, or
// slow, the next one is tried. It returns the turn that is stored, as an earlier write of the same
// turn may have won, and how many locations were tried.
func (k *Keeper) store(ctx context.Context, i id, t *turn) (stored *turn, by place, tried int, err error) {
	type result struct {
		stored *turn // nil if it is t
		err    error
	}
	writing := false
	done := make(chan result, 1)
	attempt := 0
	next := func() int {
		n := attempt % locations
		attempt++
		tried = max(tried, n+1)
		return n
	}
	for pause := minWritePause; ; pause = min(2*pause, maxWritePause) {
		if !writing && k.Reachable() {
			writing = true
			n := next()
			go func() {
				var r result
				r.err = k.encode(ctx, i, n, t, func(e *EncodedTurn) (err error) {
					r.stored, err = k.writeTo(ctx, k.Direct, e)
					return err
				})
				done <- r
			}()
		}
		r := result{err: platform.ErrUnavailable}
		if writing {
			select {
			case r = <-done:
				writing = false
				if ctx.Err() == nil {
					k.outage.observe(k.Clock.Now(), r.err)
				}
			case <-time.After(hedgeDelay + k.Lag.TimeoutExtension()):
			}
		}
		switch {
		case r.err == nil:
			return cmp.Or(r.stored, t), inTable, tried, nil
		case !transient(r.err):
			return nil, nowhere, tried, r.err
		}
		switch stored, err := k.relay(ctx, i, t, next); {
		case err != nil:
			return nil, nowhere, tried, err
		case stored:
			k.outage.observe(k.Clock.Now(), nil)
			return t, byOther, tried, nil
		case k.isolated():
			return nil, nowhere, tried, ErrUnsafe
		}
		if !clock.Sleep(ctx, pause) {
			return nil, nowhere, tried, errNotAcknowledged
		}
	}
}

// maxRelayedBytes bounds the data of a turn that another VM is asked to write: it has to hold it
// without having been asked.
const maxRelayedBytes = 4 << 20

// encodedRatio is what an encoded turn takes while it is written, times its data.
const encodedRatio = 4

// encode encodes a turn for its n-th location and calls write. It bounds what is encoded for all turns together, and
// nothing is encoded while a turn waits.
func (k *Keeper) encode(ctx context.Context, i id, n int, t *turn, write func(*EncodedTurn) error) error {
	_, writes := k.semaphores()
	bytes := min(k.CacheBytes, encodedRatio*int64(len(t.data)))
	if err := writes.Acquire(ctx, bytes); err != nil {
		return errNotAcknowledged
	}
	defer writes.Release(bytes)
	return write(&EncodedTurn{ID: i, Location: n, Digest: t.digest, Transactions: encodeTurn(i, n, t, k.RowBytes)})
}

// relay asks another VM that reaches the table service, of another data centre if there is one, to
// write a turn to its next location. It reports whether the VM did. The error is errOtherContent if
// another turn has the name.
func (k *Keeper) relay(ctx context.Context, i id, t *turn, next func() int) (stored bool, err error) {
	if len(t.data) > maxRelayedBytes {
		return false, nil
	}
	own, others := k.Peers.Relays(i.relayKey())
	for _, address := range append(slices.Concat(others...), own...) {
		if ctx.Err() != nil {
			return false, nil
		}
		if !k.reachesTable(ctx, address) {
			continue
		}
		var result WriteResult
		err := k.encode(ctx, i, next(), t, func(e *EncodedTurn) (err error) {
			result, err = k.Peers.Write(ctx, address, e)
			return err
		})
		switch {
		case err == nil && result.Conflict:
			return false, errOtherContent
		case err == nil && result.Stored:
			return true, nil
		}
		k.mu.Lock()
		k.denied[address] = k.Clock.Now()
		k.mu.Unlock()
		return false, nil // the own write may have succeeded meanwhile
	}
	return false, nil
}

// reachesTable reports whether another VM reaches the table service. Until it has said so, it is
// asked once in relayInterval, however many turns wait.
func (k *Keeper) reachesTable(ctx context.Context, address string) bool {
	now := k.Clock.Now()
	k.mu.Lock()
	asked, denied := k.denied[address]
	if denied && now-asked < relayInterval {
		k.mu.Unlock()
		return false
	}
	if k.denied == nil {
		k.denied = make(map[string]time.Duration)
	}
	k.denied[address] = now
	k.mu.Unlock()
	if reaches, err := k.Peers.ReachesTable(ctx, address); err != nil || !reaches {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.denied, address)
	return true
}

// writeTo writes a turn's rows. It may be repeated, also while an earlier write is under way. If
// the turn was stored before, it returns it as stored.
func (k *Keeper) writeTo(ctx context.Context, table platform.VersionedTable, e *EncodedTurn) (*turn, error) {
	for _, writes := range e.Transactions {
		_, err := table.CommitVersioned(ctx, writes)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) { // only the last transaction has a condition
			stored, err := readFrom(ctx, table.Get, e.ID, e.Location, nil)
			if err == nil && stored.digest != e.Digest {
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

// Write writes a turn of another VM.
func (k *Keeper) Write(e EncodedTurn) (out WriteResult, err error) {
	if !e.valid() {
		return out, errMalformedRow
	}
	_, writes := k.semaphores()
	bytes := min(k.CacheBytes, encodedRatio*e.size())
	if !writes.TryAcquire(bytes) {
		return out, nil // another VM may have room
	}
	defer writes.Release(bytes)
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	_, err = k.writeTo(ctx, k.Direct, &e)
	switch {
	case err == nil:
		out.Stored = true
		k.Metrics.relayed.Inc()
	case errors.Is(err, errOtherContent):
		out.Conflict = true
	case !transient(err):
		k.Log.Warn("turn of another VM not written", tag.Error(err))
	}
	return out, nil
}
