package queue

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/limits"
)

// table returns an operators' table with one workspace row.
func table(row entity.ConfigRow) *entity.Config {
	row.Kind, row.Name, row.Weight = entity.RowWorkspace, "w", 1
	return &entity.Config{Rows: []entity.ConfigRow{row}}
}

func TestWorkspaceLimiter_VMsTogetherEnforceAWorkspacesLimits(t *testing.T) {
	demands := []limits.Demand{{VM: "a", Calls: 30}, {VM: "b", Calls: 10}, {VM: "c", Calls: 0}}
	cases := []struct {
		name  string
		row   entity.ConfigRow
		limit int
	}{
		{"calls in flight", entity.ConfigRow{MaxConcurrent: 20}, 20},
		{"calls per second, with a burst of one second", entity.ConfigRow{RatePerSecond: 20}, 20},
		{"no limit", entity.ConfigRow{}, 300},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			admitted := 0
			for _, vm := range demands {
				l := newWorkspaceLimiter(vm.VM, func(string) (rates, running []limits.Demand) { return demands, demands })
				l.configure(table(c.row))
				for range 100 {
					err := l.admit("w", start)
					if err == nil {
						admitted++
						continue
					}
					var overload *OverloadError
					is.True(errors.As(err, &overload))
					is.True(overload.RetryAfter > 0)
				}
			}
			is.True(admitted <= c.limit)
			is.True(admitted > c.limit/2) // the limit is not far below the configured one
		})
	}
}

func TestWorkspaceLimiter_AdmitsAgainAfterRetryAfter(t *testing.T) {
	is := is.New(t)
	l := newWorkspaceLimiter("a", nil)
	l.configure(table(entity.ConfigRow{RatePerSecond: 2}))
	is.NoErr(l.admit("w", start))
	is.NoErr(l.admit("w", start))
	err := l.admit("w", start)
	var overload *OverloadError
	is.True(errors.As(err, &overload))
	is.NoErr(l.admit("w", start.Add(overload.RetryAfter))) // at the retry-after time
	is.True(l.admit("w", start.Add(overload.RetryAfter+time.Millisecond)) != nil)
}

func TestWorkspaceLimiter_FairShareRatioIsByWeight(t *testing.T) {
	is := is.New(t)
	l := newWorkspaceLimiter("a", nil)
	l.configure(&entity.Config{Rows: []entity.ConfigRow{
		{Kind: entity.RowWorkspace, Name: "heavy", Weight: 3},
		{Kind: entity.RowWorkspace, Name: "light", Weight: 1},
	}})
	for _, w := range []string{"heavy", "light"} {
		is.NoErr(l.admit(w, start))
		l.addCost(w, 100)
	}
	is.Equal(l.fairShareRatio("heavy"), 100.0/200*4/3)
	is.Equal(l.fairShareRatio("light"), 100.0/200*4/1)
	l.release("light", 100)
	is.Equal(l.fairShareRatio("heavy"), 0.0) // alone, a workspace is never over its share
}
