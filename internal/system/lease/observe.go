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

// sighting is what an observer knows of one row.
type sighting struct {
	value   row
	version uint64
	// seen is when the answer that first showed this version arrived: the row
	// was renewed before.
	seen time.Duration
	// after is when the last reading that showed another version was sent:
	// the row was renewed after. It is unset until a change was seen.
	after    time.Duration
	hasAfter bool
}

// observer watches the rows of a lease table. It bounds the time of renewals by
// its own clock alone, whatever the wall-clock times in the rows.
type observer struct {
	table string
	from  platform.Table
	clock clock.Clock

	mu       sync.Mutex
	rows     map[string]*sighting
	readAt   time.Duration // arrival of the last answer
	sentAt   time.Duration // sending of the last reading that was answered
	everRead bool
}

func newObserver(table string, from platform.Table, c clock.Clock) *observer {
	return &observer{table: table, from: from, clock: c, rows: make(map[string]*sighting)}
}

// read takes in all rows of the table.
func (o *observer) read(ctx context.Context) error {
	var rows []platform.Row
	sent := o.clock.Now()
	for after := ""; ; {
		page, err := o.from.Scan(ctx, o.table, "", after, platform.MaxScanRows)
		if err != nil {
			return fmt.Errorf("read leases: %w", err)
		}
		rows = append(rows, page...)
		if len(page) < platform.MaxScanRows {
			break
		}
		after = page[len(page)-1].Key.ID
	}
	return o.take(sent, rows)
}

func (o *observer) take(sent time.Duration, rows []platform.Row) error {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	next := make(map[string]*sighting, len(rows))
	for _, r := range rows {
		s, err := o.sight(now, r)
		if err != nil {
			return err
		}
		next[r.Key.ID] = s
	}
	o.rows = next
	o.readAt, o.sentAt, o.everRead = now, sent, true
	return nil
}

func (o *observer) sight(now time.Duration, r platform.Row) (*sighting, error) {
	had := o.rows[r.Key.ID]
	if had != nil && had.version == r.Version {
		return had, nil
	}
	s := &sighting{version: r.Version, seen: now, after: o.sentAt, hasAfter: o.everRead}
	if err := json.Unmarshal(r.Value, &s.value); err != nil {
		return nil, fmt.Errorf("lease row %s: %w", r.Key.ID, err)
	}
	return s, nil
}
