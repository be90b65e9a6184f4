package vm

import (
	"net/http"
	"time"

	"ibisstall.example/ibisstall/internal/metric"
)

// adminServer serves metrics and health on an address of its own.
func (v *VM) adminServer() *http.Server {
	v.gauges().Register(v.metrics)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", v.metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := (&fleet{v}).Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: v.s.Limits.SlowSender}
}

// gauges are this VM's readings.
func (v *VM) gauges() metric.VMGauges {
	g := metric.VMGauges{
		VMs:               func() float64 { return float64(v.Peers()) },
		ConfigVersion:     func() float64 { return float64(v.config().Version) },
		PlatformReachable: func() float64 { return flag(v.platform.Reachable()) },
		Buffered:          func() float64 { return float64(v.journal.Buffered()) },
		BufferFill: func() float64 {
			return float64(v.journal.Buffered()) / float64(v.s.Journal.BufferRecords)
		},
		Programs: func() float64 { return float64(v.owner.Owned()) },
	}
	if v.callerTLS != nil {
		g.CertificateEnd = func() float64 { return time.Until(v.callerTLS.Expiry()).Seconds() }
	}
	return g
}

func flag(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
