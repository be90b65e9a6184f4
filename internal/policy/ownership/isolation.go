package ownership

import (
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Limits order what an isolated data centre and the others do:
//
//	last tie ──── Isolation ── (drift, Margin) ── Adoption
//	   isolated side serves │     nobody serves   │ others adopt
//
// A tie is a renewal of the data centre's lease or a moment at which both sides'
// memberships reached each other.
type Limits struct {
	// Isolation is how long after its last tie a data centre serves programs
	// that others know.
	Isolation time.Duration
	// Adoption is how long a data centre must have been without a tie before
	// others adopt its programs.
	Adoption time.Duration
	// Margin is added to the time that drift may take: both sides see a cut
	// up to a detection time apart, and a call that was let in just before
	// the limit must be over.
	Margin time.Duration
	// Drift is the relative error of a VM's clock rate.
	Drift float64
}

// DefaultLimits returns limits for clocks that err by at most one in a
// thousand.
func DefaultLimits() Limits {
	return Limits{Isolation: 30 * time.Second, Adoption: 45 * time.Second, Margin: 10 * time.Second, Drift: 0.001}
}

// Validate reports limits by which an isolated data centre could still serve
// what others adopt.
func (l Limits) Validate() error {
	if l.Isolation <= 0 || l.Margin < 0 || l.Drift < 0 || l.Drift >= 0.1 {
		return fmt.Errorf("isolation limit must be positive, margin not negative and drift 0 to 0.1")
	}
	if earliest := slow(l.Adoption, l.Drift); earliest < fast(l.Isolation, l.Drift)+l.Margin {
		return fmt.Errorf("adoption limit %s is not above isolation limit %s by margin %s and drift %g", l.Adoption, l.Isolation, l.Margin, l.Drift)
	}
	return nil
}

// slow is the least true time that passes while a clock shows d.
func slow(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) / (1 + drift))
}

// fast is the most true time that passes while a clock shows d.
func fast(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) / (1 - drift))
}

// DCContact is what a VM knows of its data centre's ties to the rest. The
// durations are bounds from above, by the VM's monotonic clock.
type DCContact struct {
	SinceLeaseRenewal  time.Duration // since the data centre's lease was renewed
	SinceOthersReached time.Duration // since VMs of all other data centres were reached
}

// MayServe reports whether a VM may serve a program of its own data centre. A
// program that was created here while cut off is unknown to others and served
// without limit.
func MayServe(createdIsolated bool, c DCContact, l Limits) bool {
	return createdIsolated || min(c.SinceLeaseRenewal, c.SinceOthersReached) < l.Isolation
}

// DCEvidence is what a VM knows of another data centre. The durations are bounds
// from below, by the VM's monotonic clock.
type DCEvidence struct {
	LeaseUnchangedFor time.Duration // that the data centre's lease row has stood unchanged
	UnreachedFor      time.Duration // that membership has reached no VM there; 0 if it does
	// LeaseReadable tells that the row was read lately. A row that can't be read
	// proves nothing.
	LeaseReadable bool
	// LeaseReleased tells that the data centre's last VM gave the lease back.
	LeaseReleased bool
}

// AdoptionVerdict is whether a data centre's programs may be adopted, and why not.
type AdoptionVerdict uint8

// The verdicts.
const (
	Adoptable       AdoptionVerdict = iota + 1
	StillReached                    // membership reaches VMs there, they own their programs
	LeaseNotLapsed                  // the adoption limit has not passed
	LeaseUnreadable                 // the lease row can't be read
)

// DecideAdoption decides whether a data centre's programs may be adopted by others. A
// data centre that is cut off from here but renews its lease, perhaps through a
// third one, keeps its programs.
func DecideAdoption(e DCEvidence, l Limits) AdoptionVerdict {
	switch {
	case e.UnreachedFor <= 0:
		return StillReached
	case !e.LeaseReadable:
		return LeaseUnreadable
	case e.LeaseReleased, min(e.LeaseUnchangedFor, e.UnreachedFor) >= l.Adoption:
		return Adoptable
	default:
		return LeaseNotLapsed
	}
}

// CountLiveVMs counts the VMs of each data centre that are not dead.
func CountLiveVMs(view []entity.VM) map[string]int {
	n := make(map[string]int)
	for i := range view {
		if view[i].State != entity.VMDead {
			n[view[i].DC]++
		}
	}
	return n
}

// InMinority reports whether a VM with this view reaches no majority of its own
// data centre, itself included. Those that it holds for dead or suspect may live
// on the other side of a cut and own its programs. Leaving ones count on neither
// side, and membership forgets those that have left.
func InMinority(dc string, view []entity.VM) bool {
	reached, total := 0, 0
	for i := range view {
		if view[i].DC != dc || view[i].State == entity.VMLeaving {
			continue
		}
		total++
		if view[i].State == entity.VMAlive {
			reached++
		}
	}
	return total > 1 && 2*reached <= total
}
