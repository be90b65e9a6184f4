package table

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestTable_BehavesLikeAMap applies random changes to a table and to a map, and
// checks that they agree and that earlier snapshots never change.
func TestTable_BehavesLikeAMap(t *testing.T) {
	type view struct {
		snapshot Snapshot[int, string]
		want     map[int]string
	}
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		tab := New[int, string]()
		byRow := NewIndex(tab, func(v string) string { return v })
		model := make(map[int]string)
		var views []view
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := rapid.IntRange(0, 20).Draw(t, "key")
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0, 1:
				row := rapid.StringMatching("[a-c]").Draw(t, "row")
				tab.Put(key, row)
				model[key] = row
			case 2:
				_, had := model[key]
				is.Equal(tab.Delete(key), had)
				delete(model, key)
			default:
				views = append(views, view{tab.Snapshot(), clone(model)})
			}
		}
		views = append(views, view{tab.Snapshot(), model})
		for _, v := range views {
			is.Equal(v.snapshot.Len(), len(v.want))
			got := make(map[int]string)
			for k, row := range v.snapshot.All() {
				got[k] = row
			}
			is.Equal(got, v.want)
		}
		counts := make(map[string]int)
		for _, row := range model {
			counts[row]++
		}
		for _, row := range []string{"a", "b", "c"} {
			is.Equal(byRow.Count(row), counts[row])
			is.Equal(len(byRow.Keys(row)), counts[row])
		}
	})
}

func TestTable_UpdateReceivesTheRowAndIncrementsTheVersion(t *testing.T) {
	is := is.New(t)
	tab := New[string, int]()
	add := func(row int, found bool) int { return row + 1 }
	is.Equal(tab.Update("a", add), 1)
	is.Equal(tab.Update("a", add), 2)
	is.Equal(tab.Version(), uint64(2))
	row, found := tab.Get("a")
	is.True(found)
	is.Equal(row, 2)
}

func clone(m map[int]string) map[int]string {
	c := make(map[int]string, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}
