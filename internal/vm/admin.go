package vm

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/metric"
	"ibisstall.example/ibisstall/internal/tlsconf"
)

// adminServer serves metrics and health on an address of its own.
func (v *VM) adminServer() *http.Server {
	v.gauges().Register(v.metrics)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", v.metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := (&fleet{v}).Ready(); err != nil {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			// The asker has gone if this fails.
			_ = json.NewEncoder(w).Encode(notReady{notReadyError{Type: "not_run", Message: err.Error()}})
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: v.s.Limits.RequestReadTimeout}
}

// notReady is the body of an answer that the VM is not ready.
type notReady struct {
	Error notReadyError `json:"error"`
}

type notReadyError struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

// gauges are this VM's readings.
func (v *VM) gauges() metric.VMGauges {
	g := metric.VMGauges{
		VMs:               func() float64 { return float64(v.Peers()) },
		PlatformReachable: func() float64 { return flag(v.platform.Reachable()) },
		Buffered:          func() float64 { return float64(v.journal.Buffered()) },
		BufferFill: func() float64 {
			return float64(v.journal.Buffered()) / float64(v.s.Journal.BufferRecords)
		},
		Programs: func() float64 { return float64(v.owner.FamilyCount()) },
	}
	g.CertificateEnd = certificateEnd(v.callerTLS, v.meshTLS)
	return g
}

// certificateEnd returns the reading of the time until the first of the
// certificates ends; nil if there is none.
func certificateEnd(sources ...*tlsconf.Source) func() float64 {
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

func flag(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
