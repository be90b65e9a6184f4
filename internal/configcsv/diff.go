package configcsv

import (
	"fmt"
	"io"

	"ibisstall.example/ibisstall/internal/entity"
)

// Op is how a row differs between two tables.
type Op string

// Values of Op.
const (
	OpAdd    Op = "add"
	OpRemove Op = "remove"
	OpChange Op = "change"
)

// Cell is a cell that differs. Before and After are its texts in CSV; an empty text
// means the default.
type Cell struct {
	Column string `json:"column"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Change is a row that differs. An added or removed row lists the cells that
// are not empty.
type Change struct {
	Op    Op             `json:"op"`
	Kind  entity.RowKind `json:"kind"`
	Name  string         `json:"name"`
	Cells []Cell         `json:"cells,omitempty"`
}

// Diff returns the rows that differ: first the changed and added rows in the
// order of after, then the removed rows in the order of before. The order of rows
// is not significant and not compared.
func Diff(before, after *entity.Config) []Change {
	var changes []Change
	for i := range after.Rows {
		r := &after.Rows[i]
		old := before.Row(r.Kind, r.Name)
		op := OpChange
		if old == nil {
			op, old = OpAdd, emptyRow(r)
		}
		cells := diffCells(old, r)
		if op == OpAdd || len(cells) > 0 {
			changes = append(changes, Change{op, r.Kind, r.Name, cells})
		}
	}
	for i := range before.Rows {
		r := &before.Rows[i]
		if after.Row(r.Kind, r.Name) == nil {
			changes = append(changes, Change{OpRemove, r.Kind, r.Name, diffCells(r, emptyRow(r))})
		}
	}
	return changes
}

// emptyRow returns a row with the kind and name of r and defaults otherwise.
func emptyRow(r *entity.ConfigRow) *entity.ConfigRow {
	return &entity.ConfigRow{Kind: r.Kind, Name: r.Name, Weight: 1}
}

func diffCells(before, after *entity.ConfigRow) []Cell {
	var cells []Cell
	for _, col := range columns {
		b, a := col.get(before), col.get(after)
		if b != a {
			cells = append(cells, Cell{col.name, b, a})
		}
	}
	return cells
}

// WriteChanges prints the changes, one per line.
func WriteChanges(w io.Writer, changes []Change) error {
	signs := map[Op]string{OpAdd: "+", OpRemove: "-", OpChange: "~"}
	for _, c := range changes {
		if _, err := fmt.Fprintf(w, "%s %s %q", signs[c.Op], c.Kind, c.Name); err != nil {
			return err
		}
		for _, cell := range c.Cells {
			if _, err := fmt.Fprintf(w, "  %s: %s -> %s", cell.Column, formatCell(cell.Before), formatCell(cell.After)); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return err
		}
	}
	return nil
}

func formatCell(text string) string {
	if text == "" {
		return "(default)"
	}
	return fmt.Sprintf("%q", text)
}
