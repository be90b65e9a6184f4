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
	keeps       *metric.CounterVec // by the way into the table
	relayed     *metrics.Counter   // written for other VMs
	keptBytes   *metrics.Counter
	swept       *metrics.Counter // rows deleted after their lifetime
	keepSeconds *metrics.Histogram
}

// NewMetrics registers the metrics.
func NewMetrics(r *metric.Registry) *Metrics {
	return &Metrics{
		loads:       r.CounterVec("ibisstall_turns_read_total", "source", maxSources),
		loadedBytes: r.Counter("ibisstall_turns_read_bytes_total"),
		keeps:       r.CounterVec("ibisstall_turns_kept_total", "place", maxSources),
		relayed:     r.Counter("ibisstall_turns_relayed_total"),
		keptBytes:   r.Counter("ibisstall_turns_kept_bytes_total"),
		swept:       r.Counter("ibisstall_turns_swept_total"),
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

func (m *Metrics) observeKeep(p place, err error, took time.Duration, bytes int) {
	m.keepSeconds.Update(took.Seconds())
	m.keeps.With(string(p)).Inc()
	if err == nil {
		m.keptBytes.Add(bytes)
	}
}
