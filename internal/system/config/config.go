// Package config distributes the configuration, the operators' table of weights
// and limits, to all VMs.
//
// The configuration is one versioned document in the platform, edited by
// compare-and-set. A VM never replaces the version that it has in force by a
// lower one. One VM of each data centre polls the platform. All others learn the
// number of a new version from membership and fetch the document from a VM that
// has it in force, so that VMs that can't reach the platform get it too.
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

// Members is the view of the VMs, through which they announce the versions that
// they have in force.
type Members interface {
	// View returns the VMs with the versions that they have announced.
	View() []entity.VM
	// Changed is closed at the next change of the view.
	Changed() <-chan struct{}
	// SetConfigVersion announces the version in force on this VM.
	SetConfigVersion(version uint64)
}

// FetchFunc fetches the configuration in force on another VM by calling
// Manager.Serve there. It fails if the version is lower than atLeast.
type FetchFunc func(ctx context.Context, vm entity.VM, atLeast uint64) (*entity.Config, error)

// Options configure a Manager. Self, DC, Table, Members and Fetch are required.
type Options struct {
	Self    string // id of this VM
	DC      string
	Table   platform.Table
	Members Members
	Fetch   FetchFunc
	// PollInterval is the mean time between two polls of the platform by the
	// elected VM of the data centre, 1 s if zero.
	PollInterval time.Duration
	// Timeout bounds one request to the platform or another VM, 2 s if zero.
	Timeout time.Duration

	Clock    clock.Clock       // the system's if nil
	Recorder timeline.Recorder // none if nil
	Metrics  *metrics.Set      // a new set if nil
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

// Manager keeps the version in force on one VM up to date. It is safe for
// concurrent use.
type Manager struct {
	options Options
	inForce atomic.Pointer[entity.Config]

	// mu guards changed and loaded. It also serialises replace, so that the version
	// never decreases.
	mu      sync.Mutex
	changed chan struct{} // closed and replaced when a version comes into force
	loaded  bool          // the platform has been read since the start

	edits, stale, fetches, fetchFailures, pollFailures *metrics.Counter
}

// New returns a Manager with the empty version 0 in force.
func New(o Options) (*Manager, error) {
	if o.Self == "" || o.DC == "" || o.Table == nil || o.Members == nil || o.Fetch == nil {
		return nil, errors.New("config: options Self, DC, Table, Members and Fetch are required")
	}
	o.setDefaults()
	m := &Manager{
		options: o, changed: make(chan struct{}),
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

// Loaded reports whether this VM has a version in force, or has found that the
// platform has none yet.
func (m *Manager) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded || m.InForce().Version > 0
}

// Changed returns a channel that is closed when the next version comes into
// force.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Serve returns the version in force to another VM, or ErrOlderVersion if it is
// lower than atLeast.
func (m *Manager) Serve(atLeast uint64) (*entity.Config, error) {
	c := m.InForce()
	if c.Version < atLeast {
		return nil, fmt.Errorf("%w: have %d, asked for %d", ErrOlderVersion, c.Version, atLeast)
	}
	return c, nil
}

// install puts a version in force and announces it. It does nothing if the version
// isn't higher than the one in force, and returns an error if the table is invalid.
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
	m.options.Members.SetConfigVersion(c.Version)
	m.options.Recorder.Record(timeline.Event{Kind: timeline.ConfigApplied, Detail: fmt.Sprintf("version %d by %s", c.Version, c.Author)})
	m.options.Logger.Info("configuration in force", tag.ConfigVersion(c.Version), tag.Author(c.Author))
	return nil
}

// replace puts a version in force if it is higher than the current one, and
// reports whether it was.
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
