package ratelimit

import "time"

// half is the share of a scheduler beside which others may serve all VMs: the first one if
// it is late, or if nobody else asks it, which may be cut off from the others. Together
// they stay within one and a half times the limit.
const half = 0.5

// RecentTime is for how long a scheduler remembers who asked it for a slot.
const RecentTime = 2 * time.Second

// View is what a VM that schedules a service knows about the others that may do so too.
// "Recently" means within RecentTime.
type View struct {
	First   bool // no listed VM ranks before it for this service
	Current bool // its lists can be read from the store
	Lagging bool // it is late itself, so that others may take it for dead
	VMs     int  // listed VMs, including itself
	// OthersAsk is set if another VM recently asked it for a slot.
	OthersAsk bool
	// AskingShare is the share of the listed VMs that belong to the data centres from
	// which it was recently asked. Without the first scheduler, each data centre has one.
	AskingShare float64
	// TurnedAway is set if it recently told a VM with a current list that its own is not.
	TurnedAway bool
}

// Share returns the share of each endpoint's limit that the VM may use. Over all VMs that
// schedule a service at the same time the shares add up to one, and to at most one and a
// half while the VMs disagree on the first scheduler.
func Share(v View) float64 {
	switch {
	case v.First && v.Current && (v.Lagging || !v.OthersAsk && v.VMs > 1):
		return half
	case v.First && v.Current:
		return 1
	case !v.OthersAsk:
		return 1 / float64(max(1, v.VMs))
	case !v.Current && v.TurnedAway:
		return half * v.AskingShare
	default:
		return v.AskingShare
	}
}
