package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestScheduler_PinnedRequestsUseOnlyEndpointsOfTheirSoftwareVersion(t *testing.T) {
	is := is.New(t)
	list := engines(3, 1)
	list[0].SoftwareVersion, list[1].SoftwareVersion, list[2].SoftwareVersion = "v1", "v2", "v2"
	s, c := newTestScheduler(0, 0)
	s.SetEndpoints(list, nil)
	pinned := plainCall()
	pinned.Pinned, pinned.SoftwareVersion = true, "v1"
	first := s.Submit(pinned)
	is.Equal(first.Endpoint, "a")
	is.Equal(first.SoftwareVersion, "v1")
	waiting := s.Submit(pinned)
	is.Equal(waiting.State, Queued) // although others are free
	s.Release(SlotRelease{Ticket: first.Ticket, Result: Completed})
	is.Equal(s.Poll(waiting.Ticket).Endpoint, "a")

	t.Run("an endpoint whose process has ended has no known version until its new entry is read", func(t *testing.T) {
		is := is.New(t)
		c.now += ms
		s.Release(SlotRelease{Ticket: waiting.Ticket, Result: Unreachable, Loss: Ended})
		c.now += maxBackoff
		is.Equal(s.Submit(pinned).State, Refused)
		plain := plainCall()
		plain.Avoid = []string{"b", "c"}
		unknown := s.Submit(plain)
		is.Equal(unknown.Endpoint, "a")
		is.Equal(unknown.SoftwareVersion, "")
		list[0].StartedUnixMilli, list[0].SoftwareVersion = 5, "v1"
		s.SetEndpoints(list, nil)
		is.Equal(s.Submit(pinned).Endpoint, "a")
	})
	t.Run("one that is still listed long after has not ended", func(t *testing.T) {
		is := is.New(t)
		e := s.pools["model"].endpoints["a"]
		e.ended, e.endedAt = true, c.now
		s.SetOutdated(true)
		c.now += 2 * endedEntryTime
		s.Tick()
		is.Equal(e.softwareVersion(), "") // the list may be old
		s.SetOutdated(false)
		s.Tick()
		is.Equal(e.softwareVersion(), "v1")
	})
	t.Run("a request whose version has left is refused at once", func(t *testing.T) {
		is := is.New(t)
		pinned.SoftwareVersion = "v0"
		resp := s.Submit(pinned)
		is.Equal(resp.State, Refused)
		is.Equal(resp.Reason, reasonNoEndpoint)
	})
}

func TestDirectory_WitnessesAreFoundFromEveryVM(t *testing.T) {
	is := is.New(t)
	var all []VM
	for i := range 12 {
		all = append(all, VM{Name: fmt.Sprint("vm-", i), Address: fmt.Sprint("vm-", i), DC: fmt.Sprint("dc-", i%3)})
	}
	asked := func(d *Directory, key string) map[string]bool {
		set := make(map[string]bool)
		for _, dc := range d.Witnesses(key) {
			is.True(len(dc) <= rankedPerDC)
			for _, address := range dc {
				set[address] = true
			}
		}
		return set
	}
	for i := range all {
		for j := range all {
			recording, asking := &Directory{Self: all[i]}, &Directory{Self: all[j]}
			recording.Replace(all)
			asking.Replace(all)
			is.Equal(recording.Size(), len(all))
			told := recording.Witnesses("key")
			is.Equal(all[i].DC, recording.dcOf(told[0][0])) // the own data centre first
			for _, dc := range told {
				is.True(dc[0] == asking.Self.Address || asked(asking, "key")[dc[0]])
			}
		}
	}
}

// dcOf returns the data centre of the VM at an address.
func (d *Directory) dcOf(address string) string {
	for _, vm := range d.vms {
		if vm.Address == address {
			return vm.DC
		}
	}
	return ""
}

// A request may be refused for good only if it is too large for each VM, also for one that may be
// back soon, and if all of them tell.
func TestDirectory_LargestRequestOfAnyVM(t *testing.T) {
	is := is.New(t)
	d := &Directory{Self: VM{Name: "self", LargestRequest: 10}}
	is.Equal(d.LargestRequest(), int64(10))
	d.Replace([]VM{{Name: "self"}, {Name: "a", LargestRequest: 30}, {Name: "b", LargestRequest: 20}})
	is.Equal(d.LargestRequest(), int64(30))
	d.Update(nil, []string{"a"})
	is.Equal(d.LargestRequest(), int64(30))
	d.Update([]VM{{Name: "earlier-release"}}, nil)
	is.Equal(d.LargestRequest(), int64(0))
	d.Update([]VM{{Name: "earlier-release", LargestRequest: 40}}, nil) // it was updated
	is.Equal(d.LargestRequest(), int64(40))
	is.Equal((&Directory{}).LargestRequest(), int64(0))
}
