package journal

import (
	"context"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// ListPrograms reads at most limit program rows, and at most
// platform.MaxScanRows, in the order of their ids. It returns programs whose home
// data centre is dc, or all if dc is empty, and whose ids sort after the id after.
// Changes that a journal still buffers are not included.
func ListPrograms(ctx context.Context, table platform.Table, dc string, after entity.ProgramID, limit int) ([]*entity.Program, error) {
	prefix := ""
	if dc != "" {
		prefix = string(entity.NewProgramID(dc, "", ""))
	}
	rows, err := table.Scan(ctx, TablePrograms, prefix, string(after), min(limit, platform.MaxScanRows))
	if err != nil {
		return nil, readError("programs", err)
	}
	programs := make([]*entity.Program, len(rows))
	for i, r := range rows {
		if programs[i], err = decodeProgram(r); err != nil {
			return nil, err
		}
	}
	return programs, nil
}

// RootRowMayBeStored reports whether the platform has, or may have, the root row of
// a family, so that other VMs can find the family. It returns true for a family that
// this journal does not own.
func (j *Journal) RootRowMayBeStored(root entity.ProgramID) bool {
	f := j.family(root)
	if f == nil {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[root].version > 0 || f.unresolved != nil // the unresolved transaction may have written it
}

// AllDurable reports whether a family has no buffered records. It returns true for
// a family that this journal does not own.
func (j *Journal) AllDurable(root entity.ProgramID) bool {
	f := j.family(root)
	return f == nil || f.bufferedRecords() == 0
}
