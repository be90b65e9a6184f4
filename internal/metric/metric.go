// Package metric registers metrics under validated names. A name starts with
// ibisstall_ and ends with its unit. Each label has a limited number of values,
// so that callers can't exhaust the memory of a VM or of the monitoring system by
// sending new names.
package metric

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Prefix is the prefix of every metric name.
const Prefix = "ibisstall_"

// nameFormat lists the allowed units. The name of a counter ends with _total, that of
// a gauge of a number of objects with _count.
var nameFormat = regexp.MustCompile(`^ibisstall_[a-z][a-z0-9_]*_(total|seconds|bytes|tokens|ratio|count|version|info)$`)

var labelFormat = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// Registry holds the metrics of one VM.
type Registry struct{ set *metrics.Set }

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{set: metrics.NewSet()} }

// Set returns the underlying set, in which other packages register metrics under
// names that are not validated here.
func (r *Registry) Set() *metrics.Set { return r.set }

// mustBeValid panics if a name is invalid, which is a programming error.
func mustBeValid(name string, labels ...string) {
	if !nameFormat.MatchString(name) {
		panic(fmt.Sprintf("metric name %q must match %s", name, nameFormat))
	}
	for _, l := range labels {
		if !labelFormat.MatchString(l) {
			panic(fmt.Sprintf("label %q of metric %s must match %s", l, name, labelFormat))
		}
	}
}

// Counter returns the counter with a name, which must end with _total. It creates
// the counter on the first call.
func (r *Registry) Counter(name string) *metrics.Counter {
	mustBeValid(name)
	return r.set.GetOrCreateCounter(name)
}

// Gauge registers a gauge whose value is returned by f.
func (r *Registry) Gauge(name string, f func() float64) {
	mustBeValid(name)
	r.set.NewGauge(name, f)
}

// Histogram returns the histogram with a name, which must end with its unit. It
// creates the histogram on the first call.
func (r *Registry) Histogram(name string) *metrics.Histogram {
	mustBeValid(name)
	return r.set.GetOrCreateHistogram(name)
}

// CounterVec returns a counter with one label of at most maxValues values.
func (r *Registry) CounterVec(name, label string, maxValues int) *CounterVec {
	mustBeValid(name, label)
	return &CounterVec{vec: newVec(name, label, maxValues, r.set.GetOrCreateCounter)}
}

// HistogramVec returns a histogram with one label of at most maxValues values.
func (r *Registry) HistogramVec(name, label string, maxValues int) *HistogramVec {
	mustBeValid(name, label)
	return &HistogramVec{vec: newVec(name, label, maxValues, r.set.GetOrCreateHistogram)}
}

// CounterVec is a counter with one label.
type CounterVec struct{ vec *vec[*metrics.Counter] }

// With returns the counter of a label value.
func (v *CounterVec) With(value string) *metrics.Counter { return v.vec.with(value) }

// HistogramVec is a histogram with one label.
type HistogramVec struct{ vec *vec[*metrics.Histogram] }

// With returns the histogram of a label value.
func (v *HistogramVec) With(value string) *metrics.Histogram { return v.vec.with(value) }

// OtherValue is the label value that replaces invalid values and all values beyond
// the maximum number.
const OtherValue = "other"

// vec creates a metric for each label value that is used, up to maxValues, and one for
// OtherValue.
type vec[T any] struct {
	name, label string
	maxValues   int
	create      func(name string) T

	mu     sync.RWMutex // guards values, whose length is at most maxValues
	values map[string]T
	other  T
}

func newVec[T any](name, label string, maxValues int, create func(string) T) *vec[T] {
	v := &vec[T]{name: name, label: label, maxValues: maxValues, create: create, values: make(map[string]T)}
	v.other = v.createFor(OtherValue)
	return v
}

// createFor creates the metric of a label value. For printable text, %q escapes
// the value as the exposition format requires; with rejects other text.
func (v *vec[T]) createFor(value string) T {
	return v.create(fmt.Sprintf("%s{%s=%q}", v.name, v.label, value))
}

// with returns the metric of a label value, or that of OtherValue if the value is
// invalid or new after maxValues others.
func (v *vec[T]) with(value string) T {
	v.mu.RLock()
	m, ok := v.values[value]
	v.mu.RUnlock()
	if ok {
		return m
	}
	if !isValidLabelValue(value) {
		return v.other
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if m, ok = v.values[value]; ok {
		return m
	}
	if len(v.values) >= v.maxValues {
		return v.other
	}
	m = v.createFor(value)
	v.values[value] = m
	return m
}

// isValidLabelValue reports whether a label value is short printable ASCII.
func isValidLabelValue(value string) bool {
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

// Write writes all metrics in the Prometheus text format, followed by those of the
// process (memory, processor time, open files).
func (r *Registry) Write(w io.Writer) {
	r.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// ServeHTTP implements http.Handler for /metrics.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	r.Write(w)
}
