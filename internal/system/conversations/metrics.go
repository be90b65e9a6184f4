package conversations

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisstall.example/ibisstall/internal/metric"
)

const maxSources = 8

// Metrics counts and times turns that are read and kept.
type Metrics struct {
	loads       *metric.CounterVec // by source, or by why the turn wasn't read
	loadedBytes *metrics.Counter
	keeps       *metric.CounterVec // by result
	keptBytes   *metrics.Counter
	keepSeconds *metrics.Histogram
}

// NewMetrics registers the metrics.
func NewMetrics(r *metric.Registry) *Metrics {
	return &Metrics{
		loads:       r.CounterVec("ibisstall_turns_read_total", "source", maxSources),
		loadedBytes: r.Counter("ibisstall_turns_read_bytes_total"),
		keeps:       r.CounterVec("ibisstall_turns_kept_total", "result", maxSources),
		keptBytes:   r.Counter("ibisstall_turns_kept_bytes_total"),
		keepSeconds: r.Histogram("ibisstall_turns_keep_seconds"),
	}
}

// failureLabel returns the label value of a failed load.
func failureLabel(err error) string {
	switch {
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrTooLarge):
		return "too_large"
	}
	return "failed"
}

func (m *Metrics) observeLoad(source string, bytes int) {
	m.loads.With(source).Inc()
	m.loadedBytes.Add(bytes)
}

func (m *Metrics) observeKeep(err error, took time.Duration, bytes int) {
	m.keepSeconds.Update(took.Seconds())
	if err != nil {
		m.keeps.With("failed").Inc()
		return
	}
	m.keeps.With("kept").Inc()
	m.keptBytes.Add(bytes)
}
