package vm

import (
	"context"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/system/journal"
)

// lister lists programs from the platform.
type lister struct{ table platform.Table }

// List implements front.Lister. A page is short only if no more follow.
func (l lister) List(ctx context.Context, dc, workspace string, after entity.ProgramID, limit int) ([]*entity.Program, error) {
	var out []*entity.Program
	for {
		if workspace != "" {
			after = skipOthers(after, workspace)
		}
		rows, err := journal.ListPrograms(ctx, l.table, dc, after, min(limit, platform.MaxScanRows))
		if err != nil {
			return nil, err
		}
		for _, p := range rows {
			if workspace != "" && p.Workspace != workspace {
				continue
			}
			if out = append(out, p); len(out) == limit {
				return out, nil
			}
		}
		if len(rows) < min(limit, platform.MaxScanRows) {
			return out, nil
		}
		after = rows[len(rows)-1].ID
	}
}

// skipOthers moves a position in the order of ids past ids that can't be of
// the workspace: those of its data centre before the workspace's tag, and
// those behind it. So a page costs a few reads for each data centre, however
// many programs others have.
func skipOthers(after entity.ProgramID, workspace string) entity.ProgramID {
	if after == "" {
		return after
	}
	first := entity.NewProgramID(after.DC(), entity.WorkspaceTag(workspace), "")
	switch {
	case after < first:
		return first
	case after.MayBelongTo(workspace):
		return after
	default:
		return entity.ProgramID(after.DC() + "/") // above all "dc." ids
	}
}
