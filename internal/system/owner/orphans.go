package owner

import (
	"context"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/system/journal"
	"ibisstall.example/ibisstall/internal/timeline"
)

// AdoptOrphans adopts the active programs of this VM's data centre that belong
// here and whose owner is gone, without waiting for their next request: their
// time budgets end and their KV cache is released in time. It returns the
// number of families adopted.
func (o *Owner) AdoptOrphans(ctx context.Context, table platform.Table, dc string) (int, error) {
	adopted := 0
	var after entity.ProgramID
	for {
		rows, err := journal.ListPrograms(ctx, table, dc, after, platform.MaxScanRows)
		if err != nil {
			return adopted, err
		}
		adopted += o.adoptAll(ctx, o.orphaned(rows))
		if len(rows) < platform.MaxScanRows {
			return adopted, nil
		}
		after = rows[len(rows)-1].ID
	}
}

// orphaned picks the root programs that this VM should adopt.
func (o *Owner) orphaned(rows []*entity.Program) []entity.ProgramID {
	var roots []entity.ProgramID
	for _, p := range rows {
		if !p.ID.IsRoot() || p.State != entity.ProgramActive {
			continue
		}
		if _, alive := o.o.VM(p.Owner); alive {
			continue
		}
		if vm, ok := o.o.Place(p.ID); ok && vm.ID == o.o.Self {
			roots = append(roots, p.ID)
		}
	}
	return roots
}

// adoptAll adopts families in one batch.
func (o *Owner) adoptAll(ctx context.Context, roots []entity.ProgramID) int {
	var claimed []*family
	var ids []entity.ProgramID
	for _, root := range roots {
		f, load, err := o.claim(root)
		if err == nil && load {
			claimed = append(claimed, f)
			ids = append(ids, root)
		}
	}
	if len(ids) == 0 {
		return 0
	}
	adopted := 0
	for i, a := range o.o.Journal.Adopt(ctx, ids, o.o.Self) {
		f := claimed[i]
		if a.Err == nil {
			f.loadFamily(a.Family)
			adopted++
			o.record(timeline.Event{Kind: timeline.ProgramAdopted, Program: f.root})
		} else {
			f.loadErr = a.Err
			o.forget(f)
		}
		close(f.loaded)
	}
	return adopted
}
