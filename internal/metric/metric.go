// Package metric registers metrics under checked names. A name starts with
// ibisstall_ and ends with its unit, and each label has a bounded number of
// values, so that callers can't fill the memory of a VM or of the monitoring
// by naming new things.
package metric

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Prefix starts the name of every metric.
const Prefix = "ibisstall_"

// nameFormat lists the units: _total counts events; a gauge of things that has
// no unit ends with the things' plural, which _count stands for.
var nameFormat = regexp.MustCompile(`^ibisstall_[a-z][a-z0-9_]*_(total|seconds|bytes|tokens|ratio|count|version|info)$`)

var labelFormat = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// Registry holds the metrics of one VM.
type Registry struct{ set *metrics.Set }

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{set: metrics.NewSet()} }

// Set returns the set that packages with names of their own register in.
func (r *Registry) Set() *metrics.Set { return r.set }

// check panics on a bad name, which is a mistake in the code.
func check(name string, labels ...string) {
	if !nameFormat.MatchString(name) {
		panic(fmt.Sprintf("metric name %q must match %s", name, nameFormat))
	}
	for _, l := range labels {
		if !labelFormat.MatchString(l) {
			panic(fmt.Sprintf("label %q of metric %s must match %s", l, name, labelFormat))
		}
	}
}

// Counter returns the counter of a name, which ends with _total.
func (r *Registry) Counter(name string) *metrics.Counter {
	check(name)
	return r.set.GetOrCreateCounter(name)
}

// Gauge registers a gauge that is read by calling f.
func (r *Registry) Gauge(name string, f func() float64) {
	check(name)
	r.set.NewGauge(name, f)
}

// Histogram returns the histogram of a name, which ends with its unit.
func (r *Registry) Histogram(name string) *metrics.Histogram {
	check(name)
	return r.set.GetOrCreateHistogram(name)
}

// CounterVec returns counters told apart by one label of at most limit values.
func (r *Registry) CounterVec(name, label string, limit int) *CounterVec {
	check(name, label)
	return &CounterVec{vec: newVec(name, label, limit, r.set.GetOrCreateCounter)}
}

// HistogramVec returns histograms told apart by one label of at most limit
// values.
func (r *Registry) HistogramVec(name, label string, limit int) *HistogramVec {
	check(name, label)
	return &HistogramVec{vec: newVec(name, label, limit, r.set.GetOrCreateHistogram)}
}

// CounterVec is a counter with one label.
type CounterVec struct{ vec *vec[*metrics.Counter] }

// With returns the counter of a label value.
func (v *CounterVec) With(value string) *metrics.Counter { return v.vec.with(value) }

// HistogramVec is a histogram with one label.
type HistogramVec struct{ vec *vec[*metrics.Histogram] }

// With returns the histogram of a label value.
func (v *HistogramVec) With(value string) *metrics.Histogram { return v.vec.with(value) }

// OtherValue is the label value that takes all values beyond the limit.
const OtherValue = "other"

type vec[T any] struct {
	name, label string
	limit       int
	create      func(name string) T

	mu     sync.RWMutex // guards values, whose length stays within the limit
	values map[string]T
	other  T
}

func newVec[T any](name, label string, limit int, create func(string) T) *vec[T] {
	v := &vec[T]{name: name, label: label, limit: limit, create: create, values: make(map[string]T)}
	v.other = v.named(OtherValue)
	return v
}

// named creates the metric of a label value. %q escapes the value like the
// exposition format does for printable text; other text counts as OtherValue.
func (v *vec[T]) named(value string) T {
	return v.create(fmt.Sprintf("%s{%s=%q}", v.name, v.label, value))
}

func (v *vec[T]) with(value string) T {
	v.mu.RLock()
	m, known := v.values[value]
	v.mu.RUnlock()
	if known {
		return m
	}
	if !plain(value) {
		return v.other
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if m, known = v.values[value]; known {
		return m
	}
	if len(v.values) >= v.limit {
		return v.other
	}
	m = v.named(value)
	v.values[value] = m
	return m
}

// plain reports whether a label value is short printable ASCII.
func plain(value string) bool {
	const maxLength = 128
	if len(value) > maxLength {
		return false
	}
	for i := range len(value) {
		if value[i] < ' ' || value[i] > '~' {
			return false
		}
	}
	return true
}

// Write writes all metrics in the Prometheus text format, those of the process
// (memory, processor time, open files) last.
func (r *Registry) Write(w io.Writer) {
	r.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// ServeHTTP implements http.Handler for /metrics.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	r.Write(w)
}
