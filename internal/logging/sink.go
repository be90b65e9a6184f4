package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// sinkBuffer is the number of lines that wait for a slow reader of the log.
const sinkBuffer = 256

// sink is a zapcore.WriteSyncer that never blocks its callers and writes a
// bounded number of lines a second.
type sink struct {
	lines  chan []byte
	budget int // lines a second

	mu      sync.Mutex
	second  int64 // guarded by mu; Unix time of the current second
	written int   // guarded by mu; lines in it
	dropped int   // guarded by mu; lines dropped since the last line about them
}

func newSink(w io.Writer, linesPerSecond int) *sink {
	s := &sink{lines: make(chan []byte, sinkBuffer), budget: linesPerSecond}
	go func() {
		for line := range s.lines {
			// A log that can't be written has no place to say so.
			_, _ = w.Write(line)
		}
	}()
	return s
}

// Write implements io.Writer. It never fails, since a lost line must not fail
// what it tells of.
func (s *sink) Write(line []byte) (int, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Unix() != s.second {
		s.second, s.written = now.Unix(), 0
		s.report(now)
	}
	if s.written >= s.budget || !s.send(append([]byte(nil), line...)) {
		s.dropped++
		return len(line), nil
	}
	s.written++
	return len(line), nil
}

// report tells of dropped lines.
func (s *sink) report(now time.Time) {
	if s.dropped == 0 {
		return
	}
	line := fmt.Sprintf("{\"level\":\"warn\",\"time\":%q,\"message\":\"log lines dropped\",\"count\":%d}\n",
		now.UTC().Format("2006-01-02T15:04:05.000Z"), s.dropped)
	if s.send([]byte(line)) {
		s.dropped = 0
	}
}

func (s *sink) send(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

// Sync implements zapcore.WriteSyncer.
func (s *sink) Sync() error { return nil }
