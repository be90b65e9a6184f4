package estimate

import "time"

// Load is the load of an endpoint's queue.
type Load struct {
	Running int // calls that hold a permit
	Waiting int // calls that wait for a permit
	Permits int // calls that may run at once
}

// LoadEstimate estimates the load of a queue on another VM: the last report,
// corrected by this VM's calls that the report doesn't include yet. It is not safe
// for concurrent use.
type LoadEstimate struct {
	reported   Load
	reportedAt time.Time
	sent       []time.Time // calls of this VM sent after the report
	finished   []time.Time // calls of this VM finished after the report
}

// maxCorrections bounds the lengths of sent and finished between two reports;
// further calls are not recorded.
const maxCorrections = 4096

// ApplyReport replaces the reported load and drops the calls that the report
// includes. at is the time of the report by this VM's clock. A report older than the
// last one is ignored.
func (e *LoadEstimate) ApplyReport(l Load, at time.Time) {
	if at.Before(e.reportedAt) {
		return
	}
	e.reported, e.reportedAt = l, at
	e.sent = laterThan(e.sent, at)
	e.finished = laterThan(e.finished, at)
}

// RecordSent records a call that this VM has sent to the queue.
func (e *LoadEstimate) RecordSent(now time.Time) {
	if len(e.sent) < maxCorrections {
		e.sent = append(e.sent, now)
	}
}

// RecordFinished records the end of a call of this VM.
func (e *LoadEstimate) RecordFinished(now time.Time) {
	if len(e.finished) < maxCorrections {
		e.finished = append(e.finished, now)
	}
}

// Load returns the estimated load. Finished calls are deducted from the running ones
// first, and waiting calls are assumed to have started as far as permits allow.
func (e *LoadEstimate) Load() Load {
	l := e.reported
	l.Waiting += len(e.sent)
	finished := len(e.finished)
	fromRunning := min(finished, l.Running)
	l.Running -= fromRunning
	l.Waiting = max(0, l.Waiting-(finished-fromRunning))
	started := min(l.Waiting, max(0, l.Permits-l.Running))
	l.Running += started
	l.Waiting -= started
	return l
}

func laterThan(times []time.Time, at time.Time) []time.Time {
	kept := times[:0]
	for _, t := range times {
		if t.After(at) {
			kept = append(kept, t)
		}
	}
	return kept
}
