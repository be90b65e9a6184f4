package journal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// LoadFamily reads the program rows of a family, which need not be owned. It needs
// one read, and one more if the root program has sub-agents.
func (j *Journal) LoadFamily(ctx context.Context, root entity.ProgramID) (*Family, error) {
	rootRows, err := j.table.Get(ctx, []platform.Key{ProgramKey(root)})
	if err != nil {
		return nil, readError("program", err)
	}
	rows, err := j.readFamily(ctx, root, rootRows[0])
	if err != nil {
		return nil, err
	}
	family := &Family{Root: root, Programs: make(map[entity.ProgramID]VersionedProgram, len(rows))}
	for id, r := range rows {
		family.Programs[id] = VersionedProgram{Program: r.program.Copy(), Version: r.version}
	}
	return family, nil
}

// readFamily returns the program rows of a family. The root row is given; the rows
// of the sub-agents are read if the root program counts any. It returns ErrNotFound
// if the root row is absent.
func (j *Journal) readFamily(ctx context.Context, root entity.ProgramID, rootRow platform.Row) (map[entity.ProgramID]row, error) {
	if rootRow.Version == 0 {
		return nil, fmt.Errorf("%w: program %s", ErrNotFound, root)
	}
	p, err := decodeProgram(rootRow)
	if err != nil {
		return nil, err
	}
	family := map[entity.ProgramID]row{root: {version: rootRow.Version, program: p}}
	if p.Children == 0 {
		return family, nil
	}
	if err := j.scanLimiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	children, err := j.scanAll(ctx, TablePrograms, string(root)+".", "")
	if err != nil {
		return nil, err
	}
	for _, r := range children {
		child, err := decodeProgram(r)
		if err != nil {
			return nil, err
		}
		family[child.ID] = row{version: r.Version, program: child}
	}
	return family, nil
}

// scanAll reads all rows of a table whose ids start with prefix and sort after the
// id after.
func (j *Journal) scanAll(ctx context.Context, table, prefix, after string) ([]platform.Row, error) {
	var all []platform.Row
	for {
		rows, err := j.table.Scan(ctx, table, prefix, after, platform.MaxScanRows)
		if err != nil {
			return nil, readError(table, err)
		}
		all = append(all, rows...)
		if len(rows) < platform.MaxScanRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key.ID
	}
}

// errTurnsMoved means that a concurrent compaction moved turns from rows into an
// object between two reads.
var errTurnsMoved = errors.New("turns moved while they were read")

// History reads the turns of a program, starting at number from, in order: one
// read for the program, one for its compacted turns and one for each
// platform.MaxScanRows later ones. It includes the turns of records that this
// journal has buffered.
func (j *Journal) History(ctx context.Context, program entity.ProgramID, from uint64) ([]*entity.Turn, error) {
	const maxAttempts = 4
	from = max(from, 1)
	var err error
	for range maxAttempts {
		var turns []*entity.Turn
		turns, err = j.readHistory(ctx, program, from)
		if err == nil {
			return j.appendBuffered(program, from, turns), nil
		}
		if !errors.Is(err, errTurnsMoved) {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
}

// readHistory reads the turns of a program, starting at number from, once. It
// returns errTurnsMoved if a compaction moved turns between two of its reads, and no
// turns for a program that has no row yet but is queued.
func (j *Journal) readHistory(ctx context.Context, id entity.ProgramID, from uint64) ([]*entity.Turn, error) {
	rows, err := j.table.Get(ctx, []platform.Key{ProgramKey(id)})
	if err != nil {
		return nil, readError("program", err)
	}
	if rows[0].Version == 0 {
		if j.isQueued(id) {
			return nil, nil
		}
		return nil, fmt.Errorf("%w: program %s", ErrNotFound, id)
	}
	p, err := decodeProgram(rows[0])
	if err != nil {
		return nil, err
	}
	var turns []*entity.Turn
	if from <= p.Compacted {
		compacted, err := j.readCompacted(ctx, p)
		if err != nil {
			return nil, err
		}
		turns = compacted[from-1:]
	}
	if next := from + uint64(len(turns)); next <= p.Head {
		tail, err := j.readTurnRows(ctx, id, next)
		if err != nil {
			return nil, err
		}
		turns = append(turns, tail...)
	}
	return turns, checkTurns(turns, from, p.Head)
}

// readTurnRows reads the turns stored in rows, starting at number from.
func (j *Journal) readTurnRows(ctx context.Context, id entity.ProgramID, from uint64) ([]*entity.Turn, error) {
	rows, err := j.scanAll(ctx, TableTurns, string(id)+"/", TurnKey(id, from-1).ID)
	if err != nil {
		return nil, err
	}
	turns := make([]*entity.Turn, len(rows))
	for i, r := range rows {
		if turns[i], err = decodeTurn(r); err != nil {
			return nil, err
		}
	}
	return turns, nil
}

// checkTurns returns errTurnsMoved unless turns are numbered without a gap from
// `from` up to at least head. Turns after head may have been appended since head
// was read.
func checkTurns(turns []*entity.Turn, from, head uint64) error {
	for i, t := range turns {
		if t.Number != from+uint64(i) {
			return fmt.Errorf("%w: turn %d stands in place of %d", errTurnsMoved, t.Number, from+uint64(i))
		}
	}
	if last := from + uint64(len(turns)) - 1; last < head {
		return fmt.Errorf("%w: %d of %d turns", errTurnsMoved, last, head)
	}
	return nil
}

// readCompacted reads the compacted turns of a program. It returns errTurnsMoved if
// their object does not exist: a later compaction has replaced it.
func (j *Journal) readCompacted(ctx context.Context, p *entity.Program) ([]*entity.Turn, error) {
	data, err := j.objects.Get(ctx, p.CompactedIn)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, fmt.Errorf("%w: object %s", errTurnsMoved, p.CompactedIn)
	}
	if err != nil {
		return nil, readError("compacted turns", err)
	}
	turns, err := decodeSegment(data)
	if err != nil {
		return nil, fmt.Errorf("object %s: %w", p.CompactedIn, err)
	}
	if err := checkTurns(turns, 1, p.Compacted); err != nil || uint64(len(turns)) != p.Compacted {
		return nil, fmt.Errorf("%w: object %s holds %d turns, not %d", ErrCorrupt, p.CompactedIn, len(turns), p.Compacted)
	}
	return turns, nil
}

// appendBuffered appends to turns, which are durable and start at number from, the
// program's buffered turns that continue them.
func (j *Journal) appendBuffered(id entity.ProgramID, from uint64, turns []*entity.Turn) []*entity.Turn {
	f := j.family(id.Root())
	if f == nil {
		return turns
	}
	for _, e := range f.bufferedEntries() {
		for _, t := range e.record.Turns {
			if t.Program == id && t.Number == from+uint64(len(turns)) {
				turns = append(turns, t)
			}
		}
	}
	return turns
}

// isQueued reports whether a program whose row is absent from the platform has been
// created by a queued record of this journal.
func (j *Journal) isQueued(id entity.ProgramID) bool {
	f := j.family(id.Root())
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest[id] != nil
}

// maxSegmentBytes bounds the memory for decoding a segment, which is the content of
// an object with compacted turns.
const maxSegmentBytes = 256 << 20

// encodeSegment encodes turns as zstd-compressed JSON.
func encodeSegment(turns []*entity.Turn) ([]byte, error) {
	raw, err := json.Marshal(turns)
	if err != nil {
		return nil, fmt.Errorf("encode segment: %w", err)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("encode segment: %w", err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(raw, nil), nil
}

func decodeSegment(data []byte) ([]*entity.Turn, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSegmentBytes))
	if err != nil {
		return nil, fmt.Errorf("decode segment: %w", err)
	}
	defer decoder.Close()
	raw, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	var turns []*entity.Turn
	if err := json.Unmarshal(raw, &turns); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return turns, nil
}
