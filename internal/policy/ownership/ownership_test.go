package ownership

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/entity"
)

// init fixes the seed of property tests unless the command line sets another;
// -rapid.seed=0 draws a random one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var states = []entity.VMState{entity.VMAlive, entity.VMSuspect, entity.VMLeaving, entity.VMDead}

func anyView(t *rapid.T) []entity.VM {
	n := rapid.IntRange(1, 30).Draw(t, "VMs")
	view := make([]entity.VM, n)
	for i := range view {
		view[i] = entity.VM{
			ID: fmt.Sprintf("vm-%02d", i), DC: fmt.Sprintf("dc-%d", i%3), Region: "r",
			State:             rapid.SampledFrom(states).Draw(t, "state"),
			PlatformReachable: rapid.Bool().Draw(t, "reachable"),
		}
	}
	return view
}

func anyRoot(t *rapid.T) entity.ProgramID {
	return entity.NewProgramID("dc-0", rapid.StringMatching(`[a-z0-9]{1,12}`).Draw(t, "root"), "")
}

// Invariants: the owner doesn't depend on the order of the VMs in a view; it is in
// the home data centre and neither leaving nor dead; when another VM dies or joins,
// the owner stays, unless the joining VM becomes the owner.
func TestHomeDCOwner_OneOwnerPerViewAndMinimalMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view, root := anyView(t), anyRoot(t)
		owner, ok := HomeDCOwner(root, view)
		reversed := slices.Clone(view)
		slices.Reverse(reversed)
		if reversedOwner, okReversed := HomeDCOwner(root, reversed); okReversed != ok || reversedOwner.ID != owner.ID {
			t.Fatalf("owners %v and %v for the same VMs in different order", owner, reversedOwner)
		}
		if !ok {
			return
		}
		if owner.DC != "dc-0" || owner.State == entity.VMLeaving || owner.State == entity.VMDead {
			t.Fatalf("owner %+v is not an alive or suspect VM of dc-0", owner)
		}
		other := rapid.IntRange(0, len(view)-1).Draw(t, "other")
		if view[other].ID != owner.ID {
			view[other].State = entity.VMDead
			if after, _ := HomeDCOwner(root, view); after.ID != owner.ID {
				t.Fatalf("owner moved from %s to %s when %s died", owner.ID, after.ID, view[other].ID)
			}
		}
		withNewVM := append(slices.Clone(view), entity.VM{ID: "vm-new", DC: "dc-0", State: entity.VMAlive})
		if after, _ := HomeDCOwner(root, withNewVM); after.ID != owner.ID && after.ID != "vm-new" {
			t.Fatalf("owner moved from %s to %s when vm-new joined", owner.ID, after.ID)
		}
	})
}

// Invariant: whatever the views of the VMs, a forwarded call visits at most MaxHops
// VMs and none of them twice.
func TestRoute_IsLoopFreeUnderDifferingViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := make([]entity.VM, rapid.IntRange(2, 8).Draw(t, "VMs"))
		owners := make([]int, len(vms))
		local := make([]LocalState, len(vms))
		for i := range vms {
			vms[i] = entity.VM{ID: fmt.Sprint(i), State: rapid.SampledFrom(states[:3]).Draw(t, "state")}
			owners[i] = rapid.IntRange(0, len(vms)-1).Draw(t, "owner in its view")
			local[i] = LocalState{Loaded: rapid.Bool().Draw(t, "loaded"), Epoch: rapid.Uint64Max(3).Draw(t, "epoch")}
		}
		at, path := 0, Path{}
		visited := map[int]bool{}
		for {
			if visited[at] {
				t.Fatalf("VM %d visited twice", at)
			}
			visited[at] = true
			d := Route(vms[at], vms[owners[at]], true, local[at], path)
			if d.Action == Serve && local[at].Epoch < path.Epoch {
				t.Fatalf("served at epoch %d, below epoch %d of the call", local[at].Epoch, path.Epoch)
			}
			if d.Action != Forward {
				break
			}
			at, path = int(d.To.ID[0]-'0'), d.Path
		}
		if len(visited) > MaxHops {
			t.Fatalf("%d VMs visited", len(visited))
		}
	})
}

func TestRoute_Cases(t *testing.T) {
	self := entity.VM{ID: "self"}
	other := entity.VM{ID: "other"}
	leaving := entity.VM{ID: "self", State: entity.VMLeaving}
	cases := []struct {
		name  string
		self  entity.VM
		owner entity.VM
		owned bool
		local LocalState
		path  Path
		want  Action
	}{
		{"a VM with the loaded program serves even if its view names another owner", self, other, true, LocalState{true, 3}, Path{}, Serve},
		{"a former owner forwards a call with a higher epoch", self, other, true, LocalState{true, 3}, Path{Epoch: 4}, Forward},
		{"the owner in its own view adopts", self, self, true, LocalState{}, Path{Visited: []string{"front"}}, Adopt},
		{"a VM adopts when the owner in its view has forwarded the call", self, other, true, LocalState{}, Path{Visited: []string{"other"}}, Adopt},
		{"a leaving VM doesn't adopt when the owner in its view has forwarded the call", leaving, other, true, LocalState{}, Path{Visited: []string{"other"}}, Refuse},
		{"a call to a program without an owner is refused", self, entity.VM{}, false, LocalState{}, Path{}, Refuse},
		{"a call at the hop limit is refused", self, other, true, LocalState{}, Path{Visited: []string{"a", "b", "c"}}, Refuse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := Route(c.self, c.owner, c.owned, c.local, c.path)
			is.Equal(d.Action, c.want)
			if d.Action == Forward {
				is.Equal(d.To.ID, "other")
				is.Equal(d.Path.Epoch, uint64(4))
			}
		})
	}
}

func TestPlanHandOvers_AllOfALeavingVMAndNoneOfOthers(t *testing.T) {
	is := is.New(t)
	fleet := &Fleet{VMs: []entity.VM{
		{ID: "a", DC: "dc-0"}, {ID: "b", DC: "dc-0"}, {ID: "c", DC: "dc-0"}, {ID: "d", DC: "dc-1"},
	}}
	var owned []entity.ProgramID
	for i := range 300 {
		root := entity.NewProgramID("dc-0", fmt.Sprint(i), "")
		if owner, _ := fleet.Owner(root); owner.ID == "a" {
			owned = append(owned, root)
		}
	}
	is.True(len(owned) > 60 && len(owned) < 140)
	is.Equal(len(PlanHandOvers("a", owned, fleet)), 0)
	fleet.VMs[0].State = entity.VMLeaving
	handOvers := PlanHandOvers("a", owned, fleet)
	is.Equal(len(handOvers), len(owned))
	for _, h := range handOvers {
		is.True(h.To.ID == "b" || h.To.ID == "c")
	}
}

func TestFleet_OwnerIsElsewhereOnlyWhenTheHomeDataCentreIsAdoptableOrDrained(t *testing.T) {
	is := is.New(t)
	fleet := &Fleet{VMs: []entity.VM{
		{ID: "a", DC: "dc-0", Region: "r1", State: entity.VMDead}, {ID: "b", DC: "dc-1", Region: "r2"}, {ID: "c", DC: "dc-2", Region: "r1"},
	}}
	_, ok := fleet.Owner("dc-0.p")
	is.True(!ok) // dead in this view, but perhaps only partitioned
	fleet.AdoptableDCs = map[string]bool{"dc-0": true}
	vm, ok := fleet.Owner("dc-0.p")
	is.True(ok)
	is.Equal(vm.ID, "c") // in the same region
	fleet.AdoptableDCs["dc-2"] = true
	vm, _ = fleet.Owner("dc-0.p")
	is.Equal(vm.ID, "b")
	fleet.AdoptableDCs = nil
	fleet.VMs[0].State = entity.VMLeaving
	vm, _ = fleet.Owner("dc-0.p")
	is.Equal(vm.ID, "c")
}

func TestElectedPlatformVM_PrefersVMsThatReachThePlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := anyView(t)
		vm, ok := ElectedPlatformVM(RoleConfigPoller, "dc-1", view)
		anyReaches := slices.ContainsFunc(view, func(v entity.VM) bool {
			return v.DC == "dc-1" && v.PlatformReachable && mayOwn(&v)
		})
		if anyReaches && (!ok || !vm.PlatformReachable) {
			t.Fatalf("elected %+v, which doesn't reach the platform", vm)
		}
		anyLive := CountLiveVMs(view)["dc-1"] > 0
		if ok != anyLive {
			t.Fatalf("elected %v, any VM that isn't dead %v", ok, anyLive)
		}
	})
}

// Invariant: for all clock rates within the drift, there is no time at which both
// the isolated side may serve and another data centre may adopt.
func TestLimits_NoProgramIsAdoptedWhileStillServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{
			Isolation: time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "isolation")),
			Adoption:  time.Duration(rapid.Int64Range(1, int64(2*time.Hour)).Draw(t, "adoption")),
			Margin:    time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "margin")),
			Drift:     rapid.Float64Range(0, 0.05).Draw(t, "drift"),
		}
		if l.Validate() != nil {
			return
		}
		rate := func(name string) float64 { return 1 + l.Drift*rapid.Float64Range(-1, 1).Draw(t, name) }
		at := float64(rapid.Int64Range(0, int64(3*time.Hour)).Draw(t, "real time since the last contact"))
		earlier := at + float64(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "the other contact was earlier by"))
		own, other := rate("own rate"), rate("other rate")
		clockTime := func(at, rate float64) time.Duration { return time.Duration(at * rate) }
		serves := MayServe(false, DCContact{SinceLeaseRenewal: clockTime(at, own), SinceOthersReached: clockTime(earlier, own)}, l)
		evidence := DCEvidence{LeaseUnchangedFor: clockTime(at, other), UnreachedFor: clockTime(earlier, other), LeaseReadable: true}
		if serves && DecideAdoption(evidence, l) == Adoptable {
			t.Fatalf("served and adopted %s after the last contact", time.Duration(at))
		}
	})
}

func TestDecideAdoption_Verdicts(t *testing.T) {
	l := DefaultLimits()
	is.New(t).NoErr(l.Validate())
	cases := []struct {
		name string
		e    DCEvidence
		want AdoptionVerdict
	}{
		{"a reachable data centre keeps its programs", DCEvidence{LeaseUnchangedFor: time.Hour, LeaseReadable: true}, StillReached},
		{"an unreadable lease is no evidence", DCEvidence{LeaseUnchangedFor: time.Hour, UnreachedFor: time.Hour}, LeaseUnreadable},
		{"a recently renewed lease prevents adoption", DCEvidence{LeaseUnchangedFor: l.Isolation, UnreachedFor: time.Hour, LeaseReadable: true}, LeaseNotLapsed},
		{"a recently reached data centre keeps its programs", DCEvidence{LeaseUnchangedFor: time.Hour, UnreachedFor: l.Isolation, LeaseReadable: true}, LeaseNotLapsed},
		{"programs are adopted after the lease has lapsed", DCEvidence{LeaseUnchangedFor: l.Adoption, UnreachedFor: l.Adoption, LeaseReadable: true}, Adoptable},
		{"programs are adopted at once after the lease was released", DCEvidence{UnreachedFor: 1, LeaseReadable: true, LeaseReleased: true}, Adoptable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(DecideAdoption(c.e, l), c.want) })
	}
	is.New(t).True(MayServe(true, DCContact{SinceLeaseRenewal: time.Hour, SinceOthersReached: time.Hour}, l))
	is.New(t).True((Limits{Isolation: time.Minute, Adoption: time.Minute}).Validate() == nil)
	is.New(t).True((Limits{Isolation: time.Minute, Adoption: time.Minute, Margin: 1}).Validate() != nil)
}
