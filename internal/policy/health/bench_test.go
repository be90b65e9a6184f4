package health

import (
	"testing"
	"time"
)

// BenchmarkDecide decides on the 170 endpoints of a data centre.
func BenchmarkDecide(b *testing.B) {
	members := group(make([]Stats, 170)...)
	for i := range members {
		members[i].Stats = well
	}
	views := Decide(start, DefaultParams(), nil, members)
	for i := range b.N {
		views = Decide(start.Add(time.Duration(i)*time.Second), DefaultParams(), views, members)
	}
}
