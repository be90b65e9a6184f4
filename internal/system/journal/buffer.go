package journal

import (
	"errors"
	"fmt"

	"ibisstall.example/ibisstall/internal/timeline"
)

// buffer takes fresh entries of a family into the buffer while the platform is
// unavailable: it claims their room, makes the second copy and only then
// acknowledges them. Entries that may not wait fail, and so do those without
// room or copy, with all that builds on them.
func (j *Journal) buffer(f *family, fresh []*entry) {
	records := j.failUnbufferable(f, fresh)
	bytes, rows := f.bufferedSize()
	var accepted []*entry
	for _, e := range records {
		bytes += e.size
		rows += e.rowCount()
		fits := bytes <= maxFamilyBytes && rows <= maxFamilyWrites
		force := f.inPending(e)
		if !force && !fits || !j.room.claim(e, force) {
			j.room.release(f.refuseFrom(e, ErrBufferFull))
			break
		}
		accepted = append(accepted, e)
	}
	if len(accepted) == 0 {
		return
	}
	if err := j.mirror(f, accepted); err != nil {
		j.settleNotMirrored(f, accepted, fmt.Errorf("%w: %w", ErrNotMirrored, err))
		return
	}
	f.markBuffered(accepted)
	for _, e := range accepted {
		j.event(f, timeline.TurnBuffered, e)
		e.finish(Buffered, nil)
	}
}

// failUnbufferable fails intents and compactions and returns the records.
func (j *Journal) failUnbufferable(f *family, fresh []*entry) (records []*entry) {
	var failed []*entry
	for _, e := range fresh {
		if e.record != nil {
			records = append(records, e)
			continue
		}
		failed = append(failed, e)
		if f.inPending(e) {
			e.finish(0, ErrUnresolved)
			continue
		}
		e.finish(0, ErrUnavailable)
	}
	f.remove(failed)
	return records
}

// mirror makes the second copy of entries. A mirror that lacks earlier records,
// for instance since it is another VM than before, gets all of them.
func (j *Journal) mirror(f *family, accepted []*entry) error {
	ctx, cancel := j.request()
	defer cancel()
	first := f.firstBuffered(accepted[0].record.Number)
	err := j.options.Mirror.Put(ctx, f.root, first, recordsOf(accepted))
	if !errors.Is(err, ErrMirrorGap) {
		return err
	}
	all := append(f.bufferedEntries(), accepted...)
	return j.options.Mirror.Put(ctx, f.root, first, recordsOf(all))
}

func recordsOf(entries []*entry) []Record {
	records := make([]Record, len(entries))
	for i, e := range entries {
		records[i] = *e.record
	}
	return records
}

// settleNotMirrored ends entries without a second copy. Those that may have
// taken effect stay queued until that is settled; the others are refused.
func (j *Journal) settleNotMirrored(f *family, entries []*entry, err error) {
	for i, e := range entries {
		if !f.inPending(e) {
			j.room.release(f.refuseFrom(e, err))
			return
		}
		f.markBuffered(entries[i : i+1])
		e.finish(0, fmt.Errorf("%w: %w", ErrUnresolved, err))
	}
}

func (f *family) markBuffered(entries []*entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		e.buffered = true
	}
}

// bufferedEntries returns the buffered front of the queue.
func (f *family) bufferedEntries() []*entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []*entry
	for _, e := range f.queue {
		if e.buffered {
			entries = append(entries, e)
		}
	}
	return entries
}

// bufferedSize returns the bytes and rows of the buffered entries.
func (f *family) bufferedSize() (bytes, rows int) {
	for _, e := range f.bufferedEntries() {
		bytes += e.size
		rows += e.rowCount()
	}
	return bytes, rows
}

// firstBuffered returns the number of the oldest buffered record, or next if
// there is none.
func (f *family) firstBuffered(next uint64) uint64 {
	if buffered := f.bufferedEntries(); len(buffered) > 0 {
		return buffered[0].record.Number
	}
	return next
}
