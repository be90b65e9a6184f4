package discipline

import (
	"container/heap"
	"time"
)

// FairConfig sets the fair discipline.
type FairConfig struct {
	// AgeingRate is the attained service, in tokens, that a second of waiting
	// makes up for.
	AgeingRate float64
	// MaxAttained is the attained service, in tokens, above which programs
	// are no longer told apart.
	MaxAttained int64
	// UrgentFactor says when a call is near its deadline: the time left is
	// below this multiple of its expected run time.
	UrgentFactor float64
}

// DefaultFairConfig returns the settings in use.
func DefaultFairConfig() FairConfig {
	return FairConfig{AgeingRate: 2000, MaxAttained: 60_000, UrgentFactor: 3}
}

// MaxOvertakeTime is the longest time in which a call can be overtaken by later
// calls of its workspace that are not near their deadlines: waiting so long
// makes up for any attained service.
func (c FairConfig) MaxOvertakeTime() time.Duration {
	return time.Duration(float64(c.MaxAttained) / c.AgeingRate * float64(time.Second))
}

// fair shares an endpoint between workspaces by start-time fair queuing, and
// within a workspace serves the program family that has had the least service,
// with ageing.
//
// Between workspaces: while two workspaces i and j both have calls waiting,
// the service charged to them per weight differs by at most
// max(cost)/weight(i) + max(cost)/weight(j) (Goyal, Vin and Cheng, 1996).
//
// Within a workspace: a waiting call's rank is its attained service less
// AgeingRate for each second of waiting. All calls age alike, so the rank is
// fixed at arrival, and after OvertakeBound no later call goes before it.
//
// Calls near their deadlines go first, but at most every other time, which at
// most doubles the bounds above.
type fair struct {
	cfg       FairConfig
	epoch     time.Time // of the ranks; the first arrival
	flows     map[string]*flow
	byID      map[string]*entry
	deadlines entryHeap
	virtual   float64 // virtual time: start tag of the last call served
	lastUrged bool    // the last call served was taken for its deadline
}

// flow is the backlog of one workspace.
type flow struct {
	weight  float64
	finish  float64 // finish tag of the last call served, tokens per weight
	waiting entryHeap
}

// entry is a waiting call in the heap of its workspace and, if it has a
// deadline, in the heap of deadlines.
type entry struct {
	item Call
	flow *flow
	rank float64 // tokens; lower goes first
	gone bool    // served or removed; heaps drop it when it surfaces
}

func newFair(cfg FairConfig) *fair {
	return &fair{
		cfg:       cfg,
		flows:     make(map[string]*flow),
		byID:      make(map[string]*entry),
		deadlines: entryHeap{less: earlierDeadline},
	}
}

// Push implements Discipline.
func (q *fair) Push(it Call) {
	if q.epoch.IsZero() {
		q.epoch = it.Enqueued
	}
	f := q.flowOf(it.Workspace)
	f.weight = max(it.Weight, minWeight)
	if f.head() == nil {
		f.finish = max(f.finish, q.virtual)
	}
	e := &entry{item: it, flow: f, rank: q.rank(it)}
	q.byID[it.ID] = e
	heap.Push(&f.waiting, e)
	if !it.Deadline.IsZero() {
		heap.Push(&q.deadlines, e)
	}
}

// minWeight keeps service per weight finite.
const minWeight = 1e-6

func (q *fair) flowOf(workspace string) *flow {
	f := q.flows[workspace]
	if f == nil {
		f = &flow{waiting: entryHeap{less: lowerRank}}
		q.flows[workspace] = f
	}
	return f
}

func (q *fair) rank(it Call) float64 {
	attained := float64(min(it.Attained, q.cfg.MaxAttained))
	return attained + q.cfg.AgeingRate*it.Enqueued.Sub(q.epoch).Seconds()
}

// Pop implements Discipline.
func (q *fair) Pop(now time.Time) (Call, bool) {
	e := q.urgent(now)
	q.lastUrged = e != nil
	if e == nil {
		e = q.next()
	}
	if e == nil {
		return Call{}, false
	}
	q.serve(e)
	return e.item, true
}

// urgent returns the call with the earliest deadline that is near but can
// still be met, unless the last call was taken so.
func (q *fair) urgent(now time.Time) *entry {
	if q.lastUrged {
		return nil
	}
	for q.deadlines.Len() > 0 {
		e := q.deadlines.entries[0]
		left := e.item.Deadline.Sub(now)
		switch {
		case e.gone, left < e.item.Expected:
			heap.Pop(&q.deadlines)
		case float64(left) < q.cfg.UrgentFactor*float64(e.item.Expected):
			return e
		default:
			return nil
		}
	}
	return nil
}

// next returns the lowest-ranked call of the workspace with the least service
// per weight.
func (q *fair) next() *entry {
	var best *flow
	var bestName string
	for name, f := range q.flows {
		if f.head() == nil {
			continue
		}
		if best == nil || f.finish < best.finish || f.finish == best.finish && name < bestName {
			best, bestName = f, name
		}
	}
	if best == nil {
		return nil
	}
	q.virtual = max(q.virtual, best.finish)
	return best.head()
}

// head returns the lowest-ranked waiting call.
func (f *flow) head() *entry {
	for f.waiting.Len() > 0 {
		e := f.waiting.entries[0]
		if !e.gone {
			return e
		}
		heap.Pop(&f.waiting)
	}
	return nil
}

func (q *fair) serve(e *entry) {
	q.drop(e)
	e.flow.finish += float64(e.item.Cost) / e.flow.weight
	q.forgetIdle()
}

// forgetIdle drops workspaces that have nothing waiting and no service ahead
// of virtual time, so that the table stays as small as the set of active ones.
func (q *fair) forgetIdle() {
	const keep = 1024
	if len(q.flows) < keep {
		return
	}
	for name, f := range q.flows {
		if f.head() == nil && f.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
}

func (q *fair) drop(e *entry) {
	e.gone = true
	delete(q.byID, e.item.ID)
	e.flow.head() // let go of entries that are gone
}

// Remove implements Discipline.
func (q *fair) Remove(id string) (Call, bool) {
	e := q.byID[id]
	if e == nil {
		return Call{}, false
	}
	q.drop(e)
	return e.item, true
}

// Charge implements Discipline.
func (q *fair) Charge(workspace string, delta int64) {
	f := q.flows[workspace]
	if f == nil || f.weight == 0 {
		return
	}
	f.finish += float64(delta) / f.weight
}

// Len implements Discipline.
func (q *fair) Len() int { return len(q.byID) }

func lowerRank(a, b *entry) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.item.ID < b.item.ID
}

func earlierDeadline(a, b *entry) bool { return a.item.Deadline.Before(b.item.Deadline) }

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
