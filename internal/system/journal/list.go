package journal

import (
	"context"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// ListPrograms reads at most limit program rows in the order of their ids,
// starting after an id. An empty dc selects all data centres. It reads from the
// platform only.
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

// RootRowStored reports whether the platform has, or may have, the root row of an
// owned family, so that other VMs can find the family.
func (j *Journal) RootRowStored(root entity.ProgramID) bool {
	f := j.family(root)
	if f == nil {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[root].version > 0 || f.unresolved != nil // the unresolved transaction may have written it
}

// AllDurable reports whether a family has no buffered records.
func (j *Journal) AllDurable(root entity.ProgramID) bool {
	f := j.family(root)
	return f == nil || f.bufferedRecords() == 0
}
