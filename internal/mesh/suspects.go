package mesh

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/logging/tag"
)

// Timing of the probes of suspects.
const (
	// probeTimeout is the timeout of a probe, far above the round-trip time within
	// a region.
	probeTimeout = 120 * time.Millisecond
	// initialProbeDelay is the delay before the first probe. The delay doubles
	// after each failed probe, up to maxProbeDelay.
	initialProbeDelay = 250 * time.Millisecond
	maxProbeDelay     = time.Second
)

// Suspects tracks the VMs that recently failed to answer, so that requests can skip
// them instead of waiting for each in turn. Calls of Suspected start background probes
// of a suspect until it answers one. Suspects is safe for concurrent use.
type Suspects struct {
	Client *Client
	Lag    *clock.Lag // scheduling lag of this VM, which can make others appear not to answer
	Log    *zap.Logger

	mu     sync.Mutex
	byAddr map[string]*suspect // by address; guarded by mu
}

type suspect struct {
	delay     time.Duration // between the end of the last probe and nextProbe
	nextProbe time.Time     // when the next probe is due
	probing   bool          // a probe is in progress
}

// Suspected reports whether the VM at an address is suspect and should be skipped. It
// starts a probe of a suspect whose next probe is due.
func (s *Suspects) Suspected(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byAddr[addr]
	if v == nil {
		return false
	}
	if !v.probing && time.Now().After(v.nextProbe) {
		v.probing = true
		go s.probe(addr)
	}
	return true
}

// Suspect records that the VM at an address did not answer. The cause is logged if the
// VM was not suspect before.
func (s *Suspects) Suspect(addr string, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAddr == nil {
		s.byAddr = make(map[string]*suspect)
	}
	if s.byAddr[addr] != nil {
		return
	}
	s.byAddr[addr] = &suspect{delay: initialProbeDelay, nextProbe: time.Now().Add(initialProbeDelay)}
	s.Log.Warn("VM did not answer; skipping it until it answers a probe", tag.Address(addr), tag.Error(cause))
}

// probe pings a suspect. It removes the suspect if it answers, and otherwise schedules
// the next probe.
func (s *Suspects) probe(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout+s.Lag.TimeoutExtension())
	defer cancel()
	err := s.Client.Ping(ctx, addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byAddr[addr]
	if v == nil {
		return
	}
	if err == nil {
		delete(s.byAddr, addr)
		s.Log.Info("VM answered a probe; using it again", tag.Address(addr))
		return
	}
	v.probing = false
	v.delay = min(2*v.delay, maxProbeDelay)
	v.nextProbe = time.Now().Add(v.delay)
}
