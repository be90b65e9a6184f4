package metric

import "ibisstall.example/ibisstall/internal/timeline"

// Names of the metrics that every VM has. Alerts are built on them.
const (
	// NameEvents counts the events of the time line by kind.
	NameEvents = Prefix + "events_total"
	// NameVMs is the number of VMs that this one takes for alive.
	NameVMs = Prefix + "vms_alive_count"
	// NameConfigVersion is the version of the table that is in force.
	NameConfigVersion = Prefix + "config_version"
	// NamePlatformReachable is 1 while the platform answers, else 0.
	NamePlatformReachable = Prefix + "platform_reachable_count"
	// NameBuffered is the number of records that wait for the platform.
	NameBuffered = Prefix + "journal_buffered_count"
	// NameBufferFill is the filled part of their buffer, 0 to 1.
	NameBufferFill = Prefix + "journal_buffer_fill_ratio"
	// NamePrograms is the number of programs that this VM owns.
	NamePrograms = Prefix + "programs_owned_count"
	// NameQueued is the number of calls that wait on this VM.
	NameQueued = Prefix + "calls_queued_count"
	// NameCertificateEnd is the time until the first of the VM's certificates,
	// that for callers and that between VMs, ends.
	NameCertificateEnd = Prefix + "certificate_remaining_seconds"
)

// VMGauges are the readings of one VM. A nil function leaves its gauge out.
type VMGauges struct {
	VMs               func() float64
	PlatformReachable func() float64
	Buffered          func() float64
	BufferFill        func() float64
	Programs          func() float64
	Queued            func() float64
	CertificateEnd    func() float64
}

// Register registers the gauges.
func (g VMGauges) Register(r *Registry) {
	for name, f := range map[string]func() float64{
		NameVMs:               g.VMs,
		NamePlatformReachable: g.PlatformReachable,
		NameBuffered:          g.Buffered,
		NameBufferFill:        g.BufferFill,
		NamePrograms:          g.Programs,
		NameQueued:            g.Queued,
		NameCertificateEnd:    g.CertificateEnd,
	} {
		if f != nil {
			r.Gauge(name, f)
		}
	}
}

// maxEventKinds bounds the kinds of events that are told apart.
const maxEventKinds = 64

// countingRecorder counts events and passes them on.
type countingRecorder struct {
	next  timeline.Recorder
	kinds *CounterVec
}

// CountEvents returns a recorder that counts events by kind and passes them on
// to next.
func CountEvents(r *Registry, next timeline.Recorder) timeline.Recorder {
	return &countingRecorder{next, r.CounterVec(NameEvents, "kind", maxEventKinds)}
}

// Record implements timeline.Recorder.
func (c *countingRecorder) Record(e timeline.Event) {
	c.kinds.With(string(e.Kind)).Inc()
	c.next.Record(e)
}
