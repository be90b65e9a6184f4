package forwarder

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisstall.example/ibisstall/internal/metric"
)

// maxRoutes bounds the label values of the meters by route.
const maxRoutes = 64

// Metrics count what becomes of requests.
type Metrics struct {
	byStatus *metric.CounterVec
	latency  *metric.HistogramVec
	waits    *metrics.Histogram
	resumed  *metrics.Counter
	broken   *metrics.Counter
}

// NewMetrics registers the meters.
func NewMetrics(r *metric.Registry) *Metrics {
	return &Metrics{
		byStatus: r.CounterVec("ibisstall_forwarded_requests_total", "status", 40),
		latency:  r.HistogramVec("ibisstall_forwarded_request_seconds", "route", maxRoutes),
		waits:    r.Histogram("ibisstall_place_wait_seconds"),
		resumed:  r.Counter("ibisstall_forwarded_resumes_total"),
		broken:   r.Counter("ibisstall_forwarded_broken_total"),
	}
}

var statusText = func() map[int]string {
	m := make(map[int]string)
	for _, s := range []int{200, 400, 402, 404, 413, 421, 429, 500, 502, 503, 504} {
		m[s] = string([]byte{byte('0' + s/100), byte('0' + s/10%10), byte('0' + s%10)})
	}
	return m
}()

func (m *Metrics) observe(x *exchange, took time.Duration) {
	status, ok := statusText[x.status]
	if !ok {
		status = metric.Other
	}
	m.byStatus.With(status).Inc()
	if x.route != nil {
		m.latency.With(x.route.Name).Update(took.Seconds())
	}
	m.waits.Update(x.waited.Seconds())
	m.resumed.Add(x.resumes)
	if x.started && !x.done {
		m.broken.Inc()
	}
}
