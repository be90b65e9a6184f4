// Package resumption decides at which software version of a service a stream that a caller
// takes up again may go on: only at that of the endpoint that made its first event. The
// caller names the attempt that brought that event, but not the version; VMs remember it, and
// otherwise it is certain only if the service has had one version for as long as a caller may
// come back. All functions are pure.
package resumption

import (
	"slices"
	"time"
)

// listLag is how old a VM's list of endpoints may be while it can read changes.
const listLag = 2 * time.Second

// Bounds of the deadlines that Horizon is given.
const (
	minDeadline   = 4 * time.Second
	maxStreamTime = time.Hour // also for a caller without a deadline
)

// DeadlineClass returns the least power of two of minDeadline that is not below a caller's
// deadline, at most maxStreamTime. There are few classes, so that they seldom have to be told.
func DeadlineClass(deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return maxStreamTime
	}
	class := minDeadline
	for class < deadline && class < maxStreamTime {
		class *= 2
	}
	return min(class, maxStreamTime)
}

// Horizon returns how long after the last endpoint of a version left the list a stream that
// began there may still be taken up. deadline is the longest one of the callers of such streams,
// 0 if it is unknown: a caller's first attempt and the one that takes the stream up may each
// state it in full. How long the route lets an attempt take doesn't bound it.
func Horizon(deadline time.Duration) time.Duration {
	if deadline <= 0 {
		deadline = maxStreamTime
	}
	return 2*deadline + listLag
}

// View is what a VM knows about the software versions of a service.
type View struct {
	Versions int    // different versions that served within the horizon, some counted twice if there are several
	Version  string // the only one if Versions is 1; empty if unknown
	Whole    bool   // no other version can have served since the start of the horizon
	Reread   bool   // the VM has read the list since it was asked, after the stream began
}

// Sole reports whether only one known version is listed.
func (v View) Sole() bool { return v.Versions == 1 && v.Version != "" }

// Include returns the view with versions that are known from elsewhere to have served within the
// horizon. whole reports whether no other one can have.
func (v View) Include(versions []string, whole bool) View {
	for _, version := range versions {
		switch {
		case v.Versions == 0:
			v.Versions, v.Version = 1, version
		case v.Versions > 1 || version != v.Version:
			v.Versions, v.Version = v.Versions+1, ""
		}
	}
	v.Whole = v.Whole || whole
	return v
}

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
