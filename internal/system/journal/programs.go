package journal

import (
	"context"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// maxProgramKeys bounds the number of program rows in one read.
const maxProgramKeys = 1000

// ReadPrograms reads program rows by id, in one read for each maxProgramKeys ids.
// Programs without a row are omitted. Changes that a journal still buffers are not
// included. After an error the result contains the programs read so far.
func ReadPrograms(ctx context.Context, table platform.Table, ids []entity.ProgramID) (map[entity.ProgramID]*entity.Program, error) {
	out := make(map[entity.ProgramID]*entity.Program, len(ids))
	for len(ids) > 0 {
		n := min(maxProgramKeys, len(ids))
		if err := readProgramChunk(ctx, table, ids[:n], out); err != nil {
			return out, err
		}
		ids = ids[n:]
	}
	return out, nil
}

func readProgramChunk(ctx context.Context, table platform.Table, ids []entity.ProgramID, out map[entity.ProgramID]*entity.Program) error {
	keys := make([]platform.Key, len(ids))
	for i, id := range ids {
		keys[i] = ProgramKey(id)
	}
	rows, err := table.Get(ctx, keys)
	if err != nil {
		return readError("programs", err)
	}
	for _, r := range rows {
		if r.Version == 0 {
			continue
		}
		p, err := decodeProgram(r)
		if err != nil {
			return err
		}
		out[p.ID] = p
	}
	return nil
}
