package vm

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/metric"
	"ibisstall.example/ibisstall/internal/tlsconf"
)

// adminServer registers this VM's gauges and returns the HTTP server for metrics
// and health checks, which listens on a separate address.
func (v *VM) adminServer() *http.Server {
	v.gauges().Register(v.metrics)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", v.metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := (&fleet{v}).Ready(); err != nil {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			// Fails only if the client has disconnected.
			_ = json.NewEncoder(w).Encode(notReady{notReadyError{Type: "not_run", Message: err.Error()}})
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: v.settings.Limits.RequestReadTimeout}
}

// notReady is the response body of a VM that is not ready.
type notReady struct {
	Error notReadyError `json:"error"`
}

type notReadyError struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

// gauges returns the gauges of this VM.
func (v *VM) gauges() metric.VMGauges {
	g := metric.VMGauges{
		VMsAlive:          func() float64 { return float64(v.AliveVMs()) },
		PlatformReachable: func() float64 { return boolGauge(v.platform.Reachable()) },
		JournalBuffered:   func() float64 { return float64(v.journal.BufferedRecords()) },
		JournalBufferFill: func() float64 {
			return float64(v.journal.BufferedRecords()) / float64(v.settings.Journal.BufferRecords)
		},
		FamiliesOwned: func() float64 { return float64(v.owner.FamilyCount()) },
	}
	g.CertificateRemaining = certificateLifetime(v.callerTLS, v.meshTLS)
	return g
}

// certificateLifetime returns a gauge of the seconds until the earliest expiry of
// the certificates. Nil sources are skipped; it returns nil if no others remain.
func certificateLifetime(sources ...*tlsconf.Source) func() float64 {
	sources = slices.DeleteFunc(sources, func(s *tlsconf.Source) bool { return s == nil })
	if len(sources) == 0 {
		return nil
	}
	return func() float64 {
		first := sources[0].Expiry()
		for _, s := range sources[1:] {
			if end := s.Expiry(); end.Before(first) {
				first = end
			}
		}
		return time.Until(first).Seconds()
	}
}

func boolGauge(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
