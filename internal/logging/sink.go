package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// sinkBufferLines is the number of lines that are buffered for a slow writer.
const sinkBufferLines = 256

// sink is a zapcore.WriteSyncer that never blocks its callers and writes a limited
// number of lines per second.
type sink struct {
	lines        chan []byte
	maxPerSecond int // lines per second

	mu      sync.Mutex
	second  int64 // guarded by mu; Unix time of the current second
	written int   // guarded by mu; lines in the current second
	dropped int   // guarded by mu; lines dropped since they were last reported
}

// newSink returns a sink that writes to w in a goroutine, which never ends.
func newSink(w io.Writer, linesPerSecond int) *sink {
	s := &sink{lines: make(chan []byte, sinkBufferLines), maxPerSecond: linesPerSecond}
	go func() {
		for line := range s.lines {
			// A write error can't be reported: the log is the only output.
			_, _ = w.Write(line)
		}
	}()
	return s
}

// Write implements io.Writer. It never fails, since a dropped line must not make
// the logged operation fail.
func (s *sink) Write(line []byte) (int, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Unix() != s.second {
		s.second, s.written = now.Unix(), 0
		s.reportDropped(now)
	}
	if s.written >= s.maxPerSecond || !s.enqueue(append([]byte(nil), line...)) {
		s.dropped++
		return len(line), nil
	}
	s.written++
	return len(line), nil
}

// reportDropped enqueues a line with the number of dropped lines, if any. The caller
// holds mu.
func (s *sink) reportDropped(now time.Time) {
	if s.dropped == 0 {
		return
	}
	line := fmt.Sprintf("{\"level\":\"warn\",\"time\":%q,\"message\":\"log lines dropped\",\"count\":%d}\n",
		now.UTC().Format("2006-01-02T15:04:05.000Z"), s.dropped)
	if s.enqueue([]byte(line)) {
		s.dropped = 0
	}
}

// enqueue reports whether the line was enqueued. It returns false if the buffer is full.
func (s *sink) enqueue(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

// Sync implements zapcore.WriteSyncer. It does not wait for buffered lines.
func (s *sink) Sync() error { return nil }
