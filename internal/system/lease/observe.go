package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/platform"
)

// observedRow is one row as read by an observer.
type observedRow struct {
	value   row
	version uint64
	// firstSeen is the time at which the response that first contained this
	// version arrived: the row was renewed before.
	firstSeen time.Duration
	// renewedAfter is the time at which the last reading that returned an
	// earlier version, or no row, was sent: the row was renewed after it.
	// It is unknown if the first reading returned this version.
	renewedAfter      time.Duration
	renewedAfterKnown bool
}

// rowObserver observes the rows of a lease table. It bounds the times of renewals
// by its own monotonic clock and ignores the wall-clock times in the rows.
type rowObserver struct {
	table  string
	source platform.Table
	clock  clock.Clock

	mu           sync.Mutex
	rows         map[string]*observedRow
	readReceived time.Duration // arrival of the last response
	readSent     time.Duration // sending of the last reading that succeeded
	hasRead      bool
}

func newRowObserver(table string, from platform.Table, c clock.Clock) *rowObserver {
	return &rowObserver{table: table, source: from, clock: c, rows: make(map[string]*observedRow)}
}

// read reads all rows of the table.
func (o *rowObserver) read(ctx context.Context) error {
	var rows []platform.Row
	sent := o.clock.Now()
	for after := ""; ; {
		page, err := o.source.Scan(ctx, o.table, "", after, platform.MaxScanRows)
		if err != nil {
			return fmt.Errorf("read leases: %w", err)
		}
		rows = append(rows, page...)
		if len(page) < platform.MaxScanRows {
			break
		}
		after = page[len(page)-1].Key.ID
	}
	return o.apply(sent, rows)
}

func (o *rowObserver) apply(sent time.Duration, rows []platform.Row) error {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	next := make(map[string]*observedRow, len(rows))
	for _, r := range rows {
		s, err := o.observeRow(now, r)
		if err != nil {
			return err
		}
		next[r.Key.ID] = s
	}
	o.rows = next
	o.readReceived, o.readSent, o.hasRead = now, sent, true
	return nil
}

func (o *rowObserver) observeRow(now time.Duration, r platform.Row) (*observedRow, error) {
	previous := o.rows[r.Key.ID]
	if previous != nil && previous.version == r.Version {
		return previous, nil
	}
	s := &observedRow{version: r.Version, firstSeen: now, renewedAfter: o.readSent, renewedAfterKnown: o.hasRead}
	if err := json.Unmarshal(r.Value, &s.value); err != nil {
		return nil, fmt.Errorf("lease row %s: %w", r.Key.ID, err)
	}
	return s, nil
}
