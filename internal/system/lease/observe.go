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

// observedRow is one row as read by an observer. Times are readings of the
// observer's monotonic clock.
type observedRow struct {
	value   row
	version uint64
	// firstSeen is the time at which the response that first contained this
	// version arrived. The version was written before firstSeen.
	firstSeen time.Duration
	// renewedAfter is the time at which the last reading that returned an
	// earlier version, or no row, was sent. The version was written after
	// renewedAfter. There is no such reading, and renewedAfterKnown is false, if
	// the observer's first reading already returned this version.
	renewedAfter      time.Duration
	renewedAfterKnown bool
}

// rowObserver observes the rows of a lease table. It derives bounds of the times of
// renewals from its own monotonic clock and ignores the wall-clock times in the rows.
type rowObserver struct {
	table  string
	source platform.Table
	clock  clock.Clock

	mu           sync.Mutex
	rows         map[string]*observedRow // by row id
	readReceived time.Duration           // when the last successful reading was received
	readSent     time.Duration           // when the last successful reading was sent
	hasRead      bool                    // at least one reading succeeded
}

func newRowObserver(table string, source platform.Table, c clock.Clock) *rowObserver {
	return &rowObserver{table: table, source: source, clock: c, rows: make(map[string]*observedRow)}
}

// read reads all rows of the table. After an error the earlier observations remain.
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

// apply replaces the observed rows by those of a reading that was sent at the time
// sent and has just been received.
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

// observeRow returns the observation of a row that was received at the time now: the
// previous observation if the version is unchanged. The caller holds mu.
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
