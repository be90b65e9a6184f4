package versionhistory

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/policy/resumption"
)

// errNoTime means that no response of the store has told its time yet.
var errNoTime = errors.New("time of the store unknown")

const (
	// startDelay is how long after its first reading a VM writes nothing: VMs that start
	// together don't know of each other at once, and all would write the same.
	startDelay = time.Second
	// leaveDelay is how long a version must have been absent from the list before it counts as
	// gone: entries lapse and come back, and other VMs may read a removal later.
	leaveDelay = 4 * time.Second
	// rankDelay is by how much later each VM writes a change than the one ranked before it.
	rankDelay = 300 * time.Millisecond
	// retryDelay is the pause of the VM ranked first after a failed write, times its rank for
	// each other one.
	retryDelay    = time.Second
	maxRetryDelay = time.Minute
	// jitterPerVM times the number of VMs is the time over which VMs spread their writes of what
	// each of them has observed.
	jitterPerVM  = 5 * time.Millisecond
	writeTimeout = time.Second
	// checkInterval is the time between two looks for changes that nobody triggers.
	checkInterval = time.Minute
)

// changeKind is what has to be written about a version.
type changeKind int

const (
	started  changeKind = iota // the history begins
	appeared                   // a version is listed that isn't recorded, or is recorded as gone
	gone                       // a version is recorded that isn't listed any more
	longer                     // callers wait longer than recorded
)

type change struct {
	service, version string
	kind             changeKind
}

// pendingChange is a change that isn't recorded yet.
type pendingChange struct {
	holdsAt time.Duration // from when on it holds
	due     time.Duration // when this VM writes it, if no other one has
}

// Run writes changes until ctx ends.
func (h *History) Run(ctx context.Context) {
	for {
		pause := h.writeDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-h.trigger:
		case <-h.Clock.After(pause):
		}
	}
}

// writeDue writes the changes that are due, and returns the time until others are.
func (h *History) writeDue(ctx context.Context) time.Duration {
	due, pause := h.notice()
	if len(due) == 0 {
		return pause
	}
	// The list may be outdated, most of all after a pause of this VM.
	refreshCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	err := h.Refresh(refreshCtx)
	cancel()
	if err != nil {
		h.Log.Debug("changes of software versions not recorded yet", tag.Error(err))
		return h.postponeAll(due)
	}
	due, pause = h.notice()
	for key := range due {
		if err := h.write(ctx, key); err != nil {
			h.Log.Warn("software versions of a service not recorded; trying again", tag.Target(key), tag.Error(err))
			pause = min(pause, h.postpone(key))
		}
	}
	return pause
}

// notice finds the changes that are not recorded. It returns the services with one that is due,
// "" for the row of the start, and the time until the next one is.
func (h *History) notice() (due map[string]bool, pause time.Duration) {
	due, pause = make(map[string]bool), checkInterval
	listed, current := h.Listed()
	if !current {
		return due, pause
	}
	now, delay := h.Clock.Now(), time.Duration(h.Rank())*rankDelay
	h.mu.Lock()
	defer h.mu.Unlock()
	if wait := h.loadedAt + startDelay - now; !h.loaded || wait > 0 {
		return due, min(pause, max(wait, rankDelay))
	}
	open := make(map[change]bool)
	add := func(c change, holdsIn, delay time.Duration) {
		open[c] = true
		p := h.noticed[c]
		if p == nil {
			p = &pendingChange{holdsAt: now + holdsIn, due: now + holdsIn + delay}
			h.noticed[c] = p
		}
		if p.due <= now {
			due[c.service] = true
		} else {
			pause = min(pause, p.due-now)
		}
	}
	if h.since == nil {
		add(change{kind: started}, 0, delay)
	}
	isListed := make(map[serviceVersion]bool)
	for name, versions := range listed {
		for _, version := range versions {
			isListed[serviceVersion{name, version}] = true
			if r, ok := h.recorded(name, version); !ok || r.left != 0 {
				add(change{name, version, appeared}, 0, delay)
			}
		}
	}
	for name, s := range h.services {
		for version, r := range s.versions {
			if r.left == 0 && !isListed[serviceVersion{name, version}] {
				add(change{name, version, gone}, leaveDelay, delay)
			}
		}
	}
	for key, w := range h.waits {
		add(change{key.service, key.version, longer}, 0, w.delay)
	}
	maps.DeleteFunc(h.noticed, func(c change, _ *pendingChange) bool { return !open[c] })
	return due, pause
}

// recorded returns what is recorded about a version; mu is held.
func (h *History) recorded(name, version string) (record, bool) {
	s := h.services[name]
	if s == nil {
		return record{}, false
	}
	r, ok := s.versions[version]
	return r, ok
}

// postponeAll makes the changes of services due later, and returns in how long.
func (h *History) postponeAll(due map[string]bool) time.Duration {
	pause := checkInterval
	for name := range due {
		pause = min(pause, h.postpone(name))
	}
	return pause
}

// postpone makes the changes of a service due later, and returns in how long.
func (h *History) postpone(name string) time.Duration {
	now, delay := h.Clock.Now(), min(time.Duration(h.Rank()+1)*retryDelay, maxRetryDelay)
	h.mu.Lock()
	defer h.mu.Unlock()
	for c, p := range h.noticed {
		if c.service == name {
			p.due = max(p.due, now+delay)
		}
	}
	return delay
}

// write writes the row of a service, or that of the start if name is empty.
func (h *History) write(ctx context.Context, name string) error {
	storeNow, known := h.Time()
	if !known {
		return errNoTime
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if name == "" {
		since := max(storeNow, time.Millisecond)
		if h.FirstStart {
			since = 0
		}
		value, err := encodeStart(since)
		if err != nil {
			return err
		}
		return h.commit(ctx, platform.Write{Key: startKey, Value: value})
	}
	versions, rowVersion := h.desired(name, storeNow)
	value, err := encodeVersions(versions)
	if err != nil {
		return err
	}
	return h.commit(ctx, platform.Write{Key: keyOf(name), IfVersion: rowVersion, Value: value})
}

// desired returns what the row of a service should say, and the version of the row it is based on.
func (h *History) desired(name string, storeNow time.Duration) (map[string]record, uint64) {
	now := h.Clock.Now()
	listed, _ := h.Listed()
	h.mu.Lock()
	defer h.mu.Unlock()
	versions, rowVersion := make(map[string]record), uint64(0)
	if s := h.services[name]; s != nil {
		maps.Copy(versions, s.versions)
		rowVersion = s.rowVersion
	}
	for version, r := range versions {
		p := h.noticed[change{name, version, gone}]
		switch {
		case p != nil && p.holdsAt <= now:
			r.left = max(storeNow, time.Millisecond)
			versions[version] = r
		case r.left != 0 && storeNow-r.left > resumption.Horizon(r.wait)+forgetAfter:
			delete(versions, version)
		}
	}
	for _, version := range listed[name] {
		r := versions[version]
		r.left, r.wait = 0, max(r.wait, resumption.DeadlineClass(1))
		versions[version] = r
	}
	for key, w := range h.waits {
		if r, ok := versions[key.version]; key.service == name {
			if !ok { // no longer listed
				r.left = max(storeNow, time.Millisecond)
			}
			r.wait = max(r.wait, w.class)
			versions[key.version] = r
		}
	}
	return versions, rowVersion
}

// commit writes a row and applies it. After any other outcome it reads the table again.
func (h *History) commit(ctx context.Context, w platform.Write) error {
	rowVersion, err := h.Store.CommitVersioned(ctx, []platform.Write{w})
	if err == nil {
		h.Apply([]platform.Row{{Key: w.Key, Version: rowVersion, Value: w.Value}}, false)
		return nil
	}
	if rereadErr := h.Refresh(ctx); rereadErr != nil {
		return errors.Join(err, rereadErr)
	}
	if conflict := (*platform.ConflictError)(nil); errors.As(err, &conflict) {
		return nil // another VM has written the row
	}
	return err
}

// jitter returns a random time below a limit.
func jitter(limit time.Duration) time.Duration { return rand.N(max(limit, 1)) }
