package metric

import "ibisstall.example/ibisstall/internal/timeline"

// Names of the metrics that every VM has. Alerts are built on them.
const (
	// NameEvents counts the events of the time line by kind.
	NameEvents = Prefix + "events_total"
	// NameVMsAlive is the number of VMs that this one takes for alive.
	NameVMsAlive = Prefix + "vms_alive_count"
	// NameConfigVersion is the version of the table that is in force.
	NameConfigVersion = Prefix + "config_version"
	// NamePlatformReachable is 1 while the platform answers, else 0.
	NamePlatformReachable = Prefix + "platform_reachable_count"
	// NameJournalBuffered is the number of records that wait for the platform.
	NameJournalBuffered = Prefix + "journal_buffered_count"
	// NameJournalBufferFill is the filled part of their buffer, 0 to 1.
	NameJournalBufferFill = Prefix + "journal_buffer_fill_ratio"
	// NameProgramsOwned is the number of programs that this VM owns.
	NameProgramsOwned = Prefix + "programs_owned_count"
	// NameCallsQueued is the number of calls that wait on this VM.
	NameCallsQueued = Prefix + "calls_queued_count"
	// NameCertificateRemaining is the time until the first of the VM's certificates,
	// that for callers and that between VMs, ends.
	NameCertificateRemaining = Prefix + "certificate_remaining_seconds"
)

// VMGauges are the readings of one VM. A nil function leaves its gauge out.
type VMGauges struct {
	VMsAlive             func() float64
	PlatformReachable    func() float64
	JournalBuffered      func() float64
	JournalBufferFill    func() float64
	ProgramsOwned        func() float64
	CallsQueued          func() float64
	CertificateRemaining func() float64
}

// Register registers the gauges.
func (g VMGauges) Register(r *Registry) {
	for name, f := range map[string]func() float64{
		NameVMsAlive:             g.VMsAlive,
		NamePlatformReachable:    g.PlatformReachable,
		NameJournalBuffered:      g.JournalBuffered,
		NameJournalBufferFill:    g.JournalBufferFill,
		NameProgramsOwned:        g.ProgramsOwned,
		NameCallsQueued:          g.CallsQueued,
		NameCertificateRemaining: g.CertificateRemaining,
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
