package mesh

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/logging/tag"
)

// Times of the probes of a VM that did not answer.
const (
	// probeLimit is the wait for the answer to a probe; far above a round trip
	// within a region.
	probeLimit = 120 * time.Millisecond
	// firstProbe is the pause before the first probe; it doubles up to
	// longestProbe.
	firstProbe   = 250 * time.Millisecond
	longestProbe = time.Second
)

// Suspects remembers which VMs did not answer lately, so that requests don't wait
// for them one after the other. They are probed beside the requests that would
// use them. It is safe for concurrent use.
type Suspects struct {
	Client *Client
	Lag    *clock.Lag // of this VM, which may be why others seem not to answer
	Log    *zap.Logger

	mu   sync.Mutex
	list map[string]*suspect // guarded by mu, by address
}

type suspect struct {
	pause   time.Duration
	next    time.Time
	probing bool
}

// Suspected reports whether a VM should be left out, and probes it when that is
// due.
func (s *Suspects) Suspected(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.list[addr]
	if v == nil {
		return false
	}
	if !v.probing && time.Now().After(v.next) {
		v.probing = true
		go s.probe(addr)
	}
	return true
}

// Suspect notes that a VM did not answer.
func (s *Suspects) Suspect(addr string, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		s.list = make(map[string]*suspect)
	}
	if s.list[addr] != nil {
		return
	}
	s.list[addr] = &suspect{pause: firstProbe, next: time.Now().Add(firstProbe)}
	s.Log.Warn("VM does not answer", tag.Address(addr), tag.Error(cause))
}

func (s *Suspects) probe(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeLimit+s.Lag.TimeoutExtension())
	defer cancel()
	var number uint64
	err := s.Client.Call(ctx, addr, heartbeatName+".Ping", uint64(0), &number)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.list[addr]
	if v == nil {
		return
	}
	if err == nil {
		delete(s.list, addr)
		s.Log.Info("VM answers again", tag.Address(addr))
		return
	}
	v.probing = false
	v.pause = min(2*v.pause, longestProbe)
	v.next = time.Now().Add(v.pause)
}
