package tokenbudget

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/policy/ownership"
)

// This file is how VMs become the keepers of buckets, and find those of others.

// Keeper is the row of a bucket.
type Keeper struct {
	VM      string `json:"vm"`
	Process string `json:"p"`
	// Entry is the version of the VM's entry in the list of VMs as that
	// process made it.
	Entry uint64 `json:"e"`
	// Released tells that the keeper has left and that Used is what it handed
	// out to programs that may come back.
	Released bool             `json:"r,omitempty"`
	Used     map[string]int64 `json:"u,omitempty"`
}

// ApplyRows takes in rows of the table of keepers; with whole they are all of them.
func (a *Quotas) ApplyRows(rows []platform.Row, whole bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keepers == nil || whole {
		a.keepers = make(map[string]keeperRow, len(rows))
	}
	for _, row := range rows {
		name := row.Key.ID[1:] // the partition has no name
		if row.Version == 0 {
			delete(a.keepers, name)
			continue
		}
		k := keeperRow{version: row.Version}
		if err := json.Unmarshal(row.Value, &k.Keeper); err != nil {
			a.Log.Warn("row of a keeper unreadable", tag.Target(name), tag.Error(err))
			continue
		}
		a.keepers[name] = k
	}
	a.compareKept()
}

// ClaimBuckets makes this VM the keeper of buckets that have none, and records those
// that were handed over to it. It is called from time to time.
func (a *Quotas) ClaimBuckets(ctx context.Context) {
	processes := a.Processes(a.DC)
	entry := processes[a.VM].EntryVersion
	for b := range bucketsPerDC {
		if version, ok := a.unrecorded(b); ok {
			a.record(ctx, b, version, entry)
		} else if old, ok := a.vacant(b, processes); ok && !a.takenOver(ctx, b, old, processes) {
			a.claim(ctx, b, old, entry)
		}
	}
}

// vacant reports whether this VM should become the keeper of a bucket, and
// returns the row as it is now.
func (a *Quotas) vacant(b int, processes map[string]Process) (keeperRow, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keepers == nil || a.leaving || a.kept[b] != nil || ranked(rowName(a.DC, b), processes)[0] != a.VM {
		return keeperRow{}, false
	}
	name := rowName(a.DC, b)
	old, exists := a.keepers[name]
	if !exists || old.Released {
		return old, true
	}
	if old.Process == a.ProcessID {
		return old, true // the answer to the claim was lost
	}
	return old, a.gone(name, old, processes)
}

// gone reports whether the process of a keeper has surely ended: a later one of
// its VM has entered itself, or it has left the list for longer than a process
// takes to end. Invariant: a keeper that may still hand out is never replaced.
func (a *Quotas) gone(name string, old keeperRow, processes map[string]Process) bool {
	p, listed := processes[old.VM]
	if listed {
		delete(a.unlisted, name)
		return p.ID != old.Process && p.EntryVersion > old.Entry
	}
	if a.unlisted == nil {
		a.unlisted = make(map[string]time.Time)
	}
	since, noted := a.unlisted[name]
	if !noted {
		a.unlisted[name] = time.Now()
		return false
	}
	return time.Since(since) > leaveLimit
}

// ranked returns the VMs in the order in which they should keep a bucket, by
// rendezvous hashing. It returns at least one name, which is "" for no VM.
func ranked(row string, processes map[string]Process) []string {
	if len(processes) == 0 {
		return []string{""}
	}
	return slices.SortedFunc(maps.Keys(processes), func(x, y string) int {
		return cmp.Or(cmp.Compare(ownership.RendezvousScore(y, row), ownership.RendezvousScore(x, row)), cmp.Compare(x, y))
	})
}

func (a *Quotas) claim(ctx context.Context, b int, old keeperRow, entry uint64) {
	version, err := a.write(ctx, b, old.version, entry)
	if err != nil {
		// After a lost answer the feed tells who is the keeper; this process
		// then doesn't know what was handed out before and keeps nothing.
		a.Log.Info("bucket not claimed", tag.Count(b), tag.Error(err))
		return
	}
	kept := newBucket(old.Used)
	kept.version, kept.recorded = version, true
	if old.version != 0 && !old.Released {
		kept.after = time.Now().Add(memoryOfPrograms)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keep(b, kept)
	a.Log.Info("bucket claimed", tag.Count(b), tag.Duration(max(0, time.Until(kept.after))))
}

// write makes this process the keeper of a bucket in its row.
func (a *Quotas) write(ctx context.Context, b int, ifVersion, entry uint64) (uint64, error) {
	keeper := Keeper{VM: a.VM, Process: a.ProcessID, Entry: entry}
	version, err := a.commit(ctx, b, ifVersion, keeper)
	if err != nil {
		return 0, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keepers[rowName(a.DC, b)] = keeperRow{keeper, version}
	return version, nil
}

// commit writes the row of a bucket of this data centre.
func (a *Quotas) commit(ctx context.Context, b int, ifVersion uint64, keeper Keeper) (uint64, error) {
	value, err := json.Marshal(keeper)
	if err != nil {
		return 0, err
	}
	key := platform.Key{Table: KeeperTable, ID: "/" + rowName(a.DC, b)}
	return a.Store.CommitAt(ctx, []platform.Write{{Key: key, IfVersion: ifVersion, Value: value}})
}

// keep notes a bucket; mu is held.
func (a *Quotas) keep(b int, kept *bucket) {
	if a.kept == nil {
		a.kept = make(map[int]*bucket)
	}
	a.kept[b] = kept
}

// maxKeepers is the number of VMs that are asked as the keeper of a bucket: the
// one in its row, and those to which it may have been handed over.
const maxKeepers = 3

// keepersOf returns the processes that may keep a program's bucket in a data
// centre, the likeliest first.
func (a *Quotas) keepersOf(program, dc string) []string {
	name := rowName(dc, bucketOf(program))
	processes := a.Processes(dc)
	a.mu.Lock()
	row := a.keepers[name]
	a.mu.Unlock()
	var list []string
	if row.Process != "" && !row.Released {
		list = append(list, row.Process)
	}
	return appendRanked(list, name, processes, row.Process)
}

// appendRanked adds the processes that are preferred as the keeper of a bucket, but
// for one, up to maxKeepers in all.
func appendRanked(list []string, row string, processes map[string]Process, except string) []string {
	for _, vm := range ranked(row, processes) {
		if id := processes[vm].ID; len(list) < maxKeepers && id != "" && id != except {
			list = append(list, id)
		}
	}
	return list
}
