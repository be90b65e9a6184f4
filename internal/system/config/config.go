// Package config keeps the operators' table of weights and limits in force on
// each VM.
//
// The table is one versioned document in the platform, edited by
// compare-and-set. A version that a VM has learnt never gives way to a lower
// one. One VM of each data centre polls the platform; all others learn of a new
// version from membership and fetch the document from a VM that has it, so that
// a VM without a path to the platform gets it too.
package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/timeline"
)

// Members is the view of the fleet that the configuration spreads by.
type Members interface {
	View() []entity.VM
	// Changed is closed at the next change of the view.
	Changed() <-chan struct{}
	// SetConfigVersion tells others the version in force here.
	SetConfigVersion(version uint64)
}

// FetchFunc asks a VM for its version in force, which is at least the given
// one, or fails. Its peer answers by Manager.Serve.
type FetchFunc func(ctx context.Context, vm entity.VM, atLeast uint64) (*entity.Config, error)

// Options configure a Manager. Self, DC, Table, Members and Fetch are required.
type Options struct {
	Self    string // id of this VM
	DC      string
	Table   platform.Table
	Members Members
	Fetch   FetchFunc
	// PollInterval is the time between two polls of the platform by the VM of
	// the data centre that polls, 1 s if zero.
	PollInterval time.Duration
	// Timeout bounds one request to the platform or a peer, 2 s if zero.
	Timeout time.Duration

	Clock    clock.Clock       // the system's if nil
	Recorder timeline.Recorder // none if nil
	Metrics  *metrics.Set      // a set of its own if nil
	Logger   *zap.Logger       // none if nil
}

func (o *Options) setDefaults() {
	if o.PollInterval <= 0 {
		o.PollInterval = time.Second
	}
	if o.Timeout <= 0 {
		o.Timeout = 2 * time.Second
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}

// Manager holds the version in force on one VM. It is safe for concurrent use.
type Manager struct {
	o       Options
	inForce atomic.Pointer[entity.Config]

	mu      sync.Mutex // serialises install, so that versions only rise
	changed chan struct{}
	read    bool // the platform was read since the start

	edits, stale, fetches, fetchFailures, pollFailures *metrics.Counter
}

// New returns a manager with the empty version 0 in force.
func New(o Options) (*Manager, error) {
	if o.Self == "" || o.DC == "" || o.Table == nil || o.Members == nil || o.Fetch == nil {
		return nil, errors.New("config: own id, data centre, table, members and fetch are required")
	}
	o.setDefaults()
	m := &Manager{
		o: o, changed: make(chan struct{}),
		edits:         o.Metrics.GetOrCreateCounter("ibisstall_config_edits_total"),
		stale:         o.Metrics.GetOrCreateCounter("ibisstall_config_stale_edits_total"),
		fetches:       o.Metrics.GetOrCreateCounter("ibisstall_config_fetches_total"),
		fetchFailures: o.Metrics.GetOrCreateCounter("ibisstall_config_fetch_failures_total"),
		pollFailures:  o.Metrics.GetOrCreateCounter("ibisstall_config_poll_failures_total"),
	}
	m.inForce.Store(&entity.Config{})
	o.Metrics.GetOrCreateGauge("ibisstall_config_version", func() float64 { return float64(m.InForce().Version) })
	return m, nil
}

// InForce returns the version in force. It is shared and must not be modified.
func (m *Manager) InForce() *entity.Config { return m.inForce.Load() }

// Loaded reports whether this VM knows what is in force: it has a version, or
// has read from the platform that there is none yet.
func (m *Manager) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.read || m.InForce().Version > 0
}

// Changed returns a channel that is closed when the next version is in force.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Serve answers a peer's fetch.
func (m *Manager) Serve(atLeast uint64) (*entity.Config, error) {
	c := m.InForce()
	if c.Version < atLeast {
		return nil, fmt.Errorf("%w: have %d, asked for %d", ErrOlderVersion, c.Version, atLeast)
	}
	return c, nil
}

// install puts a version in force if it is higher than the present one, and
// tells others. It reports an invalid table.
func (m *Manager) install(c *entity.Config) error {
	if c.Version <= m.InForce().Version {
		return nil
	}
	if err := c.Validate(); err != nil {
		return fmt.Errorf("configuration version %d: %w", c.Version, err)
	}
	if !m.replace(c) {
		return nil
	}
	m.o.Members.SetConfigVersion(c.Version)
	m.o.Recorder.Record(timeline.Event{Kind: timeline.ConfigInForce, Detail: fmt.Sprintf("version %d by %s", c.Version, c.Author)})
	m.o.Logger.Info("configuration in force", tag.ConfigVersion(c.Version), tag.Author(c.Author))
	return nil
}

// replace reports whether the version was higher.
func (m *Manager) replace(c *entity.Config) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Version <= m.InForce().Version {
		return false
	}
	m.inForce.Store(c)
	close(m.changed)
	m.changed = make(chan struct{})
	return true
}
