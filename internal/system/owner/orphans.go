package owner

import (
	"context"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/system/journal"
	"ibisstall.example/ibisstall/internal/timeline"
)

// AdoptOrphans adopts the active programs of a data centre that are assigned to
// this VM and whose owner is dead. It does not wait for their next requests,
// because until a program is adopted, it does not expire and its KV cache is not
// released. It returns the number of families adopted.
func (o *Owner) AdoptOrphans(ctx context.Context, table platform.Table, dc string) (int, error) {
	adopted := 0
	var after entity.ProgramID
	for {
		rows, err := journal.ListPrograms(ctx, table, dc, after, platform.MaxScanRows)
		if err != nil {
			return adopted, err
		}
		adopted += o.adoptBatch(ctx, o.orphanedRoots(rows))
		if len(rows) < platform.MaxScanRows {
			return adopted, nil
		}
		after = rows[len(rows)-1].ID
	}
}

// orphanedRoots returns the root programs among the rows that this VM should
// adopt.
func (o *Owner) orphanedRoots(rows []*entity.Program) []entity.ProgramID {
	var roots []entity.ProgramID
	for _, p := range rows {
		if !p.ID.IsRoot() || p.State != entity.ProgramActive {
			continue
		}
		if _, alive := o.options.LiveVM(p.Owner); alive {
			continue
		}
		if vm, ok := o.options.AssignedOwner(p.ID); ok && vm.ID == o.options.Self {
			roots = append(roots, p.ID)
		}
	}
	return roots
}

// adoptBatch adopts families in one batch and returns the number adopted.
func (o *Owner) adoptBatch(ctx context.Context, roots []entity.ProgramID) int {
	var families []*family
	var ids []entity.ProgramID
	for _, root := range roots {
		f, inserted, err := o.findOrInsert(root)
		if err == nil && inserted {
			families = append(families, f)
			ids = append(ids, root)
		}
	}
	if len(ids) == 0 {
		return 0
	}
	adopted := 0
	for i, a := range o.options.Journal.Adopt(ctx, ids, o.options.Self) {
		f := families[i]
		if a.Err == nil {
			f.setFamilyRows(a.Family)
			adopted++
			o.record(timeline.Event{Kind: timeline.ProgramAdopted, Program: f.root})
		} else {
			f.loadErr = a.Err
			o.unload(f)
		}
		close(f.loaded)
	}
	return adopted
}
