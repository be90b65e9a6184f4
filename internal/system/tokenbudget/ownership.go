package tokenbudget

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/mesh"
)

// Quotas of workspaces are shared by the same keepers, by the hash of the workspace's name.
// This file is all that they use of the ownership of buckets.

// record sets the version of the row that names this process.
func (k *bucket) record(version uint64, now time.Duration) {
	if !k.recorded {
		k.keptSince = now
	}
	k.version, k.recorded, k.handedOverBy = version, true, nil
}

// KeptSince returns since when, on Clock, this process has kept the bucket of a name in its
// data centre, and false if it doesn't. A bucket that was accepted but isn't recorded yet
// doesn't count: another VM may claim it at the same time, and only one of them can record
// itself. So no two processes keep a bucket at once, and keptSince is after the last moment
// at which an earlier keeper kept it.
func (q *Quotas) KeptSince(name string) (since time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	kept := q.buckets[bucketOf(name)]
	if kept == nil || !kept.recorded {
		return 0, false
	}
	return kept.keptSince, true
}

// Recorded returns the process that keeps the bucket of a name in a data centre as its row
// says, or "" if that names none.
func (q *Quotas) Recorded(name, dc string) mesh.Process {
	q.mu.Lock()
	defer q.mu.Unlock()
	row := q.keepers[keeperRowName(dc, bucketOf(name))]
	if row.Released {
		return ""
	}
	return row.Process
}

// Candidates returns the processes that may keep the bucket of a name in a data centre, the
// most likely first, beginning with the recorded one. It ranks all VMs.
func (q *Quotas) Candidates(name, dc string) []mesh.Process { return q.keeperCandidates(name, dc) }

// Call calls a method of a process. One that does not answer is not called again until it
// answers a probe.
func (c *PeerClient) Call(ctx context.Context, process mesh.Process, method string, timeout time.Duration, args, reply any) error {
	return c.call(ctx, process, method, timeout, args, reply)
}
