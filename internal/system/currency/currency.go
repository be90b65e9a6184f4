// Package currency knows how recent the configuration in force is. A key that was taken away
// must not work for longer than a bound at any VM, also at one that hears of no changes or was
// paused. So a request may run only if the configuration was known to be the newest one at a
// moment that lies no further back than the bound when the request arrived.
package currency

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/metric"
)

const (
	// clockTolerance is the part of the bound that is left over for clocks that run at
	// different rates.
	clockTolerance = 0.02
	// silentRatio is the part of the bound after which the configuration is read beside the
	// feed. The rest leaves time for several attempts.
	silentRatio = 0.6
	// calmRatio is the largest age of the configuration, as a part of the bound, while its feed
	// responds: a VM that is cut off then serves callers for the rest of the bound.
	calmRatio = 0.4
	// minFeedWait and maxFeedWait bound FeedWait.
	minFeedWait = 100 * time.Millisecond
	maxFeedWait = time.Second
	// readTimeout bounds a read, which may be passed on by other VMs.
	readTimeout = time.Second
	// confirmTimeout bounds the wait of a request for a read.
	confirmTimeout = 300 * time.Millisecond
	// readInterval is the shortest time between the starts of two reads that requests wait for:
	// callers must not decide how often the store is read.
	readInterval = 50 * time.Millisecond
	// initialBackoff and maxBackoff bound the pause after a failed read, which doubles with
	// each further failure.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	// minPause is the shortest pause between two looks at whether a read is due.
	minPause = 20 * time.Millisecond
	// idleBounds times the bound is the time after the last request from which the
	// configuration isn't read beside the feed any more.
	idleBounds = 4
)

// ErrUnconfirmed means that keys may have been taken away that this VM doesn't know of.
var ErrUnconfirmed = errors.New("configuration not confirmed")

// StaleError wraps ErrUnconfirmed.
type StaleError struct {
	// Age is the time since the configuration was last confirmed; 0 if it never was.
	Age time.Duration
}

// Error implements error.
func (e *StaleError) Error() string {
	if e.Age == 0 {
		return fmt.Sprintf("%v: never since the start", ErrUnconfirmed)
	}
	return fmt.Sprintf("%v for %s", ErrUnconfirmed, e.Age.Round(time.Millisecond))
}

// Unwrap returns ErrUnconfirmed.
func (*StaleError) Unwrap() error { return ErrUnconfirmed }

// Config is the configuration of this VM.
type Config interface {
	// Read reads the configuration, also through other VMs, and puts it in force. It returns
	// nil only if the newest configuration at the time of the call, or a newer one, is in force.
	Read(ctx context.Context) error
	// InForce returns the row of the configuration in force, or an error if a newer one is known.
	InForce() (version uint64, row []byte, err error)
	// Adopt puts a row in force that another VM has in force.
	Adopt(version uint64, row []byte) error
}

// Monitor knows when the configuration in force was last known to be the newest one. It is
// safe for concurrent use.
type Monitor struct {
	// Bound is how long a key may be used after it was taken away; 0 if there is no bound.
	Bound  time.Duration
	Config Config
	// Others asks other VMs how recent their configurations are; nil where there are none.
	Others func(VouchRequest) []Vouch
	// Clock goes on while the VM is suspended.
	Clock   clock.Clock
	Log     *zap.Logger
	Metrics *Metrics

	mu          sync.Mutex
	confirmed   bool          // guarded by mu; the configuration was confirmed since the start
	confirmedAt time.Duration // guarded by mu; start of the latest read that confirmed it
	asked       bool          // guarded by mu; a request has come
	askedAt     time.Duration // guarded by mu; when the last one came
	reading     chan struct{} // guarded by mu; closed at the end of the read under way; nil if there is none
	backoff     time.Duration // guarded by mu; 0 unless the last read failed
	readAgainAt time.Duration // guarded by mu; end of the pause after a failed read
	hasRead     bool          // guarded by mu; a read has begun
	readBeganAt time.Duration // guarded by mu; when the last one began
}

// FeedWait returns how long the feed of the configuration may hold a call, with a pause
// between two calls: an answer confirms the start of its call and is in force until the next.
func FeedWait(bound, pause time.Duration) time.Duration {
	wait := (time.Duration(float64(bound)*calmRatio) - pause) / 2
	return min(max(minFeedWait, wait), maxFeedWait)
}

// Metrics counts reads beside the feed.
type Metrics struct{ reads *metric.CounterVec }

// Values of the result label of reads.
const (
	readConfirmed = "confirmed"
	readVouched   = "vouched" // another VM's read was more recent
	readFailed    = "failed"
	readResults   = 3
)

// Register registers the metrics of a monitor.
func (m *Monitor) Register(r *metric.Registry) {
	m.Metrics = &Metrics{reads: r.CounterVec("ibisstall_config_reads_total", "result", readResults)}
	r.Gauge("ibisstall_config_confirmed_age_seconds", func() float64 { return m.Age().Seconds() })
}

// Confirmed records that the newest configuration at a time, on Clock, or a newer one is in force.
func (m *Monitor) Confirmed(at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirm(at)
}

// confirm is Confirmed with mu held.
func (m *Monitor) confirm(at time.Duration) {
	if !m.confirmed || at > m.confirmedAt {
		m.confirmed, m.confirmedAt = true, at
	}
	m.backoff = 0
}

// Age returns the time since the configuration was last confirmed, 0 if it never was.
func (m *Monitor) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.age()
}

func (m *Monitor) age() time.Duration {
	if !m.confirmed {
		return 0
	}
	return max(1, m.Clock.Now()-m.confirmedAt)
}

// Confirm implements forwarder.ConfigConfirmer. It waits for a read for a short time, unless
// the last one failed. The error is a *StaleError.
func (m *Monitor) Confirm(ctx context.Context, arrived time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked, m.askedAt = true, max(m.askedAt, arrived)
	if m.Bound == 0 {
		return nil
	}
	return m.await(ctx, arrived-time.Duration(float64(m.Bound)*(1-clockTolerance)))
}

// ConfirmSince implements forwarder.ConfigConfirmer. It waits like Confirm.
func (m *Monitor) ConfirmSince(ctx context.Context, since time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.await(ctx, since)
}

// await waits until the configuration was confirmed at a time or later, unless the last read
// failed. The error is a *StaleError; mu is held.
func (m *Monitor) await(ctx context.Context, since time.Duration) error {
	if m.confirmedSince(since) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if m.backoff > 0 && (m.reading != nil || m.Clock.Now() < m.readAgainAt) {
			break // there is no way at present
		}
		if pause := m.readBeganAt + readInterval - m.Clock.Now(); m.reading == nil && m.hasRead && pause > 0 {
			m.mu.Unlock()
			clock.Sleep(ctx, pause)
			m.mu.Lock()
			continue
		}
		done := m.read()
		m.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		m.mu.Lock()
		if m.confirmedSince(since) {
			return nil
		}
	}
	return &StaleError{Age: m.age()}
}

// confirmedSince reports whether the configuration was confirmed at a time or later; mu is held.
func (m *Monitor) confirmedSince(since time.Duration) bool {
	return m.confirmed && m.confirmedAt >= since
}

// read starts a read unless one is under way, and returns the channel that is closed at its
// end; mu is held.
func (m *Monitor) read() <-chan struct{} {
	if m.reading == nil {
		m.reading = make(chan struct{})
		m.hasRead, m.readBeganAt = true, m.Clock.Now()
		go m.runRead(m.readBeganAt)
	}
	return m.reading
}

// runRead makes the read that began at a time.
func (m *Monitor) runRead(began time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	err := m.Config.Read(ctx)
	var vouchedAt time.Duration
	var vouched bool
	if err != nil {
		vouchedAt, vouched = m.askOthers()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.reading)
	m.reading = nil
	if err == nil {
		m.confirm(began)
		m.Metrics.reads.With(readConfirmed).Inc()
		m.Log.Info("configuration confirmed by a read beside its feed", tag.Duration(m.Clock.Now()-began))
		return
	}
	result := readFailed
	if vouched && vouchedAt > m.confirmedAt {
		result = readVouched
		m.confirmed, m.confirmedAt = true, vouchedAt
		m.Log.Info("configuration confirmed by another VM's last read", tag.Age(m.age()))
	}
	m.Metrics.reads.With(result).Inc()
	if m.backoff == 0 && result == readFailed {
		m.Log.Warn("configuration not confirmed; requests with keys are refused once its age reaches the bound",
			tag.Age(m.age()), tag.Error(err))
	}
	m.backoff = min(max(initialBackoff, 2*m.backoff), maxBackoff)
	m.readAgainAt = m.Clock.Now() + m.backoff
}

// Run reads the configuration while its feed is silent and requests come, until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for clock.Sleep(ctx, m.untilRead()) {
		m.mu.Lock()
		due := m.due()
		var done <-chan struct{}
		if due {
			done = m.read()
		}
		m.mu.Unlock()
		if !due {
			continue
		}
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
}

// silence is the age of the configuration from which it is read beside the feed.
func (m *Monitor) silence() time.Duration { return time.Duration(float64(m.Bound) * silentRatio) }

// inUse reports whether requests come; mu is held.
func (m *Monitor) inUse() bool { return m.asked && m.Clock.Now()-m.askedAt < idleBounds*m.Bound }

// due reports whether the configuration is to be read beside the feed; mu is held.
func (m *Monitor) due() bool {
	now := m.Clock.Now()
	return m.confirmed && m.inUse() && now-m.confirmedAt >= m.silence() && (m.backoff == 0 || now >= m.readAgainAt)
}

// untilRead returns the time until a read may be due.
func (m *Monitor) untilRead() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.confirmed || !m.inUse() {
		return m.silence()
	}
	now := m.Clock.Now()
	wait := m.confirmedAt + m.silence() - now
	if m.backoff > 0 {
		wait = max(wait, m.readAgainAt-now)
	}
	return max(minPause, wait)
}
