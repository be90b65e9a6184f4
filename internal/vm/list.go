package vm

import (
	"context"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/system/journal"
)

// programLister lists the programs stored in the platform.
type programLister struct{ table platform.Table }

// List implements front.Lister. It returns fewer programs than limit only on
// the last page.
func (l programLister) List(ctx context.Context, dc, workspace string, after entity.ProgramID, limit int) ([]*entity.Program, error) {
	var out []*entity.Program
	for {
		if workspace != "" {
			after = skipOtherWorkspaces(after, workspace)
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

// skipOtherWorkspaces advances a scan position past ids that can't belong to
// the workspace: within a data centre, those before and after the ids with the
// workspace's tag. A page then costs a few reads for each data centre, however
// many programs other workspaces have.
func skipOtherWorkspaces(after entity.ProgramID, workspace string) entity.ProgramID {
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
		return entity.ProgramID(after.DC() + "/") // '/' sorts after '.', so this is above all ids that start with "dc."
	}
}
