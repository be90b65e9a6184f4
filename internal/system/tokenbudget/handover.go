package tokenbudget

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/mesh"
)

// A keeper that leaves hands each bucket to another VM of its data centre, with
// what was handed out of it, so that the bucket stays in use while the table
// service can't be reached. The VM keeps it from then on and records that as soon
// as it can.
//
// Invariant: at most one process hands out of a bucket. The keeper that leaves
// has stopped before it asks; it asks a further VM only if the one before surely
// has not taken the bucket. Who takes a bucket and is not recorded stops after
// handoverLimit; until then no other can hand out of it, since whoever claims it
// by the row of the keeper that left waits for memoryOfPrograms.

// handoverLimit is how long a bucket is kept without a record; well below
// memoryOfPrograms, since messages may be late.
const handoverLimit = memoryOfPrograms / 2

// Handover is a bucket that its keeper gives to another VM.
type Handover struct {
	DC      string
	Bucket  int
	Version uint64 // of the row of the keeper that is recorded
	Used    map[string]int64
	// Wait is the time in which nothing may be handed out yet, and Valid that
	// in which the bucket may be kept without a record.
	Wait, Valid time.Duration
}

// errNotTaken means that a VM does not take a bucket.
var errNotTaken = errors.New("bucket not taken")

// HandOverBuckets gives up all buckets, each to another VM of the data centre, or to
// whoever claims it if none takes it. Afterwards nothing is handed out here.
func (a *Quotas) HandOverBuckets(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	kept := a.kept
	a.kept = nil
	a.mu.Unlock()
	for b, k := range kept {
		if !a.handOver(ctx, b, k) {
			a.release(ctx, b, k)
		}
	}
}

// handOver offers a bucket to the VMs that are preferred as its keepers. It
// reports whether one has taken it or may have.
func (a *Quotas) handOver(ctx context.Context, b int, kept *bucket) bool {
	for _, id := range appendRanked(nil, rowName(a.DC, b), a.Processes(a.DC), a.ProcessID) {
		err := a.Peers.handOver(ctx, id, a.handover(b, kept))
		switch {
		case err == nil:
			a.Log.Info("bucket handed over", tag.Count(b), tag.PeerVM(id))
			return true
		case !errors.Is(err, errNotTaken):
			a.Log.Warn("bucket may be handed over", tag.Count(b), tag.PeerVM(id), tag.Error(err))
			return true
		}
	}
	return false
}

func (a *Quotas) handover(b int, kept *bucket) Handover {
	h := Handover{
		DC: a.DC, Bucket: b, Version: kept.version, Used: kept.used(),
		Wait: max(0, time.Until(kept.after)), Valid: handoverLimit,
	}
	if !kept.recorded {
		h.Valid = kept.expires - a.Clock.Now()
	}
	return h
}

// accept takes a bucket over.
func (a *Quotas) accept(h Handover) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving || h.DC != a.DC || a.keeps(h.Bucket) != nil {
		return false
	}
	kept := newBucket(h.Used)
	kept.version, kept.after, kept.expires = h.Version, time.Now().Add(h.Wait), a.Clock.Now()+h.Valid
	a.keep(h.Bucket, kept)
	a.compareKept()
	a.Log.Info("bucket taken over", tag.Count(h.Bucket), tag.Duration(h.Valid))
	return a.kept[h.Bucket] != nil
}

// keeps returns a bucket that this process may hand out of; mu is held.
func (a *Quotas) keeps(b int) *bucket {
	kept := a.kept[b]
	if kept != nil && !kept.recorded && a.Clock.Now() >= kept.expires {
		a.Log.Warn("bucket given up, since it could not be recorded", tag.Count(b))
		delete(a.kept, b)
		return nil
	}
	return kept
}

// compareKept drops buckets that rows give to another process, and notes those
// that are recorded; mu is held.
func (a *Quotas) compareKept() {
	for b, kept := range a.kept {
		row, ok := a.keepers[rowName(a.DC, b)]
		switch {
		case !ok || row.version <= kept.version:
		case row.Process == a.ProcessID && !row.Released:
			kept.version, kept.recorded = row.version, true
		default:
			a.Log.Warn("bucket belongs to another VM", tag.Count(b), tag.PeerVM(row.Process))
			delete(a.kept, b)
		}
	}
}

// unrecorded returns the version of the row that a bucket which was taken over
// must replace.
func (a *Quotas) unrecorded(b int) (uint64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.keeps(b)
	if kept == nil || kept.recorded || a.keepers == nil {
		return 0, false
	}
	return kept.version, true
}

// takenOver reports whether another VM has taken over the bucket of a keeper that
// is gone, and has not recorded itself yet. To claim it would only cost what that
// VM knows; so a VM that doesn't answer is no obstacle.
func (a *Quotas) takenOver(ctx context.Context, b int, old keeperRow, processes map[string]Process) bool {
	if old.version == 0 || old.Released {
		return false
	}
	for _, id := range appendRanked(nil, rowName(a.DC, b), processes, a.ProcessID) {
		if a.Peers.offer(ctx, id, serviceName+".Keeps", b) == nil {
			a.Log.Info("bucket was taken over", tag.Count(b), tag.PeerVM(id))
			return true
		}
	}
	return false
}

// record writes that this process keeps a bucket which it has taken over. After
// a conflict the feed tells who does.
func (a *Quotas) record(ctx context.Context, b int, ifVersion, entry uint64) {
	version, err := a.write(ctx, b, ifVersion, entry)
	if err != nil {
		a.Log.Info("bucket not recorded yet", tag.Count(b), tag.Error(err))
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if kept := a.kept[b]; kept != nil && !kept.recorded {
		kept.version, kept.recorded = version, true
	}
}

// release tells in the row of a bucket what was handed out, grants that are not
// settled counted whole, so that whoever claims it can go on at once.
func (a *Quotas) release(ctx context.Context, b int, kept *bucket) {
	keeper := Keeper{
		VM: a.VM, Process: a.ProcessID, Entry: a.Processes(a.DC)[a.VM].EntryVersion,
		Released: time.Now().After(kept.after), Used: kept.used(),
	}
	if _, err := a.commit(ctx, b, kept.version, keeper); err != nil {
		a.Log.Warn("bucket not released", tag.Count(b), tag.Error(err))
	}
}

// Deposit adds tokens that were taken from a program's row, or from the part of
// another data centre, to the part of this one. It reports whether they arrived;
// if not they count as used.
func (a *Quotas) Deposit(ctx context.Context, program string, tokens int64) bool {
	for _, keeper := range a.keepersOf(program, a.DC) {
		var err error
		if keeper == a.ProcessID {
			err = a.deposit(program, tokens)
		} else {
			err = a.Peers.deposit(ctx, keeper, DepositRequest{program, tokens})
		}
		if err == nil {
			return true
		}
		if !errors.Is(err, errNotTaken) {
			break // it may have arrived
		}
	}
	return false
}

func (a *Quotas) deposit(program string, tokens int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.keeps(bucketOf(program))
	if kept == nil {
		return errNotTaken
	}
	kept.program(program).used -= tokens
	return nil
}

// TakeOver takes a bucket over from its keeper.
func (s *service) TakeOver(h Handover, taken *bool) error {
	*taken = s.allowances.accept(h)
	return nil
}

// Keeps tells whether this VM keeps a bucket of its data centre.
func (s *service) Keeps(b int, yes *bool) error {
	s.allowances.mu.Lock()
	defer s.allowances.mu.Unlock()
	*yes = s.allowances.keeps(b) != nil
	return nil
}

// DepositRequest are tokens for a program.
type DepositRequest struct {
	Program string
	Tokens  int64
}

// Deposit takes tokens for a program.
func (s *service) Deposit(ask DepositRequest, taken *bool) error {
	*taken = s.allowances.deposit(ask.Program, ask.Tokens) == nil
	return nil
}

func (m *PeerClient) handOver(ctx context.Context, process string, h Handover) error {
	return m.offer(ctx, process, serviceName+".TakeOver", h)
}

func (m *PeerClient) deposit(ctx context.Context, process string, ask DepositRequest) error {
	return m.offer(ctx, process, serviceName+".Deposit", ask)
}

// offer makes a call whose answer tells whether the other VM has taken something.
// An error that wraps errNotTaken proves that it has not.
func (m *PeerClient) offer(ctx context.Context, process, method string, args any) error {
	var taken bool
	err := m.call(ctx, process, method, m.Timeouts.Keeper, args, &taken)
	switch {
	case errors.Is(err, mesh.ErrNotSent):
		return fmt.Errorf("%w: %w", errNotTaken, err)
	case err != nil:
		return err
	case !taken:
		return errNotTaken
	}
	return nil
}
