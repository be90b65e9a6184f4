package conversations

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strings"
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
)

// This file deletes turns that no conversation needs any more. The VM that kept a turn remembers
// when. What it forgets, since it ended before, is found by a slow scan of each partition by one
// VM.

const (
	// sweepInterval is the pause between looks for turns to delete.
	sweepInterval = time.Second
	// sweepBatch is the number of turns of a partition that are worth a transaction, and
	// sweepDelay how long fewer ones wait for others.
	sweepBatch = 16
	sweepDelay = 5 * time.Minute
	// maxSweeps bounds the transactions in one sweepInterval.
	maxSweeps = 4
	// maxSweepRows bounds the rows of one transaction.
	maxSweepRows = 90
	// maxRemembered bounds the turns that a VM remembers to delete.
	maxRemembered = 1 << 14
	// scanInterval is the pause between two reads of a VM's scan, and scanRows what one reads.
	scanInterval = 5 * time.Minute
	scanRows     = 50
	// deleteTimeout bounds a deletion, and a read of the scan.
	deleteTimeout = 2 * time.Second
	// scanSlack is what the lifetime of a turn has to be over by for the scan: the VM that
	// remembers it may be about to delete it.
	scanSlack = 2 * sweepDelay
)

// Scanner reads a table in the order of its keys.
type Scanner interface {
	// ScanPartition returns the rows of a partition whose names come after one, up to a number.
	ScanPartition(ctx context.Context, table, partition, after string, limit int) ([]platform.Row, error)
}

// sweptTurn is a turn that is to be deleted.
type sweptTurn struct {
	keys []platform.Key
	due  time.Duration // on the keeper's clock
}

// forgetLater remembers to delete a turn once no conversation needs it.
// The turn may be at each of the locations that were tried.
func (k *Keeper) forgetLater(i id, tried int, r *turn, retention time.Duration) {
	due := k.Clock.Now() + lifetime(retention) + lifetimeSlack
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.sweeps == nil {
		k.sweeps = make(map[string][]sweptTurn)
	}
	for n := range tried {
		if k.remembered >= maxRemembered {
			return // the scan will find it
		}
		partition := i.partition(n)
		k.sweeps[partition] = append(k.sweeps[partition], sweptTurn{due: due, keys: rowKeys(i, n, r, k.RowBytes)})
		k.remembered++
	}
}

// nextSweep takes the turns of one partition that are due, if they are worth a transaction.
func (k *Keeper) nextSweep() (keys []platform.Key, count int) {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	urgent := now < k.fullUntil
	for partition, list := range k.sweeps {
		due := 0
		for due < len(list) && list[due].due <= now {
			due++
		}
		if due == 0 || due < sweepBatch && !urgent && now-list[0].due < sweepDelay {
			continue
		}
		for count < due && (count == 0 || len(keys)+len(list[count].keys) <= maxSweepRows) {
			keys = append(keys, list[count].keys...)
			count++
		}
		if count == len(list) {
			delete(k.sweeps, partition)
		} else {
			k.sweeps[partition] = list[count:]
		}
		k.remembered -= count
		return keys, count
	}
	return nil, 0
}

// sweep deletes turns that are due.
func (k *Keeper) sweep(ctx context.Context) {
	for range maxSweeps {
		keys, count := k.nextSweep()
		if count == 0 {
			return
		}
		if err := k.deleteRows(ctx, keys); err != nil {
			k.Log.Info("expired turns not deleted; left to the scan", tag.Count(count), tag.Error(err))
			return
		}
		k.Metrics.swept.Add(count)
	}
}

// deleteRows deletes rows of one partition.
func (k *Keeper) deleteRows(ctx context.Context, keys []platform.Key) error {
	ctx, cancel := context.WithTimeout(ctx, deleteTimeout)
	defer cancel()
	for len(keys) > 0 {
		n := min(len(keys), maxSweepRows)
		writes := make([]platform.Write, n)
		for j, key := range keys[:n] {
			writes[j] = platform.Write{Key: key, IfVersion: platform.AnyVersion, Delete: true}
		}
		if _, err := k.Table.CommitVersioned(ctx, writes); err != nil {
			return err
		}
		keys = keys[n:]
	}
	return nil
}

// scan reads the next rows of the partitions that this VM scans, and deletes those that were left
// over.
func (k *Keeper) scan(ctx context.Context) {
	for p := range partitions {
		if partition := hex.EncodeToString([]byte{byte(p)}); k.Scans(partition) {
			k.scanPartition(ctx, partition)
		}
	}
}

func (k *Keeper) scanPartition(ctx context.Context, partition string) {
	ctx, cancel := context.WithTimeout(ctx, deleteTimeout)
	defer cancel()
	now, known := k.TableTime()
	if !known {
		return
	}
	k.mu.Lock()
	after := k.scanned[partition]
	k.mu.Unlock()
	rows, err := k.Scanner.ScanPartition(ctx, Table, partition, after, scanRows)
	if err != nil {
		k.Log.Info("turns not scanned", tag.Error(err))
		return
	}
	var leftOver []platform.Key
	after = "" // from the start again after the last row
	for _, row := range rows {
		_, after, _ = strings.Cut(row.Key.ID, "/")
		if expires, ok := rowExpiry(row); ok && now > expires+lifetimeSlack+scanSlack {
			leftOver = append(leftOver, row.Key)
		}
	}
	if len(leftOver) > 0 {
		if err := k.deleteRows(ctx, leftOver); err != nil {
			k.Log.Info("expired turns not deleted; left to the next scan", tag.Count(len(leftOver)), tag.Error(err))
			return
		}
		k.Metrics.swept.Add(len(leftOver))
		k.Log.Info("expired turns of other VMs deleted", tag.Count(len(leftOver)))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.scanned == nil {
		k.scanned = make(map[string]string)
	}
	k.scanned[partition] = after
}

// rowExpiry returns the time of the table service at which no conversation needs a row any more,
// and false if that is unknown.
func rowExpiry(row platform.Row) (time.Duration, bool) {
	if strings.Contains(row.Key.ID, partSeparator) {
		if len(row.Value) < partHeaderBytes {
			return 0, false
		}
		ms := binary.BigEndian.Uint64(row.Value)
		return time.Duration(ms) * time.Millisecond, ms > 0
	}
	t, _, err := decodeTurn(row.Value)
	if err != nil || t.written == 0 {
		return 0, false
	}
	return t.written + lifetime(t.retention), true
}

// fullPause is how long no new conversations begin after the table service had no room for a
// turn: what room there is goes to those under way.
const fullPause = 10 * time.Second

// Errors of Admit.
var (
	// ErrFull means that the table service has no room for new conversations.
	ErrFull = errors.New("no room for new conversations")
	// ErrUnsafe means that a turn could not be kept now.
	ErrUnsafe = errors.New("turns can't be kept at present")
)

func (k *Keeper) isolated() bool { return k.Isolated != nil && k.Isolated() }

// Admit returns an error if no turn, or no first turn of a conversation, may begin now that has to
// be kept by ctx's deadline.
func (k *Keeper) Admit(ctx context.Context, first bool) error {
	if k.isolated() || !k.worthwhile(ctx, 0) {
		return ErrUnsafe
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if first && k.Clock.Now() < k.fullUntil {
		return ErrFull
	}
	return nil
}

// observeFull records that the table service had no room for a turn.
func (k *Keeper) observeFull() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fullUntil = k.Clock.Now() + fullPause
}
