package metric

import "ibisstall.example/ibisstall/internal/timeline"

// Names of the metrics that every VM exports. Alerts use them.
const (
	// NameEvents counts the events of the time line by kind.
	NameEvents = Prefix + "events_total"
	// NameVMsAlive is the number of VMs that this VM considers alive.
	NameVMsAlive = Prefix + "vms_alive_count"
	// NameConfigVersion is the version of the configuration table in force.
	NameConfigVersion = Prefix + "config_version"
	// NamePlatformReachable is 1 while the platform responds, else 0.
	NamePlatformReachable = Prefix + "platform_reachable_count"
	// NameJournalBuffered is the number of journal records that are buffered
	// until they are written to the platform.
	NameJournalBuffered = Prefix + "journal_buffered_count"
	// NameJournalBufferFill is the fill ratio of the journal buffer, 0 to 1.
	NameJournalBufferFill = Prefix + "journal_buffer_fill_ratio"
	// NameFamiliesOwned is the number of families that this VM owns: root programs
	// with their sub-agents. The metric's own name says programs.
	NameFamiliesOwned = Prefix + "programs_owned_count"
	// NameCallsQueued is the number of calls that are queued on this VM.
	NameCallsQueued = Prefix + "calls_queued_count"
	// NameCertificateRemaining is the time until the VM's certificate for callers
	// or the one for the mesh expires, whichever is earlier.
	NameCertificateRemaining = Prefix + "certificate_remaining_seconds"
)

// VMGauges are functions that return the values of a VM's gauges. A gauge whose
// function is nil is not registered.
type VMGauges struct {
	VMsAlive             func() float64
	PlatformReachable    func() float64
	JournalBuffered      func() float64
	JournalBufferFill    func() float64
	FamiliesOwned        func() float64
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
		NameFamiliesOwned:        g.FamiliesOwned,
		NameCallsQueued:          g.CallsQueued,
		NameCertificateRemaining: g.CertificateRemaining,
	} {
		if f != nil {
			r.Gauge(name, f)
		}
	}
}

// maxEventKinds is the maximum number of event kinds with a counter of their own.
const maxEventKinds = 64

// countingRecorder counts events and passes them to the next recorder.
type countingRecorder struct {
	next        timeline.Recorder
	countByKind *CounterVec
}

// CountEvents returns a recorder that counts events by kind and passes them to
// next.
func CountEvents(r *Registry, next timeline.Recorder) timeline.Recorder {
	return &countingRecorder{next, r.CounterVec(NameEvents, "kind", maxEventKinds)}
}

// Record implements timeline.Recorder.
func (c *countingRecorder) Record(e timeline.Event) {
	c.countByKind.With(string(e.Kind)).Inc()
	c.next.Record(e)
}
