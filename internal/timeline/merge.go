package timeline

import (
	"cmp"
	"slices"
)

// Merge puts the events of several VMs into one order: an event that could
// have caused another comes before it, since the stamps of hybrid logical
// clocks rise along every message. Events with equal stamps are independent of
// each other and are ordered by VM. An event that stands in several lists is
// kept once. The lists are left as they are.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compareEvents)
	return slices.Compact(merged)
}

// compareEvents orders events by stamp, then by VM. One VM never gives a stamp
// twice, so that equal events only are equal.
func compareEvents(a, b Event) int {
	return cmp.Or(
		a.Stamp.Compare(b.Stamp),
		cmp.Compare(a.VM, b.VM),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Program, b.Program),
		cmp.Compare(a.Request, b.Request),
		cmp.Compare(a.Endpoint, b.Endpoint),
		cmp.Compare(a.Detail, b.Detail),
	)
}
