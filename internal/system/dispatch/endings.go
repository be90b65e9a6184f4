package dispatch

import (
	"maps"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/policy/quarantine"
)

const (
	// maxLoggedRequests bounds the requests that a log line names.
	maxLoggedRequests = 32
	// maxSharedRecords is the number of records of requests that crash endpoints that VMs
	// exchange with one request for a slot.
	maxSharedRecords = 64
	// recentRunTime is how long before the end of an endpoint becomes known a run may have
	// broken off because of it.
	recentRunTime = time.Second
	// maxRecentRuns bounds the broken-off runs that are remembered for an endpoint.
	maxRecentRuns = 64
	// endedEntryTime is how long after the end of a process its entry may still be listed.
	endedEntryTime = 10 * time.Second
	// expiryInterval is the time between two removals of expired records.
	expiryInterval = 10 * time.Second
)

// endedRun is a run that broke off, for whatever reason.
type endedRun struct {
	quarantine.Run
	at time.Duration
}

// recordLoss records that a request lost its endpoint, and reports whether the endpoint is
// thereby known to have ended. Silence counts only if connectTimeoutVMs notice it: a single
// VM may be cut off.
func (e *endpoint) recordLoss(r *request, loss EndpointLoss, now time.Duration) bool {
	known := e.ended
	switch loss {
	case Ended:
		e.ended = true
	case Silent:
		e.ended = e.ended || e.recordConnectTimeout(r.args.VM, now)
	}
	if e.ended && !known {
		e.endedAt = now
	}
	return e.ended && !known
}

// reviveListed forgets the ends of endpoints that are still listed long after: they refused
// connections, but live, since the entries of ended processes lapse within seconds.
func (s *Scheduler) reviveListed(p *pool, now time.Duration) {
	if s.outdated {
		return
	}
	for _, e := range p.sortedEndpoints {
		if e.ended && now-e.endedAt > endedEntryTime {
			e.ended = false
		}
	}
}

// softwareVersion returns the version of the endpoint's software. It is unknown once the
// process has ended: another one may have started under its id, whose entry is not read yet.
func (e *endpoint) softwareVersion() string {
	if e.ended {
		return ""
	}
	return e.SoftwareVersion
}

// run returns the request as a run of its endpoint.
func (r *request) run() quarantine.Run {
	return quarantine.Run{Request: r.args.Fingerprint, Path: r.args.PathFingerprint, Started: r.assignedAt}
}

// observeEnd records the end of an endpoint under the requests that had a slot there.
func (s *Scheduler) observeEnd(e *endpoint, now time.Duration) {
	var runs []quarantine.Run
	var ids []string
	underSuspect, alone := false, false
	for _, r := range s.requests {
		if r.endpoint != e {
			continue
		}
		underSuspect = underSuspect || r.level != quarantine.Free
		alone = alone || r.level == quarantine.Alone
		if r.args.Fingerprint != 0 {
			runs = append(runs, r.run())
		}
		if len(ids) < maxLoggedRequests {
			ids = append(ids, r.args.Request)
		}
	}
	for _, ended := range e.recent {
		if now-ended.at <= recentRunTime {
			runs = append(runs, ended.Run)
		}
	}
	e.recent = nil
	if underSuspect {
		s.poolOf(e.Service).alone.recordEnd(alone, now)
	}
	rejected := s.quarantine.RecordEnd(e.Process(), runs, now)
	s.endSeen = s.quarantine.Version()
	if s.Log == nil {
		return
	}
	s.Log.Info("endpoint ended", tag.Endpoint(e.ID), tag.Requests(ids))
	for _, fingerprint := range rejected {
		s.Log.Warn("request quarantined: endpoints ended while they ran it", tag.Fingerprint(fingerprint))
	}
}

// recordRunEnd records how a run ended: one that was served clears its request, one that broke
// off may have broken off because its endpoint ended.
func (s *Scheduler) recordRunEnd(r *request, release SlotRelease, now time.Duration) {
	if r.endpoint == nil || r.args.Fingerprint == 0 {
		return
	}
	switch {
	case release.Served:
		if r.level == quarantine.Alone {
			r.pool.alone = alonePause{}
		}
		s.quarantine.RecordCompletion(r.args.Fingerprint, r.args.PathFingerprint, now)
	case release.Result == Failed || release.Result == Canceled:
		if e := r.endpoint; !e.ended {
			if len(e.recent) >= maxRecentRuns || len(e.recent) > 0 && now-e.recent[len(e.recent)-1].at > recentRunTime {
				e.recent = e.recent[:0]
			}
			e.recent = append(e.recent, endedRun{r.run(), now})
		}
	}
}

// learnFromRequest adopts what a request tells about requests that crash endpoints.
func (s *Scheduler) learnFromRequest(args *SlotRequest, now time.Duration) {
	s.quarantine.Merge(args.Quarantine, now)
	if args.Fingerprint != 0 && s.quarantine.RecordChain(args.EndedUnder, args.Fingerprint, args.PathFingerprint, now) {
		s.endSeen = s.quarantine.Version()
	}
}

// quarantineReply returns what the response tells about requests that crash endpoints.
func (r *SlotResponse) quarantineReply() QuarantineReply {
	return QuarantineReply{Records: r.Quarantine, Version: r.QuarantineVersion, Instance: r.Instance}
}

// ExchangeQuarantine adopts what another VM knows about requests that crash endpoints, and
// returns what that VM doesn't know.
func (s *Scheduler) ExchangeQuarantine(x QuarantineExchange) QuarantineReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.quarantine.Merge(x.Records, now)
	list, version := s.quarantine.Since(x.Seen, maxSharedRecords, now)
	return QuarantineReply{Records: list, Version: version, Instance: s.instance}
}

// lastEndSeen returns the version of the memory at which this scheduler last saw an end.
func (s *Scheduler) lastEndSeen() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endSeen
}

// services returns the names of the services that this VM knows.
func (s *Scheduler) services() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.pools))
}

// answerWithNews adds to a response what the requesting VM has not learned yet.
func (s *Scheduler) answerWithNews(r *request, now time.Duration) {
	r.response.Quarantine, r.response.QuarantineVersion = s.quarantine.Since(r.args.QuarantineSeen, maxSharedRecords, now)
}

// refuseQuarantined determines how a request may run, and refuses one that may not.
func (s *Scheduler) refuseQuarantined(r *request, now time.Duration) bool {
	if r.args.Fingerprint == 0 {
		return false
	}
	level, left := s.quarantine.Level(r.args.Fingerprint, r.args.PathFingerprint, now)
	r.level = level
	if level != quarantine.Rejected {
		return false
	}
	r.response.State, r.response.Reason, r.response.RetryAfter = Refused, reasonQuarantined, left
	r.response.Waited = now - r.policyRequest.Arrived
	close(r.decided)
	return true
}

// reviewWaiting determines anew how the waiting requests may run, and refuses those that may
// not, if something has become known since the last time.
func (s *Scheduler) reviewWaiting(p *pool, now time.Duration) {
	if p.reviewedVersion == s.quarantine.Version() {
		return
	}
	p.reviewedVersion = s.quarantine.Version()
	p.waiting = slices.DeleteFunc(p.waiting, func(r *request) bool { return s.refuseQuarantined(r, now) })
}

// Quarantined returns for how long a request is rejected as far as this scheduler knows; 0
// if it isn't.
func (s *Scheduler) Quarantined(fingerprint, path uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, left := s.quarantine.Level(fingerprint, path, s.clock.Now())
	return left
}

// Suspects reports whether endpoints have ended under a request, as far as this scheduler knows, so
// that it may not run beside others: only one scheduler may assign it.
func (s *Scheduler) Suspects(fingerprint, path uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	level, _ := s.quarantine.Level(fingerprint, path, s.clock.Now())
	return fingerprint != 0 && level != quarantine.Free
}

// RecordOwnEnd records that an endpoint ended while it ran a request of this VM whose slot
// another VM assigned: that scheduler may end before it has told anybody.
func (s *Scheduler) RecordOwnEnd(process string, fingerprint, path uint64, ran time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.quarantine.RecordOwnRun(process, quarantine.Run{Request: fingerprint, Path: path, Started: now - ran}, now)
}

// LearnQuarantine adopts what other VMs know about requests that crash endpoints. It returns
// the versions of this scheduler's memory before and after that.
func (s *Scheduler) LearnQuarantine(list []quarantine.Shared) (before, after uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.quarantine.Version()
	s.quarantine.Merge(list, s.clock.Now())
	return before, s.quarantine.Version()
}

// QuarantineSince returns what this scheduler has learned after a version, at most limit
// records, and the version up to which these are all.
func (s *Scheduler) QuarantineSince(version uint64, limit int) ([]quarantine.Shared, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Since(version, limit, s.clock.Now())
}

// LoadQuarantine adopts saved records.
func (s *Scheduler) LoadQuarantine(list []quarantine.Shared) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.MergeSaved(list, s.clock.Now())
}

// TakeUnsavedQuarantine returns the records, at most limit, that have to be saved, and the
// keys of those whose saved records have to be deleted.
func (s *Scheduler) TakeUnsavedQuarantine(limit int) (put []quarantine.Shared, deleted []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.TakeUnsaved(limit, s.clock.Now())
}

// MarkQuarantineUnsaved takes back what TakeUnsavedQuarantine returned.
func (s *Scheduler) MarkQuarantineUnsaved(keys []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		s.quarantine.MarkUnsaved(key)
	}
}

// expireQuarantine drops expired records each expiryInterval.
func (s *Scheduler) expireQuarantine(now time.Duration) {
	if now-s.quarantineExpired >= expiryInterval {
		s.quarantineExpired = now
		s.quarantine.Expire(now)
	}
}
