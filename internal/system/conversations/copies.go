package conversations

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
)

// This file keeps turns that the table service doesn't take now: as copies at this VM and at
// witnesses in other data centres, until one of them has written the turn's rows.

const (
	// witnessShards is the number of groups of turns that have the same witnesses.
	witnessShards = 8
	// holdTimeout bounds a call to a witness, which tries to write the turn first.
	holdTimeout = 500 * time.Millisecond
	// flushInterval is the pause between attempts to write copies, and flushTimeout bounds one.
	flushInterval = 250 * time.Millisecond
	flushTimeout  = 2 * time.Second
	// relayInterval is the pause between attempts to write copies through other VMs.
	relayInterval = 2 * time.Second
	// copyGrace is how long a witness leaves a copy to the VM that made it.
	copyGrace = 3 * time.Second
	// Limits of one transaction of copies.
	maxFlushRows  = 50
	maxFlushBytes = 400 << 10
)

// Copy is a turn that is not yet in the table service.
type Copy struct {
	ID           [16]byte
	Digest       uint64
	Transactions [][]platform.Write // that write it
}

func (c *Copy) size() int64 {
	n := int64(turnOverhead)
	for _, writes := range c.Transactions {
		for _, w := range writes {
			n += int64(len(w.Value))
		}
	}
	return n
}

// turn returns the turn, or nil if the copy is malformed.
func (c *Copy) turn() *turn {
	var rows []platform.Write
	for _, writes := range c.Transactions {
		rows = append(rows, writes...)
	}
	if len(rows) == 0 {
		return nil
	}
	t, parts, err := decodeTurn(rows[len(rows)-1].Value)
	if err != nil || parts != len(rows)-1 {
		return nil
	}
	for _, part := range rows[:parts] {
		if len(part.Value) < partHeaderBytes {
			return nil
		}
		t.data = append(t.data, part.Value[partHeaderBytes:]...)
	}
	return t
}

// heldCopy is a copy at this VM.
type heldCopy struct {
	Copy
	since     time.Duration // when it was made, on the keeper's clock
	witnesses []string      // that have it too; empty at a witness
	own       bool          // this VM answered the turn
}

// Peers are the other VMs.
type Peers interface {
	// Witnesses returns the addresses of the VMs ranked first by a key in this VM's own data
	// centre and in each other one, without this VM and without those that don't answer.
	Witnesses(key string) (own []string, others [][]string)
	Hold(ctx context.Context, address string, c *Copy) (HoldResult, error)
	Find(ctx context.Context, address string, i [16]byte) (FindResult, error)
	Drop(ctx context.Context, address string, ids [][16]byte) error
}

func (i id) witnessKey() string { return "turns/" + strconv.Itoa(int(i[len(i)-1])%witnessShards) }

// HoldResult is what a witness has done with a copy.
type HoldResult struct {
	Stored   bool // it has written the turn
	Held     bool // it holds the copy
	Conflict bool // another turn was kept under the name
}

// hold makes witnesses write a turn or, if they can't, hold copies of it, in each other data centre
// that answers: with the copy here, the turn survives the loss of a data centre. It reports whether the
// turn is in the table service, or safe as copies at the witnesses that it returns.
func (k *Keeper) hold(ctx context.Context, c *Copy) (stored bool, witnesses []string, err error) {
	_, others := k.Peers.Witnesses(id(c.ID).witnessKey())
	for _, dc := range others {
		for _, address := range dc {
			if ctx.Err() != nil {
				break
			}
			result, err := k.Peers.Hold(ctx, address, c)
			if err != nil {
				continue // logged when the VM becomes suspect
			}
			if result.Conflict {
				return false, nil, errOtherContent
			}
			if result.Stored {
				return true, nil, nil
			}
			if result.Held {
				witnesses = append(witnesses, address)
				break
			}
		}
	}
	if len(witnesses) == 0 {
		return false, nil, platform.ErrUnavailable
	}
	return false, witnesses, nil
}

// addCopy holds a copy at this VM. It reports false if there is no room for it.
func (k *Keeper) addCopy(h *heldCopy) bool {
	h.since = k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	i := id(h.ID)
	if old := k.copies[i]; old != nil {
		old.own = old.own || h.own
		old.witnesses = append(old.witnesses, h.witnesses...)
		return old.Digest == h.Digest
	}
	if k.copyBytes+h.size() > k.CacheBytes {
		return false
	}
	if k.copies == nil {
		k.copies = make(map[id]*heldCopy)
	}
	k.copies[i] = h
	k.copyBytes += h.size()
	return true
}

// holdsOther reports whether this VM holds a copy of another turn of the same name.
func (k *Keeper) holdsOther(c *Copy) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.copies[c.ID]
	return h != nil && h.Digest != c.Digest
}

// dropCopy drops a copy, since its turn is in the table service.
func (k *Keeper) dropCopy(i id) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h := k.copies[i]; h != nil {
		k.copyBytes -= h.size()
		delete(k.copies, i)
	}
}

// copyOf returns the turn of a copy at this VM, or nil.
func (k *Keeper) copyOf(i id) *turn {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h := k.copies[i]; h != nil {
		return h.turn()
	}
	return nil
}

// FindResult is what a VM knows about a turn.
type FindResult struct {
	Copy *Copy // nil if the VM has none
	// Certain says that this VM would hold a copy if it had been given one.
	Certain bool
}

// findCopy looks for a copy of a turn at the witnesses. The error is ErrNotFound if there is
// certainly none.
func (k *Keeper) findCopy(ctx context.Context, i id) (*turn, error) {
	certain := k.certain()
	own, others := k.Peers.Witnesses(i.witnessKey())
	dcs := append([][]string{own}, others...)
	type reply struct {
		FindResult
		dc  int
		err error
	}
	replies := make(chan reply, len(slices.Concat(dcs...)))
	asked := 0
	for dc, addresses := range dcs {
		for _, address := range addresses {
			asked++
			go func() {
				r := reply{dc: dc}
				r.FindResult, r.err = k.Peers.Find(ctx, address, i)
				replies <- r
			}()
		}
	}
	answered := make([]bool, len(dcs))
	answered[0] = true // copies are made in other data centres, and the VMs of this one may all be this VM
	for range asked {
		r := <-replies
		if r.err != nil {
			continue
		}
		if r.Copy != nil {
			if t := r.Copy.turn(); t != nil {
				return t, nil
			}
		}
		answered[r.dc] = answered[r.dc] || r.Certain
	}
	if !certain || slices.Contains(answered, false) {
		return nil, errUncertain
	}
	return nil, ErrNotFound
}

// certain reports whether this VM would know if a turn was kept as a copy not long ago: it has
// run, and has reached the table service, long enough for all copies to be written.
func (k *Keeper) certain() bool {
	reachable := k.Reachable()
	k.mu.Lock()
	defer k.mu.Unlock()
	return reachable && k.reachable && k.Clock.Now()-k.since >= k.SettleTime
}

// Run writes copies to the table service and deletes turns that have expired, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	lastSweep, lastScan := k.Clock.Now(), k.Clock.Now()
	for {
		k.observeReachability()
		k.flush(ctx)
		if now := k.Clock.Now(); now-lastSweep >= sweepInterval && k.Reachable() {
			lastSweep = now
			k.sweep(ctx)
		}
		if now := k.Clock.Now(); now-lastScan >= scanInterval && k.Reachable() && k.Retains() {
			lastScan = now
			k.scan(ctx)
		}
		if !clock.Sleep(ctx, flushInterval) {
			return
		}
	}
}

// observeReachability records since when the table service has been reachable.
func (k *Keeper) observeReachability() {
	_, known := k.TableTime() // once a call has succeeded
	reachable := known && k.Reachable()
	k.mu.Lock()
	defer k.mu.Unlock()
	if reachable != k.reachable {
		k.reachable, k.since = reachable, k.Clock.Now()
	}
}

// flush writes the copies whose turn it is.
func (k *Keeper) flush(ctx context.Context) {
	now := k.Clock.Now()
	relayed := !k.Reachable()
	byPartition := make(map[string][]*heldCopy)
	k.mu.Lock()
	if relayed && (len(k.copies) == 0 || now-k.relayedAt < relayInterval) {
		k.mu.Unlock()
		return
	}
	if relayed {
		k.relayedAt = now
	}
	for i, h := range k.copies {
		if h.own || k.reachable && now-max(h.since, k.since) >= copyGrace {
			byPartition[i.partition()] = append(byPartition[i.partition()], h)
		}
	}
	k.mu.Unlock()
	written := make(map[string][][16]byte) // by witness
	for _, list := range byPartition {
		for len(list) > 0 {
			batch := firstBatch(list)
			if relayed { // one copy shows whether others reach the table service
				batch, relayed = batch[:1], false
			}
			list = list[len(batch):]
			if !k.flushBatch(ctx, batch) {
				k.tellWitnesses(ctx, written)
				return
			}
			for _, h := range batch {
				k.dropCopy(h.ID)
				for _, address := range h.witnesses {
					written[address] = append(written[address], h.ID)
				}
			}
		}
	}
	k.tellWitnesses(ctx, written)
}

// firstBatch returns the copies at the start of a list that one transaction can write. A copy
// that needs several transactions is a batch of its own.
func firstBatch(list []*heldCopy) []*heldCopy {
	bytes := int64(0)
	for n, h := range list {
		bytes += h.size()
		single := len(h.Transactions) == 1 && len(h.Transactions[0]) == 1
		if n > 0 && (!single || n == maxFlushRows || bytes > maxFlushBytes) {
			return list[:n]
		}
		if !single {
			return list[:1]
		}
	}
	return list
}

// flushBatch writes copies of one partition, and reports false if the table service can't be
// reached.
func (k *Keeper) flushBatch(ctx context.Context, batch []*heldCopy) bool {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if len(batch) > 1 {
		var writes []platform.Write
		for _, h := range batch {
			writes = append(writes, h.Transactions[0]...)
		}
		if _, err := k.Table.CommitVersioned(ctx, writes); err == nil {
			k.Log.Info("copies of turns written", tag.Count(len(batch)))
			return true
		} else if transient(err) {
			return false
		}
	}
	for _, h := range batch {
		switch _, err := k.writeTo(ctx, k.Table, &h.Copy); {
		case err == nil:
			k.Log.Info("copies of turns written", tag.Count(1))
		case errors.Is(err, errOtherContent):
			k.Log.Warn("copy of a turn dropped", tag.Error(err))
		case transient(err) || ctx.Err() != nil:
			return false
		default:
			k.Log.Warn("copy of a turn not written; it stays here", tag.Error(err))
			return false
		}
	}
	return true
}

// tellWitnesses tells witnesses which turns are in the table service. A witness that isn't told
// writes the turn once more, without effect.
func (k *Keeper) tellWitnesses(ctx context.Context, written map[string][][16]byte) {
	for address, ids := range written {
		if err := k.Peers.Drop(ctx, address, ids); err != nil {
			k.Log.Info("witness not told of turns that were written", tag.Address(address), tag.Count(len(ids)), tag.Error(err))
		}
	}
}

// HandOver passes the copies that this VM holds to other VMs, before it leaves.
func (k *Keeper) HandOver(ctx context.Context) {
	k.flush(ctx)
	k.mu.Lock()
	list := make([]heldCopy, 0, len(k.copies))
	for _, h := range k.copies {
		held := *h
		held.witnesses = slices.Clone(h.witnesses) // a copy that is held may get further ones
		list = append(list, held)
	}
	k.mu.Unlock()
	var wg sync.WaitGroup
	running := make(chan struct{}, maxParallelReads)
	for _, h := range list {
		running <- struct{}{}
		wg.Go(func() {
			defer func() { <-running }()
			own, others := k.Peers.Witnesses(id(h.ID).witnessKey())
			for _, address := range slices.Concat(own, slices.Concat(others...)) {
				if slices.Contains(h.witnesses, address) {
					continue
				}
				if result, err := k.Peers.Hold(ctx, address, &h.Copy); err == nil && (result.Stored || result.Held) {
					k.dropCopy(h.ID)
					return
				}
			}
		})
	}
	wg.Wait()
	if len(list) > 0 {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.Log.Info("copies of turns handed over", tag.Count(len(list)-len(k.copies)), tag.Remaining(int64(len(k.copies))))
	}
}

// Hold writes a turn of another VM or, if the table service can't be reached, holds a copy.
func (k *Keeper) Hold(c Copy) (out HoldResult, err error) {
	if t := c.turn(); t == nil || t.digest != c.Digest {
		return out, errMalformedRow
	}
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	_, err = k.writeTo(ctx, k.Direct, &c)
	switch {
	case err == nil:
		out.Stored = true
	case errors.Is(err, errOtherContent):
		out.Conflict = true
	case transient(err):
		out.Held = k.addCopy(&heldCopy{Copy: c})
		out.Conflict = !out.Held && k.holdsOther(&c)
		k.Metrics.copies.Inc()
	default:
		k.Log.Warn("turn of another VM not written", tag.Error(err))
	}
	return out, nil
}

// Find returns what this VM knows about a turn.
func (k *Keeper) Find(i [16]byte) (out FindResult) {
	out.Certain = k.certain()
	k.mu.Lock()
	defer k.mu.Unlock()
	if h := k.copies[i]; h != nil {
		out.Copy = &h.Copy
	}
	return out
}

// Drop drops copies of turns that are in the table service.
func (k *Keeper) Drop(ids [][16]byte) {
	for _, i := range ids {
		k.dropCopy(i)
	}
}
