package tokenbudget

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// keptBy returns the VMs that keep the bucket of a name.
func keptBy(name string, vms ...*testVM) (list []string) {
	for _, vm := range vms {
		if _, ok := vm.quotas.KeptSince(name); ok {
			list = append(list, vm.name)
		}
	}
	return list
}

func TestKeptSince_OneProcessOfADataCentreKeepsABucket(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "dc-1", "dc-2")
	a, b, other := f.start("a", "dc-1"), f.start("b", "dc-1"), f.start("c", "dc-2")
	is.Equal(len(keptBy("w", a, b)), 0)
	f.assignKeepers()
	first := keptBy("w", a, b)
	is.Equal(len(first), 1)
	is.Equal(keptBy("w", other), []string{"c"})
	keeper := f.vms[first[0]]
	since, _ := keeper.quotas.KeptSince("w")
	is.Equal(other.quotas.Recorded("w", "dc-1"), keeper.process)
	is.Equal(other.quotas.Candidates("w", "dc-1")[0], keeper.process)

	f.kill(keeper)
	next := f.start(keeper.name, "dc-1")
	f.assignKeepers()
	is.Equal(keptBy("w", next), []string{next.name}) // at once
	later, _ := next.quotas.KeptSince("w")
	is.True(later > since)
	f.assignKeepers()
	again, _ := next.quotas.KeptSince("w")
	is.Equal(again, later)
}

// While the table service is away another VM may claim the bucket of a keeper that has left:
// the VM that accepted it doesn't count as its keeper until its row says so.
func TestKeptSince_AcceptedBucketCountsOnceItIsRecorded(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "dc-1")
	a, b := f.start("a", "dc-1"), f.start("b", "dc-1")
	f.assignKeepers()
	from, to := f.vms[keptBy("w", a, b)[0]], a
	if from == a {
		to = b
	}
	accepted := 0
	to.quotas.OnAccept = func() { accepted++ }
	f.store.setDown(true)
	from.quotas.HandOverBuckets(context.Background())
	is.True(accepted > 0)
	is.Equal(len(keptBy("w", a, b)), 0)
	to.quotas.ClaimBuckets(context.Background())
	is.Equal(len(keptBy("w", a, b)), 0)
	f.store.setDown(false)
	to.quotas.ClaimBuckets(context.Background())
	is.Equal(keptBy("w", a, b), []string{to.name})
}
