package front

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisstall.example/ibisstall/internal/metric"
)

// Names of the metrics of responses.
const (
	metricAnswers       = metric.Prefix + "answers_total"
	metricAnswerSeconds = metric.Prefix + "answer_seconds"
	metricOpenRequests  = metric.Prefix + "requests_open_count"
)

// maxStatuses bounds the number of status label values.
const maxStatuses = 32

// meteredHandler counts the responses of a handler by status and measures the
// time until each is complete.
type meteredHandler struct {
	next     http.Handler
	answers  *metric.CounterVec
	seconds  *metrics.Histogram
	inFlight atomic.Int64
}

// WithMetrics wraps a handler and records metrics of its responses.
func WithMetrics(r *metric.Registry, next http.Handler) http.Handler {
	m := &meteredHandler{
		next:    next,
		answers: r.CounterVec(metricAnswers, "status", maxStatuses),
		seconds: r.Histogram(metricAnswerSeconds),
	}
	r.Gauge(metricOpenRequests, func() float64 { return float64(m.inFlight.Load()) })
	return m
}

// ServeHTTP implements http.Handler.
func (m *meteredHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	m.inFlight.Add(1)
	recorder := &statusWriter{ResponseWriter: w, status: http.StatusOK}
	defer func() {
		m.inFlight.Add(-1)
		m.answers.With(strconv.Itoa(recorder.status)).Inc()
		m.seconds.UpdateDuration(started)
	}()
	m.next.ServeHTTP(recorder, r)
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}
