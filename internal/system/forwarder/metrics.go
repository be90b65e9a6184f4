package forwarder

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisstall.example/ibisstall/internal/httpconn"
	"ibisstall.example/ibisstall/internal/metric"
)

// Limits on the number of label values of a metric.
const (
	maxRoutes   = 64
	maxStatuses = 40
	maxFramings = 4
	maxOrigins  = 3
)

// Metrics counts and times forwarded requests.
type Metrics struct {
	requests   *metric.CounterVec
	latency    *metric.HistogramVec
	queueWaits *metrics.Histogram
	resends    *metrics.Counter
	truncated  *metrics.Counter
	// interruptions counts attempts that may have run the request and whose
	// response is missing or incomplete, by the framing of the response.
	interruptions *metric.CounterVec
	// resumedStreams counts streams that callers take up, by how their version was found out.
	resumedStreams *metric.CounterVec
	// refusedKeys counts refusals for keys, by cause.
	refusedKeys *metric.CounterVec
	// unprovenDenials counts requests refused since the configuration that denies them may be outdated.
	unprovenDenials *metrics.Counter
	limitChanges    *metrics.Counter // rate limits of endpoints, as this VM learned them
}

// NewMetrics registers the metrics.
func NewMetrics(r *metric.Registry) *Metrics {
	return &Metrics{
		requests:        r.CounterVec("ibisstall_forwarded_requests_total", "status", maxStatuses),
		latency:         r.HistogramVec("ibisstall_forwarded_request_seconds", "route", maxRoutes),
		queueWaits:      r.Histogram("ibisstall_place_wait_seconds"),
		resends:         r.Counter("ibisstall_forwarded_resumes_total"),
		truncated:       r.Counter("ibisstall_forwarded_broken_total"),
		interruptions:   r.CounterVec("ibisstall_forwarded_interruptions_total", "framing", maxFramings),
		resumedStreams:  r.CounterVec("ibisstall_forwarded_streams_taken_up_total", "origin", maxOrigins),
		refusedKeys:     r.CounterVec("ibisstall_forwarded_key_refusals_total", "cause", len(refusedKeyLabels)),
		unprovenDenials: r.Counter("ibisstall_forwarded_unproven_denials_total"),
		limitChanges:    r.Counter("ibisstall_endpoint_limit_changes_total"),
	}
}

// noResponse is the framing label of attempts without a response.
const noResponse = "none"

// observeInterruption records an attempt with the outcome interrupted.
func (m *Metrics) observeInterruption(framing httpconn.Framing) {
	label := string(framing)
	if label == "" {
		label = noResponse
	}
	m.interruptions.With(label).Inc()
}

// statusLabels holds the response statuses that have label values of their own.
var statusLabels = func() map[int]string {
	m := make(map[int]string)
	for _, s := range []int{200, 400, 401, 402, 404, 413, 421, 429, 500, 502, 503, 504} {
		m[s] = string([]byte{byte('0' + s/100), byte('0' + s/10%10), byte('0' + s%10)})
	}
	return m
}()

// observe records an exchange that has ended.
func (m *Metrics) observe(x *exchange, latency time.Duration) {
	status, ok := statusLabels[x.status]
	if !ok {
		status = metric.OtherValue
	}
	m.requests.With(status).Inc()
	if x.route != nil {
		m.latency.With(x.route.Name).Update(latency.Seconds())
	}
	m.queueWaits.Update(x.queueWait.Seconds())
	m.resends.Add(x.resends)
	if x.headerSent && !x.complete {
		m.truncated.Inc()
	}
}
