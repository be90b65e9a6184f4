package estimate

import "time"

// Load is the load of an endpoint's queue.
type Load struct {
	Running int // calls that hold a permit
	Waiting int
	Permits int // calls that may run at a time
}

// LoadEstimate is the load of a queue as another VM knows it: the last report,
// corrected by the VM's own calls that the report can't have seen yet. It is
// not safe for concurrent use.
type LoadEstimate struct {
	reported Load
	at       time.Time
	sent     []time.Time // own calls sent after the report
	finished []time.Time // own calls finished after the report
}

// maxCorrections bounds the calls kept between two reports.
const maxCorrections = 4096

// ApplyReport takes in a report that shows the queue at an instant. Older reports
// than the last are ignored.
func (v *LoadEstimate) ApplyReport(l Load, at time.Time) {
	if at.Before(v.at) {
		return
	}
	v.reported, v.at = l, at
	v.sent = after(v.sent, at)
	v.finished = after(v.finished, at)
}

// RecordSent notes a call that this VM has sent to the queue.
func (v *LoadEstimate) RecordSent(now time.Time) {
	if len(v.sent) < maxCorrections {
		v.sent = append(v.sent, now)
	}
}

// RecordFinished notes the end of a call of this VM.
func (v *LoadEstimate) RecordFinished(now time.Time) {
	if len(v.finished) < maxCorrections {
		v.finished = append(v.finished, now)
	}
}

// Load returns the corrected load.
func (v *LoadEstimate) Load() Load {
	l := v.reported
	l.Waiting += len(v.sent)
	left := len(v.finished)
	taken := min(left, l.Running)
	l.Running -= taken
	l.Waiting = max(0, l.Waiting-(left-taken))
	started := min(l.Waiting, max(0, l.Permits-l.Running))
	l.Running += started
	l.Waiting -= started
	return l
}

func after(times []time.Time, at time.Time) []time.Time {
	kept := times[:0]
	for _, t := range times {
		if t.After(at) {
			kept = append(kept, t)
		}
	}
	return kept
}
