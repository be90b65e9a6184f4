package runner

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// stream is the buffered answer of one chat call. It outlives the connection
// that it was asked over, so that it can be resumed.
type stream struct {
	id    string // request id
	model string
	made  time.Time

	mu      sync.Mutex
	events  [][]byte // chunk bodies
	done    bool     // no more events
	aborted bool     // ended before its answer was whole
	readers int
	left    time.Time     // instant at which the last reader left
	changed chan struct{} // closed at each change
}

func newStream(id, model string) *stream {
	return &stream{id: id, model: model, made: time.Now(), left: time.Now(), changed: make(chan struct{})}
}

// append adds an event.
func (s *stream) append(event []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
	s.notify()
}

// end ends the stream; aborted tells that its answer is not whole.
func (s *stream) end(aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	s.aborted = aborted
	s.notify()
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// from returns the events from a number on, whether they are the last, and a
// channel that is closed at the next change.
func (s *stream) from(seq int) (events [][]byte, done bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seq < len(s.events) {
		events = s.events[seq:]
	}
	return events, s.done, s.changed
}

func (s *stream) join(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += n
	s.left = time.Now()
}

// abandoned reports whether nobody has read the stream for a time.
func (s *stream) abandoned(now time.Time, keep time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && now.Sub(s.left) > keep
}

// send writes the stream as server-sent events from a number on, until its
// end or the client's.
func (s *stream) send(w http.ResponseWriter, r *http.Request, f *faults, c Fault, seq int) {
	s.join(1)
	defer s.join(-1)
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	sent := 0
	for {
		events, done, changed := s.from(seq)
		for _, e := range events {
			if c.Mode != "" && sent >= c.After {
				e = s.fault(r, f, c, e)
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", seq, e); err != nil {
				return
			}
			seq++
			sent++
		}
		if done && s.aborted {
			panic(http.ErrAbortHandler)
		}
		if done {
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
			return
		}
		if flush.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// fault carries out a fault in the middle of a stream.
func (s *stream) fault(r *http.Request, f *faults, c Fault, event []byte) []byte {
	switch c.Mode {
	case FaultCut, FaultLost, FaultLength, FaultShort:
		panic(http.ErrAbortHandler)
	case FaultStall, FaultSilent:
		f.hang(r)
	case FaultCrossed:
		return crossID(event, s.id)
	}
	return event
}
