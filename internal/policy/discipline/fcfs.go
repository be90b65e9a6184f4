package discipline

import "time"

// fcfsQueue serves calls in order of arrival.
type fcfsQueue struct {
	calls []Call
}

func newFCFSQueue() *fcfsQueue { return &fcfsQueue{} }

// Push implements Discipline. It inserts the call in order of arrival time: a call
// that was moved from another endpoint's queue keeps its arrival time and may be
// older than calls that already wait.
func (q *fcfsQueue) Push(call Call) {
	i := len(q.calls)
	for i > 0 && q.calls[i-1].Enqueued.After(call.Enqueued) {
		i--
	}
	q.calls = append(q.calls, Call{})
	copy(q.calls[i+1:], q.calls[i:])
	q.calls[i] = call
}

// Pop implements Discipline.
func (q *fcfsQueue) Pop(time.Time) (Call, bool) {
	if len(q.calls) == 0 {
		return Call{}, false
	}
	call := q.calls[0]
	q.calls = q.calls[1:]
	return call, true
}

// Remove implements Discipline.
func (q *fcfsQueue) Remove(id string) (Call, bool) {
	for i, call := range q.calls {
		if call.ID == id {
			q.calls = append(q.calls[:i], q.calls[i+1:]...)
			return call, true
		}
	}
	return Call{}, false
}

// Charge implements Discipline. Arrival order doesn't depend on service, so it
// does nothing.
func (q *fcfsQueue) Charge(string, int64) {}

// Len implements Discipline.
func (q *fcfsQueue) Len() int { return len(q.calls) }
