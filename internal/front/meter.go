package front

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisstall.example/ibisstall/internal/metric"
)

// Names of the metrics of answers.
const (
	metricAnswers       = metric.Prefix + "answers_total"
	metricAnswerSeconds = metric.Prefix + "answer_seconds"
	metricOpenRequests  = metric.Prefix + "requests_open_count"
)

// maxStatuses bounds the statuses that are told apart.
const maxStatuses = 32

// meter counts the answers of a handler by status and measures the time to the
// end of each.
type meter struct {
	next    http.Handler
	answers *metric.CounterVec
	seconds *metrics.Histogram
	open    atomic.Int64
}

// WithMetrics wraps a handler with the metrics of its answers.
func WithMetrics(r *metric.Registry, next http.Handler) http.Handler {
	m := &meter{
		next:    next,
		answers: r.CounterVec(metricAnswers, "status", maxStatuses),
		seconds: r.Histogram(metricAnswerSeconds),
	}
	r.Gauge(metricOpenRequests, func() float64 { return float64(m.open.Load()) })
	return m
}

// ServeHTTP implements http.Handler.
func (m *meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	m.open.Add(1)
	seen := &statusWriter{ResponseWriter: w, status: http.StatusOK}
	defer func() {
		m.open.Add(-1)
		m.answers.With(strconv.Itoa(seen.status)).Inc()
		m.seconds.UpdateDuration(started)
	}()
	m.next.ServeHTTP(seen, r)
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// Unwrap gives http.ResponseController the writer below.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}
