package vm

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/system/journal"
)

// programTable is a table of program rows sorted by id that counts its scans.
type programTable struct {
	platform.Table
	rows  []platform.Row
	scans int
}

func (f *programTable) Scan(_ context.Context, _, _, after string, limit int) ([]platform.Row, error) {
	f.scans++
	var out []platform.Row
	for _, r := range f.rows {
		if r.Key.ID > after && len(out) < limit {
			out = append(out, r)
		}
	}
	return out, nil
}

func newProgramTable(t *testing.T, workspaces []string, each int) *programTable {
	t.Helper()
	f := &programTable{}
	for _, dc := range []string{"stgo", "stgo-sur", "valpo"} {
		for _, w := range workspaces {
			for i := range each {
				p := &entity.Program{ID: entity.RootIDFor(dc, w, fmt.Sprint(i)), Workspace: w, State: entity.ProgramActive}
				value, err := json.Marshal(p)
				if err != nil {
					t.Fatal(err)
				}
				f.rows = append(f.rows, platform.Row{Key: platform.Key{Table: journal.TablePrograms, ID: string(p.ID)}, Value: value, Version: 1})
			}
		}
	}
	slices.SortFunc(f.rows, func(a, b platform.Row) int { return cmp.Compare(a.Key.ID, b.Key.ID) })
	return f
}

func TestProgramLister_PagesOfOneWorkspaceAreFullUntilTheLast(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprintf("ws%d", i))
	}
	table := newProgramTable(t, names, 7)
	for _, name := range names {
		table.scans = 0
		seen := make(map[entity.ProgramID]bool)
		var after entity.ProgramID
		var sizes []int
		for {
			page, err := programLister{table}.List(t.Context(), "", name, after, 5)
			is.NoErr(err)
			sizes = append(sizes, len(page))
			for _, p := range page {
				is.Equal(p.Workspace, name)
				seen[p.ID] = true
			}
			if len(page) < 5 {
				break
			}
			after = page[len(page)-1].ID
		}
		is.Equal(sizes, []int{5, 5, 5, 5, 1}) // 3 data centres with 7 programs each
		is.Equal(len(seen), 21)
		is.True(table.scans <= 20) // scanning all 840 rows in pages of 5 would take 168
	}
}

func TestProgramLister_ListsAllWorkspacesForAnOperator(t *testing.T) {
	is := is.New(t)
	table := newProgramTable(t, []string{"a", "b"}, 3)
	page, err := programLister{table}.List(t.Context(), "", "", "", 100)
	is.NoErr(err)
	is.Equal(len(page), 18)
}
