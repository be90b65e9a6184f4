package journal

import (
	"context"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// ListPrograms reads program rows in order of id, at most limit from after an id on;
// of one data centre, or of all if dc is empty. It reads the platform only.
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

// RootRowStored reports whether the platform has an owned family's root row, so
// that others can know of the family.
func (j *Journal) RootRowStored(root entity.ProgramID) bool {
	f := j.family(root)
	if f == nil {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[root].version > 0 || f.pending != nil // a lost answer may have written it
}

// AllDurable reports whether none of a family's records wait for the platform.
func (j *Journal) AllDurable(root entity.ProgramID) bool {
	f := j.family(root)
	return f == nil || f.bufferedRecords() == 0
}
