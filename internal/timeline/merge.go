package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of several VMs in causal order: an event that may have
// caused another one precedes it, because the receiver of a message observes the
// sender's stamp and its later stamps are greater. Events with equal stamps are
// causally independent and are ordered by VM. An event that several lists contain
// is returned once. The lists are not modified.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compareEvents)
	return slices.Compact(merged)
}

// compareEvents orders events by stamp, then by VM. A VM never uses a stamp twice;
// the other fields are compared so that only identical events compare equal.
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
