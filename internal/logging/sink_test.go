package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowWriter blocks writes until it is released.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *slowWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

func (w *slowWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

func TestNewRateLimited_NeverBlocksAndLimitsTheRate(t *testing.T) {
	is := is.New(t)
	const linesPerSecond = 50
	w := &slowWriter{release: make(chan struct{})}
	log, err := NewRateLimited(w, "info", "vm-1", "dc-1", linesPerSecond)
	is.NoErr(err)
	start := time.Now()
	for range 10 * sinkBufferLines {
		log.Info("request") // would hang on a blocking sink
	}
	close(w.release)
	for deadline := time.Now().Add(10 * time.Second); !strings.Contains(w.text(), "log lines dropped"); {
		if time.Now().After(deadline) {
			t.Fatal("the number of dropped lines was not logged")
		}
		time.Sleep(10 * time.Millisecond)
		log.Info("later")
	}
	seconds := int(time.Since(start).Seconds()) + 2 // including the first and last, which are partial
	is.True(strings.Count(w.text(), `"message":"request"`) <= seconds*linesPerSecond)
	is.True(strings.Contains(w.text(), `"vm":"vm-1"`))
}
