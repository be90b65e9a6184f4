package tokenbudget

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform"
)

// A keeper that leaves hands each of its buckets over to another VM of its data
// centre, with the programs' usage, so that the bucket stays in use while the
// table service is unreachable. That VM keeps the bucket from then on, and
// records itself in the bucket's row as soon as it can.
//
// Invariant: at most one process grants tokens of a bucket. The keeper that
// leaves stops granting before it offers the bucket, and offers it to a further
// VM only if the one before has certainly not accepted it. A VM that accepts a
// bucket, and can't record itself, stops after unrecordedTimeout. Until then no
// other VM grants tokens of the bucket, since a VM that claims the bucket while
// its row still names the keeper that left waits for programRetention.

// unrecordedTimeout is how long a bucket is kept that is not recorded in its
// row. It is well below programRetention since messages may be delayed.
const unrecordedTimeout = programRetention / 2

// Handover is a bucket that its keeper hands over to another VM.
type Handover struct {
	DC      string
	Bucket  int
	Version uint64           // of the bucket's row, which names the last recorded keeper
	Used    map[string]int64 // tokens used by each program
	// Wait is the time from the hand-over until tokens may be granted. Valid is
	// the time from the hand-over for which the bucket may be kept without being
	// recorded.
	Wait, Valid time.Duration
	// By are the ids of the processes that have handed the bucket over since the row had
	// that version, this one last.
	By []mesh.Process
}

// errNotAccepted means that a VM has certainly not accepted a bucket or a
// deposit.
var errNotAccepted = errors.New("not accepted by the other VM")

// HandOverBuckets hands all buckets over to other VMs of the data centre. A
// bucket that none accepts is released in its row, for any VM to claim.
// Afterwards this VM grants nothing.
func (q *Quotas) HandOverBuckets(ctx context.Context) {
	q.mu.Lock()
	q.draining = true // no further bucket is claimed or recorded
	q.mu.Unlock()
	q.changingKeeper.Lock()
	q.mu.Lock()
	kept := q.buckets
	q.buckets = nil
	q.mu.Unlock()
	q.changingKeeper.Unlock()
	for b, k := range kept {
		if !q.handOverBucket(ctx, b, k) {
			q.releaseBucket(ctx, b, k)
		}
	}
}

// handOverBucket offers a bucket to the VMs that rank highest as its keeper. It
// reports whether one has accepted it or may have.
func (q *Quotas) handOverBucket(ctx context.Context, b int, kept *bucket) bool {
	for _, id := range appendRankedProcesses(nil, keeperRowName(q.DC, b), q.Processes(q.DC), q.ProcessID) {
		err := q.Peers.handOver(ctx, id, q.newHandover(b, kept))
		switch {
		case err == nil:
			q.Log.Info("bucket handed over", tag.Count(b), tag.PeerVM(string(id)))
			return true
		case !errors.Is(err, errNotAccepted):
			q.Log.Warn("no response to the hand-over of a bucket; it counts as handed over", tag.Count(b), tag.PeerVM(string(id)), tag.Error(err))
			return true
		}
	}
	return false
}

func (q *Quotas) newHandover(b int, kept *bucket) Handover {
	h := Handover{
		DC: q.DC, Bucket: b, Version: kept.version, Used: kept.usedTokens(),
		Wait: max(0, time.Until(kept.grantsAfter)), Valid: unrecordedTimeout,
		By: []mesh.Process{q.ProcessID},
	}
	if !kept.recorded {
		h.Valid = kept.expires - q.Clock.Now()
		h.By = append(slices.Clone(kept.handedOverBy), q.ProcessID)
	}
	return h
}

// acceptBucket starts to keep a bucket that another VM hands over. It reports
// whether this VM keeps the bucket now.
func (q *Quotas) acceptBucket(h Handover) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.draining || h.DC != q.DC || q.activeBucket(h.Bucket) != nil {
		return false
	}
	kept := newBucket(h.Used)
	kept.version, kept.grantsAfter, kept.expires = h.Version, time.Now().Add(h.Wait), q.Clock.Now()+h.Valid
	kept.handedOverBy = h.By
	q.storeBucket(h.Bucket, kept)
	q.reconcileBuckets()
	q.Log.Info("bucket accepted from its previous keeper", tag.Count(h.Bucket), tag.Duration(h.Valid))
	if q.OnAccept != nil {
		q.OnAccept()
	}
	return q.buckets[h.Bucket] != nil
}

// activeBucket returns a bucket that this process may grant tokens of, or nil if
// there is none. It drops the bucket if it was not recorded in time; mu is held.
func (q *Quotas) activeBucket(b int) *bucket {
	kept := q.buckets[b]
	if kept != nil && !kept.recorded && q.Clock.Now() >= kept.expires {
		q.Log.Warn("bucket dropped: it could not be recorded in time", tag.Count(b))
		delete(q.buckets, b)
		return nil
	}
	return kept
}

// reconcileBuckets drops buckets whose rows name another process, and marks those as recorded
// whose rows name this one; mu is held. A row that names a process that has handed the bucket
// over was written by that one before it did so: the bucket is kept, and recorded in its place.
func (q *Quotas) reconcileBuckets() {
	for b, kept := range q.buckets {
		row, ok := q.keepers[keeperRowName(q.DC, b)]
		switch {
		case !ok || row.version <= kept.version:
		case row.Process == q.ProcessID && !row.Released:
			kept.record(row.version, q.Clock.Now())
		case !kept.recorded && slices.Contains(kept.handedOverBy, row.Process) && !row.Released:
			kept.version = row.version
		default:
			q.Log.Warn("bucket dropped: its row names another VM", tag.Count(b), tag.PeerVM(string(row.Process)))
			delete(q.buckets, b)
		}
	}
}

// unrecordedVersion reports whether a bucket that was accepted still has to be
// recorded, and returns the version of the row to replace.
func (q *Quotas) unrecordedVersion(b int) (uint64, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	kept := q.activeBucket(b)
	if kept == nil || kept.recorded || q.keepers == nil || q.draining {
		return 0, false
	}
	return kept.version, true
}

// keptByPeer reports whether another VM has accepted the bucket of a keeper
// that has ended, and has not recorded itself yet. Claiming such a bucket is
// safe, and only loses the usage that the other VM has received. So a VM that
// doesn't respond does not prevent the claim.
func (q *Quotas) keptByPeer(ctx context.Context, b int, old versionedKeeper, processes map[string]Process) bool {
	if old.version == 0 || old.Released {
		return false
	}
	for _, id := range appendRankedProcesses(nil, keeperRowName(q.DC, b), processes, q.ProcessID) {
		if q.Peers.callForAck(ctx, id, serviceName+".Keeps", b) == nil {
			q.Log.Info("bucket not claimed: another VM has accepted it", tag.Count(b), tag.PeerVM(string(id)))
			return true
		}
	}
	return false
}

// recordBucket writes this process into the row of a bucket that it has
// accepted. After a conflict the change feed delivers the row of the actual
// keeper.
func (q *Quotas) recordBucket(ctx context.Context, b int, ifVersion, entry uint64) {
	version, err := q.writeKeeper(ctx, b, ifVersion, entry)
	if err != nil {
		q.Log.Info("writing the row of an accepted bucket failed; will retry", tag.Count(b), tag.Error(err))
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if kept := q.buckets[b]; kept != nil && !kept.recorded {
		kept.record(version, q.Clock.Now())
	}
}

// releaseBucket writes the programs' usage to the row of a bucket, so that the
// VM that claims it can grant tokens at once. Unsettled grants count as used in
// full.
func (q *Quotas) releaseBucket(ctx context.Context, b int, kept *bucket) {
	keeper := Keeper{
		VM: q.VM, Process: q.ProcessID, Entry: q.Processes(q.DC)[q.VM].EntryVersion,
		Released: time.Now().After(kept.grantsAfter), Used: kept.usedTokens(),
	}
	_, err := q.commitKeeper(ctx, b, kept.version, keeper)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		var version uint64
		if version, err = q.lateVersion(ctx, b, kept); err == nil {
			_, err = q.commitKeeper(ctx, b, version, keeper)
		}
	}
	if err != nil {
		q.Log.Warn("releasing a bucket failed; the next keeper has to wait until its programs expire", tag.Count(b), tag.Error(err))
	}
}

// lateVersion returns the version of a bucket's row if it was written by a call whose response
// was lost: of this process, or of one that has handed the bucket over.
func (q *Quotas) lateVersion(ctx context.Context, b int, kept *bucket) (uint64, error) {
	rows, err := q.Store.Get(ctx, []platform.Key{keeperKey(q.DC, b)})
	if err != nil {
		return 0, err
	}
	var row Keeper
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		return 0, fmt.Errorf("keeper's row: %w", err)
	}
	if row.Released || row.Process != q.ProcessID && !slices.Contains(kept.handedOverBy, row.Process) {
		return 0, fmt.Errorf("the bucket is kept by %s", row.Process)
	}
	return rows[0].Version, nil
}

// Deposit returns tokens that were withdrawn from a program's row, or borrowed
// from any data centre's quota, to this data centre's quota. It reports whether
// a keeper has confirmed them; if not they count as used.
func (q *Quotas) Deposit(ctx context.Context, program string, tokens int64) bool {
	for _, keeper := range q.keeperCandidates(program, q.DC) {
		var err error
		if keeper == q.ProcessID {
			err = q.deposit(program, tokens)
		} else {
			err = q.Peers.deposit(ctx, keeper, DepositRequest{program, tokens})
		}
		if err == nil {
			return true
		}
		if !errors.Is(err, errNotAccepted) {
			break // the keeper may have added them
		}
	}
	return false
}

// deposit adds tokens to the quota of a program whose bucket this VM keeps.
func (q *Quotas) deposit(program string, tokens int64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	kept := q.activeBucket(bucketOf(program))
	if kept == nil {
		return errNotAccepted
	}
	kept.usageOf(program).used -= tokens
	return nil
}

// TakeOver accepts a bucket from its keeper.
func (s *service) TakeOver(h Handover, accepted *bool) error {
	*accepted = s.quotas.acceptBucket(h)
	return nil
}

// Keeps reports whether this VM keeps a bucket of its data centre.
func (s *service) Keeps(b int, kept *bool) error {
	s.quotas.mu.Lock()
	defer s.quotas.mu.Unlock()
	*kept = s.quotas.activeBucket(b) != nil
	return nil
}

// DepositRequest returns tokens to a program's quota.
type DepositRequest struct {
	Program string
	Tokens  int64
}

// Deposit adds tokens to the quota of a program, if this VM keeps its bucket.
func (s *service) Deposit(req DepositRequest, accepted *bool) error {
	*accepted = s.quotas.deposit(req.Program, req.Tokens) == nil
	return nil
}

func (c *PeerClient) handOver(ctx context.Context, process mesh.Process, h Handover) error {
	return c.callForAck(ctx, process, serviceName+".TakeOver", h)
}

func (c *PeerClient) deposit(ctx context.Context, process mesh.Process, req DepositRequest) error {
	return c.callForAck(ctx, process, serviceName+".Deposit", req)
}

// callForAck makes a call whose reply is a bool. It returns nil if the reply is
// true, and an error that wraps errNotAccepted if the reply is false or the call
// was not sent. After any other error the reply is unknown.
func (c *PeerClient) callForAck(ctx context.Context, process mesh.Process, method string, args any) error {
	var accepted bool
	err := c.call(ctx, process, method, c.Timeouts.Keeper, args, &accepted)
	switch {
	case errors.Is(err, mesh.ErrNotSent):
		return fmt.Errorf("%w: %w", errNotAccepted, err)
	case err != nil:
		return err
	case !accepted:
		return errNotAccepted
	}
	return nil
}
