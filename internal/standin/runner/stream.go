package runner

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// stream is the buffered response of one chat call. It outlives the connection
// of the request, so that it can be resumed.
type stream struct {
	id      string // request id
	model   string
	created time.Time

	mu        sync.Mutex
	events    [][]byte // chunk bodies
	done      bool     // no more events will follow
	aborted   bool     // ended before the answer was complete
	readers   int
	idleSince time.Time     // time of the last change of readers; used only if readers is 0
	changed   chan struct{} // closed and replaced at each change
}

func newStream(id, model string) *stream {
	return &stream{id: id, model: model, created: time.Now(), idleSince: time.Now(), changed: make(chan struct{})}
}

// append adds an event.
func (s *stream) append(event []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
	s.notify()
}

// close ends the stream; aborted means that the answer is incomplete.
func (s *stream) close(aborted bool) {
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

// eventsFrom returns the events from a sequence number on, whether the stream
// has ended, and a channel that is closed at the next change.
func (s *stream) eventsFrom(seq int) (events [][]byte, done bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seq < len(s.events) {
		events = s.events[seq:]
	}
	return events, s.done, s.changed
}

func (s *stream) addReaders(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += n
	s.idleSince = time.Now()
}

// abandoned reports whether the stream has had no reader for longer than ttl.
func (s *stream) abandoned(now time.Time, ttl time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && now.Sub(s.idleSince) > ttl
}

// send writes the stream as server-sent events from a sequence number on, until
// the stream ends or the client disconnects.
func (s *stream) send(w http.ResponseWriter, r *http.Request, set *faults, fault Fault, seq int) {
	s.addReaders(1)
	defer s.addReaders(-1)
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	sent := 0
	for {
		events, done, changed := s.eventsFrom(seq)
		for _, e := range events {
			if fault.Mode != "" && sent >= fault.After {
				e = s.applyFault(r, set, fault, e)
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
		if controller.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// applyFault applies a fault to an event and returns the event to send, unless the
// fault ends the connection.
func (s *stream) applyFault(r *http.Request, set *faults, fault Fault, event []byte) []byte {
	switch fault.Mode {
	case FaultCut, FaultLost, FaultLength, FaultShort:
		panic(http.ErrAbortHandler)
	case FaultStall, FaultSilent:
		set.hang(r)
	case FaultCrossed:
		return replaceRequestID(event, s.id)
	}
	return event
}
