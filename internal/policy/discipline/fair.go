package discipline

import (
	"container/heap"
	"time"
)

// FairConfig configures KindFair.
type FairConfig struct {
	// AgeingRate is the attained service, in tokens, that one second of waiting
	// offsets.
	AgeingRate float64
	// MaxAttained is the attained service, in tokens, above which programs
	// rank equally.
	MaxAttained int64
	// UrgentFactor is the multiple of a call's expected run time below which
	// the time left until its deadline makes the call urgent.
	UrgentFactor float64
}

// DefaultFairConfig returns the default configuration.
func DefaultFairConfig() FairConfig {
	return FairConfig{AgeingRate: 2000, MaxAttained: 60_000, UrgentFactor: 3}
}

// MaxOvertakeTime returns the time after a call's arrival from which newly arriving
// calls of the same workspace are no longer served before it, unless they are
// urgent: waiting that long offsets any attained service.
func (c FairConfig) MaxOvertakeTime() time.Duration {
	return time.Duration(float64(c.MaxAttained) / c.AgeingRate * float64(time.Second))
}

// fairQueue schedules workspaces by start-time fair queuing, and the calls
// within a workspace by least attained service of their program families, with
// ageing.
//
// Between workspaces: while two workspaces i and j are both backlogged, the
// service charged to them, divided by their weights, differs by at most
// max(cost)/weight(i) + max(cost)/weight(j) (Goyal, Vin and Cheng, 1996).
//
// Within a workspace: a waiting call's rank is its attained service minus
// AgeingRate for each second of waiting. All calls age at the same rate, so the
// order of two calls is fixed when the later one arrives: a call that arrives more
// than MaxOvertakeTime after another is not served before it.
//
// Urgent calls are served before all others, but never two in a row, which at
// most doubles the bounds above.
type fairQueue struct {
	cfg         FairConfig
	rankOrigin  time.Time         // arrival of the first call; ranks are relative to it
	flows       map[string]*flow  // by workspace
	waiting     map[string]*entry // by call ID
	byDeadline  entryHeap
	virtualTime float64 // start tag of the last call served
	lastUrgent  bool    // the last call was served because it was urgent
}

// flow is the backlog of one workspace.
type flow struct {
	weight float64
	finish float64 // finish tag of the last call served, in tokens per weight
	byRank entryHeap
}

// entry is a waiting call in the heap of its workspace and, if it has a
// deadline, in the heap of deadlines.
type entry struct {
	call    Call
	flow    *flow
	rank    float64 // in tokens; lower is served first
	removed bool    // served or removed; discarded when it reaches the top of a heap
}

func newFairQueue(cfg FairConfig) *fairQueue {
	return &fairQueue{
		cfg:        cfg,
		flows:      make(map[string]*flow),
		waiting:    make(map[string]*entry),
		byDeadline: entryHeap{less: earlierDeadline},
	}
}

// Push implements Discipline.
func (q *fairQueue) Push(call Call) {
	if q.rankOrigin.IsZero() {
		q.rankOrigin = call.Enqueued
	}
	f := q.workspaceFlow(call.Workspace)
	f.weight = max(call.Weight, minWeight)
	if f.head() == nil {
		f.finish = max(f.finish, q.virtualTime)
	}
	e := &entry{call: call, flow: f, rank: q.rank(call)}
	q.waiting[call.ID] = e
	heap.Push(&f.byRank, e)
	if !call.Deadline.IsZero() {
		heap.Push(&q.byDeadline, e)
	}
}

// minWeight bounds weights from below, so that service per weight stays finite.
const minWeight = 1e-6

func (q *fairQueue) workspaceFlow(workspace string) *flow {
	f := q.flows[workspace]
	if f == nil {
		f = &flow{byRank: entryHeap{less: lowerRank}}
		q.flows[workspace] = f
	}
	return f
}

func (q *fairQueue) rank(call Call) float64 {
	attained := float64(min(call.Attained, q.cfg.MaxAttained))
	return attained + q.cfg.AgeingRate*call.Enqueued.Sub(q.rankOrigin).Seconds()
}

// Pop implements Discipline.
func (q *fairQueue) Pop(now time.Time) (Call, bool) {
	e := q.nextUrgent(now)
	q.lastUrgent = e != nil
	if e == nil {
		e = q.next()
	}
	if e == nil {
		return Call{}, false
	}
	q.serve(e)
	return e.call, true
}

// nextUrgent returns the urgent call with the earliest deadline that can still be
// met, or nil if there is none or the last call was served because it was urgent.
func (q *fairQueue) nextUrgent(now time.Time) *entry {
	if q.lastUrgent {
		return nil
	}
	for q.byDeadline.Len() > 0 {
		e := q.byDeadline.entries[0]
		left := e.call.Deadline.Sub(now)
		switch {
		case e.removed, left < e.call.Expected:
			heap.Pop(&q.byDeadline)
		case float64(left) < q.cfg.UrgentFactor*float64(e.call.Expected):
			return e
		default:
			return nil
		}
	}
	return nil
}

// next returns the lowest-ranked call of the workspace with the lowest finish
// tag, or nil if none waits.
func (q *fairQueue) next() *entry {
	var lowest *flow
	var lowestWorkspace string
	for workspace, f := range q.flows {
		if f.head() == nil {
			continue
		}
		if lowest == nil || f.finish < lowest.finish || f.finish == lowest.finish && workspace < lowestWorkspace {
			lowest, lowestWorkspace = f, workspace
		}
	}
	if lowest == nil {
		return nil
	}
	q.virtualTime = max(q.virtualTime, lowest.finish)
	return lowest.head()
}

// head returns the lowest-ranked waiting call, or nil if none waits.
func (f *flow) head() *entry {
	for f.byRank.Len() > 0 {
		e := f.byRank.entries[0]
		if !e.removed {
			return e
		}
		heap.Pop(&f.byRank)
	}
	return nil
}

func (q *fairQueue) serve(e *entry) {
	q.remove(e)
	e.flow.finish += float64(e.call.Cost) / e.flow.weight
	q.dropIdleFlows()
}

// dropIdleFlows drops workspaces that have no waiting calls and whose finish tag
// isn't ahead of virtual time, once there are many flows, so that the map stays
// about as small as the set of active workspaces.
func (q *fairQueue) dropIdleFlows() {
	const idleFlowsThreshold = 1024
	if len(q.flows) < idleFlowsThreshold {
		return
	}
	for workspace, f := range q.flows {
		if f.head() == nil && f.finish <= q.virtualTime {
			delete(q.flows, workspace)
		}
	}
}

func (q *fairQueue) remove(e *entry) {
	e.removed = true
	delete(q.waiting, e.call.ID)
	e.flow.head() // discards removed entries, so that they can be garbage-collected
}

// Remove implements Discipline.
func (q *fairQueue) Remove(id string) (Call, bool) {
	e := q.waiting[id]
	if e == nil {
		return Call{}, false
	}
	q.remove(e)
	return e.call, true
}

// Charge implements Discipline.
func (q *fairQueue) Charge(workspace string, delta int64) {
	f := q.flows[workspace]
	if f == nil || f.weight == 0 {
		return
	}
	f.finish += float64(delta) / f.weight
}

// Len implements Discipline.
func (q *fairQueue) Len() int { return len(q.waiting) }

func lowerRank(a, b *entry) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.call.ID < b.call.ID
}

func earlierDeadline(a, b *entry) bool { return a.call.Deadline.Before(b.call.Deadline) }

// entryHeap implements heap.Interface.
type entryHeap struct {
	less    func(a, b *entry) bool
	entries []*entry
}

func (h *entryHeap) Len() int           { return len(h.entries) }
func (h *entryHeap) Less(i, j int) bool { return h.less(h.entries[i], h.entries[j]) }
func (h *entryHeap) Swap(i, j int)      { h.entries[i], h.entries[j] = h.entries[j], h.entries[i] }
func (h *entryHeap) Push(x any)         { h.entries = append(h.entries, x.(*entry)) }

func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	return e
}
