// Package resumption decides at which software version of a service a stream that a caller
// takes up again may go on: only at that of the endpoint that made its first event. The
// caller names the attempt that brought that event, but not the version; VMs remember it, and
// otherwise it is certain only if the service has had one version for long enough. All
// functions are pure.
package resumption

import (
	"slices"
	"time"
)

// listLag is how old a VM's list of endpoints may be while it can read changes.
const listLag = 2 * time.Second

// maxStreamTime is how long streams last at most on a route without a timeout.
const maxStreamTime = time.Hour

// Horizon returns for how long only one version must have served for a stream of unknown
// beginning to be of that version: the stream's first response and the one that is resumed
// each last no longer than the route's timeout, which is 0 if there is none.
func Horizon(routeTimeout time.Duration) time.Duration {
	if routeTimeout <= 0 {
		routeTimeout = maxStreamTime
	}
	return 2*routeTimeout + listLag
}

// View is what a VM knows about the software versions of a service.
type View struct {
	Versions int    // different versions that were listed within the horizon
	Version  string // the only one if Versions is 1; empty if unknown
	Whole    bool   // the VM has read the list since the start of the horizon
	Reread   bool   // the VM has read the list since it was asked, after the stream began
}

// Sole reports whether only one known version is listed.
func (v View) Sole() bool { return v.Versions == 1 && v.Version != "" }

// Answer is what a VM knows about a stream.
type Answer struct {
	Known   bool   // Version is that of its first event
	Version string // empty if the VM knows that the version is unknown
	View    View
}

// Origin is how the version of a stream's first event was found out.
type Origin string

// Origins.
const (
	Remembered Origin = "remembered" // a VM has seen the first event
	OnlyOne    Origin = "only one"   // no other version has served
	Unknown    Origin = "unknown"
)

// Resolve returns the version of a stream's first event from what this VM and others know.
// others holds the answers that arrived. everywhere means that a VM of each data centre
// answered, or that there are no other VMs.
//
// A VM that was cut off or paused may not know of a version that others already use, nor that
// its list is outdated. So a list counts only if it was read after the stream began. If nobody
// can read it the store is away, and no VM learns of a new version, unless those that answer
// are cut off from the others.
func Resolve(own Answer, others []Answer, everywhere bool) (version string, origin Origin) {
	sole := own.View.Sole()
	var whole, reread, wholeReread bool
	for _, a := range append([]Answer{own}, others...) {
		if a.Known && a.Version != "" {
			return a.Version, Remembered
		}
		whole = whole || a.View.Whole
		reread = reread || a.View.Reread
		wholeReread = wholeReread || a.View.Whole && a.View.Reread
		sole = sole && !a.Known && a.View.Sole() && a.View.Version == own.View.Version
	}
	if sole && (wholeReread || !reread && whole && everywhere) {
		return own.View.Version, OnlyOne
	}
	return "", Unknown
}

// MayResolve reports whether an unknown version could be found out if VMs that answered, or
// this one, read the list again.
func MayResolve(own Answer, others []Answer) bool {
	again := func(list []Answer) []Answer {
		list = slices.Clone(list)
		for i := range list {
			list[i].View.Reread = true
		}
		return list
	}
	_, origin := Resolve(again([]Answer{own})[0], again(others), true)
	return origin != Unknown
}
