package tokenbudget

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/policy/ownership"
)

// This file implements how a VM becomes the keeper of a bucket, and how it finds
// the keepers of other buckets.

// Keeper is the value of a bucket's row.
type Keeper struct {
	VM      string       `json:"vm"` // name of the keeper's VM
	Process mesh.Process `json:"p"`
	// Entry is the version of the VM's entry in the list of VMs, as this
	// process wrote it.
	Entry uint64 `json:"e"`
	// Released is set by a keeper that leaves. Used then holds the tokens used
	// by each program that may send further requests.
	Released bool             `json:"r,omitempty"`
	Used     map[string]int64 `json:"u,omitempty"`
}

// ApplyRows applies rows of the keepers' table: changed ones or, with replace
// set, all of them.
func (q *Quotas) ApplyRows(rows []platform.Row, replace bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.keepers == nil || replace {
		q.keepers = make(map[string]versionedKeeper, len(rows))
	}
	for _, row := range rows {
		name := row.Key.ID[1:] // after the "/" that follows the empty partition name
		if row.Version == 0 {
			delete(q.keepers, name) // the row was deleted
			continue
		}
		k := versionedKeeper{version: row.Version}
		if err := json.Unmarshal(row.Value, &k.Keeper); err != nil {
			q.Log.Warn("keeper's row is malformed; row ignored", tag.Target(name), tag.Error(err))
			continue
		}
		q.keepers[name] = k
	}
	q.reconcileBuckets()
}

// ClaimBuckets makes this VM the keeper of buckets that have none, and writes
// this VM into the rows of buckets that it has accepted. It is called
// periodically.
func (q *Quotas) ClaimBuckets(ctx context.Context) {
	processes := q.Processes(q.DC)
	entry := processes[q.VM].EntryVersion
	for b := range bucketsPerDC {
		q.claimOrRecord(ctx, b, processes, entry)
	}
}

func (q *Quotas) claimOrRecord(ctx context.Context, b int, processes map[string]Process, entry uint64) {
	q.changingKeeper.Lock()
	defer q.changingKeeper.Unlock()
	if version, ok := q.unrecordedVersion(b); ok {
		q.recordBucket(ctx, b, version, entry)
	} else if old, ok := q.claimable(b, processes); ok && !q.keptByPeer(ctx, b, old, processes) {
		q.claimBucket(ctx, b, old, entry)
	}
}

// claimable reports whether this VM should become the keeper of a bucket, and
// returns the bucket's current row.
func (q *Quotas) claimable(b int, processes map[string]Process) (versionedKeeper, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.keepers == nil || q.draining || q.buckets[b] != nil || rankedVMs(keeperRowName(q.DC, b), processes)[0] != q.VM {
		return versionedKeeper{}, false
	}
	name := keeperRowName(q.DC, b)
	old, exists := q.keepers[name]
	if !exists || old.Released {
		return old, true
	}
	if old.Process == q.ProcessID {
		return old, true // the response to the claim was lost
	}
	return old, q.processEnded(name, old, processes)
}

// processEnded reports whether the process of a keeper has certainly ended: a
// later process of its VM has added itself to the list of VMs, or the VM has
// been missing from the list for processExitTimeout, which is longer than a
// process takes to exit. Invariant: a keeper that may still grant tokens is never
// replaced.
func (q *Quotas) processEnded(name string, old versionedKeeper, processes map[string]Process) bool {
	p, listed := processes[old.VM]
	if listed {
		delete(q.unlistedSince, name)
		return p.ID != old.Process && p.EntryVersion > old.Entry
	}
	if q.unlistedSince == nil {
		q.unlistedSince = make(map[string]time.Time)
	}
	since, observed := q.unlistedSince[name]
	if !observed {
		q.unlistedSince[name] = time.Now()
		return false
	}
	return time.Since(since) > processExitTimeout
}

// rankedVMs returns the VMs in order of preference as the keeper of a bucket,
// by rendezvous hashing. It returns at least one name, which is "" if there is
// no VM.
func rankedVMs(row string, processes map[string]Process) []string {
	if len(processes) == 0 {
		return []string{""}
	}
	return slices.SortedFunc(maps.Keys(processes), func(x, y string) int {
		return cmp.Or(cmp.Compare(ownership.RendezvousScore(y, row), ownership.RendezvousScore(x, row)), cmp.Compare(x, y))
	})
}

// claimBucket replaces the row of a bucket without a keeper, and starts to keep
// the bucket.
func (q *Quotas) claimBucket(ctx context.Context, b int, old versionedKeeper, entry uint64) {
	version, err := q.writeKeeper(ctx, b, old.version, entry)
	if err != nil {
		// If the response was lost, the change feed delivers the row. It names
		// this process but lacks the earlier usage, so this process claims the
		// bucket again, and grants nothing for programRetention.
		q.Log.Info("claiming a bucket failed; will retry", tag.Count(b), tag.Error(err))
		return
	}
	kept := newBucket(old.Used)
	kept.record(version, q.Clock.Now())
	if old.version != 0 && !old.Released {
		kept.grantsAfter = time.Now().Add(programRetention)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.storeBucket(b, kept)
	q.Log.Info("bucket claimed", tag.Count(b), tag.Duration(max(0, time.Until(kept.grantsAfter))))
}

// writeKeeper writes this process into the row of a bucket as its keeper, and
// returns the row's new version. entry is the version of this VM's entry in the
// list of VMs.
func (q *Quotas) writeKeeper(ctx context.Context, b int, ifVersion, entry uint64) (uint64, error) {
	keeper := Keeper{VM: q.VM, Process: q.ProcessID, Entry: entry}
	version, err := q.commitKeeper(ctx, b, ifVersion, keeper)
	if err != nil {
		return 0, err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.keepers[keeperRowName(q.DC, b)] = versionedKeeper{keeper, version}
	return version, nil
}

// commitKeeper writes the row of a bucket of this data centre, and returns its
// new version.
func (q *Quotas) commitKeeper(ctx context.Context, b int, ifVersion uint64, keeper Keeper) (uint64, error) {
	value, err := json.Marshal(keeper)
	if err != nil {
		return 0, err
	}
	return q.Store.CommitVersioned(ctx, []platform.Write{{Key: keeperKey(q.DC, b), IfVersion: ifVersion, Value: value}})
}

func keeperKey(dc string, b int) platform.Key {
	return platform.Key{Table: KeeperTable, ID: "/" + keeperRowName(dc, b)}
}

// storeBucket adds a bucket to those that this VM keeps; mu is held.
func (q *Quotas) storeBucket(b int, kept *bucket) {
	if q.buckets == nil {
		q.buckets = make(map[int]*bucket)
	}
	q.buckets[b] = kept
}

// maxKeeperCandidates is the number of VMs that are tried as the keeper of a bucket: the
// one in its row, and those that it may have been handed over to, one after the other, while
// the row could not be written.
const maxKeeperCandidates = 5

// keeperCandidates returns the processes that may keep a program's bucket in a
// data centre, the most likely first.
func (q *Quotas) keeperCandidates(program, dc string) []mesh.Process {
	name := keeperRowName(dc, bucketOf(program))
	processes := q.Processes(dc)
	q.mu.Lock()
	row := q.keepers[name]
	q.mu.Unlock()
	var list []mesh.Process
	if row.Process != "" && !row.Released {
		list = append(list, row.Process)
	}
	return appendRankedProcesses(list, name, processes, row.Process)
}

// appendRankedProcesses appends the processes of the VMs in the order of
// rankedVMs, except one process, up to maxKeeperCandidates in all.
func appendRankedProcesses(list []mesh.Process, row string, processes map[string]Process, except mesh.Process) []mesh.Process {
	for _, vm := range rankedVMs(row, processes) {
		if id := processes[vm].ID; len(list) < maxKeeperCandidates && id != "" && id != except {
			list = append(list, id)
		}
	}
	return list
}
