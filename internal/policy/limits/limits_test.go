package limits

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func demandsOf(t *rapid.T, label string, vms int) []Demand {
	demands := make([]Demand, vms)
	for i := range demands {
		demands[i] = Demand{VM: fmt.Sprint("vm", i), Calls: rapid.Float64Range(0, 100).Draw(t, label)}
	}
	return demands
}

func TestSplit_PartsAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		vms := rapid.IntRange(1, 30).Draw(t, "vms")
		limit := rapid.IntRange(0, 500).Draw(t, "limit")
		demands := demandsOf(t, "demand", vms)
		var sum float64
		integerSum := 0
		for _, d := range demands {
			sum += Split(float64(limit), demands, d.VM)
			integerSum += SplitInteger(limit, "couples", demands, d.VM)
		}
		is.True(math.Abs(sum-float64(limit)) < 1e-6)
		is.Equal(integerSum, limit)
	})
}

func TestSplit_DifferingDemandsStayBelowTwiceTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		vms := rapid.IntRange(2, 30).Draw(t, "vms")
		before, after := demandsOf(t, "before", vms), demandsOf(t, "after", vms)
		var sum float64
		for i := range vms {
			view := before
			if rapid.Bool().Draw(t, "new view") {
				view = after
			}
			sum += Split(100, view, before[i].VM)
		}
		is.True(sum < 2*100)
	})
}

func TestRetryBudget_BoundsRetriesToAShareOfTheCalls(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(0.1, 10)
	allowed := 0
	for range 1000 { // every call fails and is retried up to three times
		b = b.RecordCall()
		for range 3 {
			next, ok := b.AllowRetry()
			b = next
			if ok {
				allowed++
			}
		}
	}
	is.True(allowed <= 1000/10+10)
	is.True(allowed >= 1000/10)
}
