package ownership

import (
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Limits are time limits after the last contact of an isolated data centre with
// the others. They ensure that the data centre stops serving its programs before
// the others adopt them:
//
//	last contact ──── Isolation ── (Drift, Margin) ── Adoption
//	    isolated side serves    │    nobody serves    │ others adopt
//
// A contact is a renewal of the data centre's lease, or a moment at which the
// memberships of both sides reached each other.
type Limits struct {
	// Isolation is the time after its last contact for which a data centre serves
	// its programs. Programs created during the isolation are served beyond it.
	Isolation time.Duration
	// Adoption is the time without contact to a data centre after which others
	// adopt its programs.
	Adoption time.Duration
	// Margin is the minimum time between the two limits, beyond clock drift. It
	// must cover a detection time, since the two sides may detect a partition at
	// times that far apart, and the run time of a call that was admitted just
	// before the isolation limit.
	Margin time.Duration
	// Drift is the maximum relative error of a VM's clock rate.
	Drift float64
}

// DefaultLimits returns limits for clocks with a relative rate error of at most
// one in a thousand.
func DefaultLimits() Limits {
	return Limits{Isolation: 30 * time.Second, Adoption: 45 * time.Second, Margin: 10 * time.Second, Drift: 0.001}
}

// Validate returns an error if, with these limits, an isolated data centre could
// still serve programs that others adopt.
func (l Limits) Validate() error {
	if l.Isolation <= 0 || l.Margin < 0 || l.Drift < 0 || l.Drift >= 0.1 {
		return fmt.Errorf("isolation limit must be positive, margin must not be negative, and drift must be at least 0 and below 0.1")
	}
	if earliest := minElapsed(l.Adoption, l.Drift); earliest < maxElapsed(l.Isolation, l.Drift)+l.Margin {
		return fmt.Errorf("adoption limit %s must exceed isolation limit %s by at least margin %s at clock drift %g", l.Adoption, l.Isolation, l.Margin, l.Drift)
	}
	return nil
}

// minElapsed returns the minimum real time that passes while a clock advances by d.
func minElapsed(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) / (1 + drift))
}

// maxElapsed returns the maximum real time that passes while a clock advances by d.
func maxElapsed(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) / (1 - drift))
}

// DCContact describes the last contacts of a VM's own data centre with the others.
// The durations are upper bounds, by the VM's monotonic clock.
type DCContact struct {
	SinceLeaseRenewal  time.Duration // since the data centre's lease was last renewed
	SinceOthersReached time.Duration // since VMs of all other data centres were last reached
}

// MayServe reports whether a VM may serve a program of its own data centre. A
// program that was created here while the data centre was isolated is unknown to
// others and may always be served.
func MayServe(createdIsolated bool, c DCContact, l Limits) bool {
	return createdIsolated || min(c.SinceLeaseRenewal, c.SinceOthersReached) < l.Isolation
}

// DCEvidence is what a VM has observed of another data centre. The durations are
// lower bounds, by the VM's monotonic clock.
type DCEvidence struct {
	LeaseUnchangedFor time.Duration // time for which the data centre's lease row is unchanged
	UnreachedFor      time.Duration // time for which membership has reached no VM there; 0 if it reaches one
	// LeaseReadable means that the row was read recently. A row that can't be
	// read is no evidence.
	LeaseReadable bool
	// LeaseReleased means that the data centre's last VM released the lease.
	LeaseReleased bool
}

// AdoptionVerdict says whether a data centre's programs may be adopted, and if not,
// why.
type AdoptionVerdict uint8

// The verdicts.
const (
	Adoptable       AdoptionVerdict = iota + 1
	StillReached                    // membership reaches VMs there, and they own their programs
	LeaseNotLapsed                  // the adoption limit has not passed
	LeaseUnreadable                 // the lease row can't be read
)

// DecideAdoption decides whether other data centres may adopt a data centre's
// programs. A data centre that is unreachable from here but renews its lease,
// perhaps through a third data centre, keeps its programs.
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

// CountLiveVMs returns, by data centre, the number of VMs that are not dead.
func CountLiveVMs(view []entity.VM) map[string]int {
	live := make(map[string]int)
	for i := range view {
		if view[i].State != entity.VMDead {
			live[view[i].DC]++
		}
	}
	return live
}

// InMinority reports whether a VM with this view doesn't reach a majority of the
// VMs of its own data centre, itself included. VMs that are dead or suspect in the
// view may be alive on the other side of a partition and own programs of the data
// centre. Leaving VMs don't count, and membership drops those that have left.
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
