package journal

import (
	"errors"
	"fmt"

	"ibisstall.example/ibisstall/internal/timeline"
)

// bufferEntries buffers new entries of a family while the platform is
// unavailable: it allocates buffer space, sends the entries to the mirror and
// only then acknowledges them. Entries that must not be buffered fail. An entry
// without buffer space or without a second copy fails too, together with all
// entries after it.
func (j *Journal) bufferEntries(f *family, unbuffered []*entry) {
	records := j.failUnbufferable(f, unbuffered)
	bytes, rows := f.bufferedSize()
	var accepted []*entry
	for _, e := range records {
		bytes += e.size
		rows += e.rowCount()
		fits := bytes <= maxFamilyBytes && rows <= maxFamilyWrites
		force := f.inUnresolved(e) // an entry that may have taken effect cannot be rejected
		if !force && !fits || !j.bufferSpace.allocate(e, force) {
			j.bufferSpace.free(f.rejectFrom(e, ErrBufferFull))
			break
		}
		accepted = append(accepted, e)
	}
	if len(accepted) == 0 {
		return
	}
	if err := j.mirrorEntries(f, accepted); err != nil {
		j.handleNotMirrored(f, accepted, fmt.Errorf("%w: %w", ErrNotMirrored, err))
		return
	}
	f.markBuffered(accepted)
	for _, e := range accepted {
		j.recordTurnEvents(f, timeline.TurnBuffered, e)
		e.finish(Buffered, nil)
	}
}

// failUnbufferable fails the intents and compactions among the entries, which are
// never buffered, and returns the records.
func (j *Journal) failUnbufferable(f *family, unbuffered []*entry) (records []*entry) {
	var failed []*entry
	for _, e := range unbuffered {
		if e.record != nil {
			records = append(records, e)
			continue
		}
		failed = append(failed, e)
		if f.inUnresolved(e) {
			e.finish(0, ErrUnresolved)
			continue
		}
		e.finish(0, ErrUnavailable)
	}
	f.remove(failed)
	return records
}

// mirrorEntries sends entries to the mirror. If the mirror lacks earlier
// records, for instance because another VM keeps the copies now, all buffered
// records are sent.
func (j *Journal) mirrorEntries(f *family, accepted []*entry) error {
	ctx, cancel := j.requestContext()
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

// handleNotMirrored fails entries without a second copy. Entries that may have
// taken effect stay queued until their outcome is known; the others are removed.
func (j *Journal) handleNotMirrored(f *family, entries []*entry, err error) {
	for i, e := range entries {
		if !f.inUnresolved(e) {
			j.bufferSpace.free(f.rejectFrom(e, err))
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

// bufferedEntries returns the buffered entries, which are at the front of the
// queue.
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

// bufferedSize returns the number of bytes and rows in the buffered entries.
func (f *family) bufferedSize() (bytes, rows int) {
	for _, e := range f.bufferedEntries() {
		bytes += e.size
		rows += e.rowCount()
	}
	return bytes, rows
}

// firstBuffered returns the number of the oldest buffered record, or next if no
// record is buffered.
func (f *family) firstBuffered(next uint64) uint64 {
	if buffered := f.bufferedEntries(); len(buffered) > 0 {
		return buffered[0].record.Number
	}
	return next
}
