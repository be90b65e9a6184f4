package metric

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/timeline"
)

func TestCounterVec_LimitsTheLabelValues(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	v := r.CounterVec("ibisstall_calls_total", "workspace", 3)
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			for i := range 100 {
				v.With(fmt.Sprint("w", (i+worker)%10)).Inc()
			}
		})
	}
	wg.Wait()
	v.With("line\nbreak").Inc()
	var out strings.Builder
	r.set.WritePrometheus(&out)
	lines := strings.Count(out.String(), "ibisstall_calls_total{")
	is.Equal(lines, 4)                                 // three values and other
	is.Equal(v.With(OtherValue).Get(), uint64(4*70+1)) // 70 of each worker's 100 increments, and the invalid value
}

func TestRegistry_PanicsOnNamesWithoutPrefixOrUnit(t *testing.T) {
	for _, name := range []string{"calls_total", "ibisstall_calls", "ibisstall_Calls_total", `ibisstall_calls_total{a="b"}`} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			defer func() { is.True(recover() != nil) }()
			NewRegistry().Counter(name)
		})
	}
}

func TestRegistry_ServesAllMetrics(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Counter("ibisstall_turns_total").Add(7)
	r.Gauge("ibisstall_buffer_bytes", func() float64 { return 5 })
	r.Histogram("ibisstall_turn_seconds").Update(0.5)
	r.HistogramVec("ibisstall_call_seconds", "kind", 3).With("tool").Update(1)
	rec := httptest.NewRecorder()
	r.ServeHTTP(rec, nil)
	for _, want := range []string{"ibisstall_turns_total 7", "ibisstall_buffer_bytes 5", "ibisstall_turn_seconds_count 1", `ibisstall_call_seconds_count{kind="tool"} 1`, "process_resident_memory_bytes"} {
		is.True(strings.Contains(rec.Body.String(), want))
	}
}

func TestCountEvents_CountsByKindAndPassesEventsOn(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	ring := timeline.NewRing("vm1", 10, timeline.NewClock(time.Now))
	rec := CountEvents(r, ring)
	rec.Record(timeline.Event{Kind: timeline.LeaseLost})
	rec.Record(timeline.Event{Kind: timeline.LeaseLost})
	is.Equal(len(ring.Events(timeline.Filter{})), 2)
	var out strings.Builder
	r.Write(&out)
	is.True(strings.Contains(out.String(), `ibisstall_events_total{kind="lease lost"} 2`))
}

func TestVMGauges_RegistersOnlyNonNilGauges(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	VMGauges{VMsAlive: func() float64 { return 24 }}.Register(r)
	var out strings.Builder
	r.Write(&out)
	is.True(strings.Contains(out.String(), NameVMsAlive+" 24"))
	is.True(!strings.Contains(out.String(), NameCallsQueued))
}
