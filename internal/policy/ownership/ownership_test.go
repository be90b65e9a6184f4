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

// Properties are checked with a fixed seed unless the command line names
// another; -rapid.seed=0 draws one.
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

// Invariants: equal sets of VMs give one owner whatever their order; the owner
// is in the home data centre and neither leaving nor dead; when a VM that is
// not the owner dies or joins, the owner stays unless the joiner takes it.
func TestOwner_OneOwnerPerViewAndMinimalMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view, root := anyView(t), anyRoot(t)
		owner, ok := HomeDCOwner(root, view)
		shuffled := slices.Clone(view)
		slices.Reverse(shuffled)
		if again, okAgain := HomeDCOwner(root, shuffled); okAgain != ok || again.ID != owner.ID {
			t.Fatalf("owners %v and %v for one set", owner, again)
		}
		if !ok {
			return
		}
		if owner.DC != "dc-0" || owner.State == entity.VMLeaving || owner.State == entity.VMDead {
			t.Fatalf("owner %+v", owner)
		}
		other := rapid.IntRange(0, len(view)-1).Draw(t, "other")
		if view[other].ID != owner.ID {
			view[other].State = entity.VMDead
			if after, _ := HomeDCOwner(root, view); after.ID != owner.ID {
				t.Fatalf("owner moved from %s to %s as %s died", owner.ID, after.ID, view[other].ID)
			}
		}
		joined := append(slices.Clone(view), entity.VM{ID: "vm-new", DC: "dc-0", State: entity.VMAlive})
		if after, _ := HomeDCOwner(root, joined); after.ID != owner.ID && after.ID != "vm-new" {
			t.Fatalf("owner moved from %s to %s as vm-new joined", owner.ID, after.ID)
		}
	})
}

// Invariant: calls that are forwarded by VMs with any views end, within MaxHops
// VMs, and visit no VM twice.
func TestRoute_IsLoopFreeUnderDifferingViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := make([]entity.VM, rapid.IntRange(2, 8).Draw(t, "VMs"))
		owners := make([]int, len(vms))
		held := make([]LocalState, len(vms))
		for i := range vms {
			vms[i] = entity.VM{ID: fmt.Sprint(i), State: rapid.SampledFrom(states[:3]).Draw(t, "state")}
			owners[i] = rapid.IntRange(0, len(vms)-1).Draw(t, "owner by its view")
			held[i] = LocalState{Loaded: rapid.Bool().Draw(t, "holds"), Epoch: rapid.Uint64Max(3).Draw(t, "epoch")}
		}
		at, hop := 0, Path{}
		visited := map[int]bool{}
		for {
			if visited[at] {
				t.Fatalf("VM %d visited twice", at)
			}
			visited[at] = true
			d := Route(vms[at], vms[owners[at]], true, held[at], hop)
			if d.Action == Serve && held[at].Epoch < hop.Epoch {
				t.Fatalf("served at epoch %d, the call knows %d", held[at].Epoch, hop.Epoch)
			}
			if d.Action != Forward {
				break
			}
			at, hop = int(d.To.ID[0]-'0'), d.Path
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
		held  LocalState
		hop   Path
		want  Action
	}{
		{"a holder serves even if its view names another", self, other, true, LocalState{true, 3}, Path{}, Serve},
		{"a former holder passes on a call that knows a higher epoch", self, other, true, LocalState{true, 3}, Path{Epoch: 4}, Forward},
		{"the owner by its own view adopts", self, self, true, LocalState{}, Path{Visited: []string{"front"}}, Adopt},
		{"a VM named by one that its view names adopts", self, other, true, LocalState{}, Path{Visited: []string{"other"}}, Adopt},
		{"a leaving VM adopts nothing by hearsay", leaving, other, true, LocalState{}, Path{Visited: []string{"other"}}, Refuse},
		{"nobody owns it", self, entity.VM{}, false, LocalState{}, Path{}, Refuse},
		{"the hop limit refuses", self, other, true, LocalState{}, Path{Visited: []string{"a", "b", "c"}}, Refuse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := Route(c.self, c.owner, c.owned, c.held, c.hop)
			is.Equal(d.Action, c.want)
			if d.Action == Forward {
				is.Equal(d.To.ID, "other")
				is.Equal(d.Path.Epoch, uint64(4))
			}
		})
	}
}

func TestPlan_LeavingVMHandsAllOverAndOthersKeepTheirs(t *testing.T) {
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
	moves := PlanHandOvers("a", owned, fleet)
	is.Equal(len(moves), len(owned))
	for _, m := range moves {
		is.True(m.To.ID == "b" || m.To.ID == "c")
	}
}

func TestFleet_FallsBackOnlyWhenTheHomeDataCentreIsGoneOrDrained(t *testing.T) {
	is := is.New(t)
	fleet := &Fleet{VMs: []entity.VM{
		{ID: "a", DC: "dc-0", Region: "r1", State: entity.VMDead}, {ID: "b", DC: "dc-1", Region: "r2"}, {ID: "c", DC: "dc-2", Region: "r1"},
	}}
	_, ok := fleet.Owner("dc-0.p")
	is.True(!ok) // dead here, but it may only be cut off
	fleet.AdoptableDCs = map[string]bool{"dc-0": true}
	vm, ok := fleet.Owner("dc-0.p")
	is.True(ok)
	is.Equal(vm.ID, "c") // of the same region
	fleet.AdoptableDCs["dc-2"] = true
	vm, _ = fleet.Owner("dc-0.p")
	is.Equal(vm.ID, "b")
	fleet.AdoptableDCs = nil
	fleet.VMs[0].State = entity.VMLeaving
	vm, _ = fleet.Owner("dc-0.p")
	is.Equal(vm.ID, "c")
}

func TestPlatformRole_PrefersVMsThatReachThePlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := anyView(t)
		vm, ok := ElectedPlatformVM(RoleConfigPoller, "dc-1", view)
		reaching := slices.ContainsFunc(view, func(v entity.VM) bool {
			return v.DC == "dc-1" && v.PlatformReachable && owns(&v)
		})
		if reaching && (!ok || !vm.PlatformReachable) {
			t.Fatalf("role held by %+v", vm)
		}
		living := CountLiveVMs(view)["dc-1"] > 0
		if ok != living {
			t.Fatalf("held %v, living %v", ok, living)
		}
	})
}

// Invariant: whatever the two clocks' rates within the drift, no instant exists
// at which the isolated side may serve and another may adopt.
func TestLimits_NobodyAdoptsWhatIsStillServed(t *testing.T) {
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
		at := float64(rapid.Int64Range(0, int64(3*time.Hour)).Draw(t, "true time since the last tie"))
		earlier := at + float64(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "the other tie was earlier by"))
		own, other := rate("own rate"), rate("other rate")
		shown := func(at, rate float64) time.Duration { return time.Duration(at * rate) }
		serves := MayServe(false, DCContact{SinceLeaseRenewal: shown(at, own), SinceOthersReached: shown(earlier, own)}, l)
		evidence := DCEvidence{LeaseUnchangedFor: shown(at, other), UnreachedFor: shown(earlier, other), LeaseReadable: true}
		if serves && DecideAdoption(evidence, l) == Adoptable {
			t.Fatalf("served and adopted %s after the last tie", time.Duration(at))
		}
	})
}

func TestAdoptDC_Verdicts(t *testing.T) {
	l := DefaultLimits()
	is.New(t).NoErr(l.Validate())
	cases := []struct {
		name string
		e    DCEvidence
		want AdoptionVerdict
	}{
		{"a data centre that is reached keeps its programs", DCEvidence{LeaseUnchangedFor: time.Hour, LeaseReadable: true}, StillReached},
		{"an unreadable lease proves nothing", DCEvidence{LeaseUnchangedFor: time.Hour, UnreachedFor: time.Hour}, LeaseUnreadable},
		{"a lease renewed lately is respected", DCEvidence{LeaseUnchangedFor: l.Isolation, UnreachedFor: time.Hour, LeaseReadable: true}, LeaseNotLapsed},
		{"a data centre reached lately keeps its programs", DCEvidence{LeaseUnchangedFor: time.Hour, UnreachedFor: l.Isolation, LeaseReadable: true}, LeaseNotLapsed},
		{"a lapsed lease is adopted", DCEvidence{LeaseUnchangedFor: l.Adoption, UnreachedFor: l.Adoption, LeaseReadable: true}, Adoptable},
		{"a released lease is adopted at once", DCEvidence{UnreachedFor: 1, LeaseReadable: true, LeaseReleased: true}, Adoptable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(DecideAdoption(c.e, l), c.want) })
	}
	is.New(t).True(MayServe(true, DCContact{SinceLeaseRenewal: time.Hour, SinceOthersReached: time.Hour}, l))
	is.New(t).True((Limits{Isolation: time.Minute, Adoption: time.Minute}).Validate() == nil)
	is.New(t).True((Limits{Isolation: time.Minute, Adoption: time.Minute, Margin: 1}).Validate() != nil)
}
