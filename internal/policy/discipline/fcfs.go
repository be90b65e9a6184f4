package discipline

import "time"

// fcfs serves calls in the order of their arrival.
type fcfs struct {
	items []Call
}

func newFCFS() *fcfs { return &fcfs{} }

// Push implements Discipline. A call that moved here from another queue keeps
// its time of arrival.
func (q *fcfs) Push(it Call) {
	i := len(q.items)
	for i > 0 && q.items[i-1].Enqueued.After(it.Enqueued) {
		i--
	}
	q.items = append(q.items, Call{})
	copy(q.items[i+1:], q.items[i:])
	q.items[i] = it
}

// Pop implements Discipline.
func (q *fcfs) Pop(time.Time) (Call, bool) {
	if len(q.items) == 0 {
		return Call{}, false
	}
	it := q.items[0]
	q.items = q.items[1:]
	return it, true
}

// Remove implements Discipline.
func (q *fcfs) Remove(id string) (Call, bool) {
	for i, it := range q.items {
		if it.ID == id {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return it, true
		}
	}
	return Call{}, false
}

// Charge implements Discipline; arrival order counts no service.
func (q *fcfs) Charge(string, int64) {}

// Len implements Discipline.
func (q *fcfs) Len() int { return len(q.items) }
