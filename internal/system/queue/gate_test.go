package queue

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/limits"
)

// table is a configuration with one workspace row.
func table(row entity.ConfigRow) *entity.Config {
	row.Kind, row.Name, row.Weight = entity.RowWorkspace, "w", 1
	return &entity.Config{Rows: []entity.ConfigRow{row}}
}

func TestGate_VMsTogetherKeepAWorkspacesLimits(t *testing.T) {
	shares := []limits.Demand{{VM: "a", Calls: 30}, {VM: "b", Calls: 10}, {VM: "c", Calls: 0}}
	cases := []struct {
		name string
		row  entity.ConfigRow
		most int
	}{
		{"calls under way", entity.ConfigRow{MaxConcurrent: 20}, 20},
		{"calls a second, with a burst of a second", entity.ConfigRow{RatePerSecond: 20}, 20},
		{"no limit", entity.ConfigRow{}, 300},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			admitted := 0
			for _, vm := range shares {
				g := newGate(vm.VM, func(string) (rates, running []limits.Demand) { return shares, shares })
				g.set(table(c.row))
				for range 100 {
					err := g.enter("w", start)
					if err == nil {
						admitted++
						continue
					}
					var overload *OverloadError
					is.True(errors.As(err, &overload))
					is.True(overload.RetryAfter > 0)
				}
			}
			is.True(admitted <= c.most)
			is.True(admitted > c.most/2) // the limit is of use
		})
	}
}

func TestGate_RateComesBackWithTime(t *testing.T) {
	is := is.New(t)
	g := newGate("a", nil)
	g.set(table(entity.ConfigRow{RatePerSecond: 2}))
	is.NoErr(g.enter("w", start))
	is.NoErr(g.enter("w", start))
	err := g.enter("w", start)
	var overload *OverloadError
	is.True(errors.As(err, &overload))
	is.NoErr(g.enter("w", start.Add(overload.RetryAfter))) // when it said to come back
	is.True(g.enter("w", start.Add(overload.RetryAfter+time.Millisecond)) != nil)
}

func TestGate_ShareIsByWeight(t *testing.T) {
	is := is.New(t)
	g := newGate("a", nil)
	g.set(&entity.Config{Rows: []entity.ConfigRow{
		{Kind: entity.RowWorkspace, Name: "heavy", Weight: 3},
		{Kind: entity.RowWorkspace, Name: "light", Weight: 1},
	}})
	for _, w := range []string{"heavy", "light"} {
		is.NoErr(g.enter(w, start))
		g.charge(w, 100)
	}
	is.Equal(g.share("heavy"), 100.0/200*4/3)
	is.Equal(g.share("light"), 100.0/200*4/1)
	g.leave("light", 100)
	is.Equal(g.share("heavy"), 0.0) // alone, a workspace is never over its share
}
