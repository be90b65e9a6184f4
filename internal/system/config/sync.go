package config

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/policy/ownership"
)

// Run keeps the version in force up to date, from the platform and from other
// VMs, until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.pollLoop(ctx) })
	wg.Go(func() { m.fetchLoop(ctx) })
	wg.Wait()
}

// pollLoop polls the platform whenever an interval has passed and shouldPoll reports
// true. The intervals vary randomly by a quarter around PollInterval.
func (m *Manager) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if m.shouldPoll() {
			m.Poll(ctx)
		}
		select {
		case <-ctx.Done():
		case <-m.options.Clock.After(m.options.PollInterval*3/4 + rand.N(m.options.PollInterval/2)):
		}
	}
}

// shouldPoll reports whether this VM has to poll the platform: it is the elected
// VM of the data centre, no VM can be elected, or this VM has neither read the
// platform nor fetched a version from another VM yet.
func (m *Manager) shouldPoll() bool {
	m.mu.Lock()
	neverLoaded := !m.loaded && m.InForce().Version == 0
	m.mu.Unlock()
	if neverLoaded {
		return true
	}
	poller, ok := ownership.ElectedPlatformVM(ownership.RoleConfigPoller, m.options.DC, m.options.Members.View())
	return !ok || poller.ID == m.options.Self
}

// Poll reads the platform once and puts the stored version in force if it is newer.
func (m *Manager) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Timeout)
	defer cancel()
	stored, _, err := readCurrent(ctx, m.options.Table, 0)
	if err == nil {
		err = m.install(stored.config)
	}
	if err != nil {
		m.pollFailures.Inc()
		m.options.Logger.Warn("failed to read the configuration from the platform; keeping the current one", tag.Error(err))
		return
	}
	m.mu.Lock()
	m.loaded = true
	m.mu.Unlock()
}

// fetchLoop fetches newer versions whenever the view of the VMs changes.
func (m *Manager) fetchLoop(ctx context.Context) {
	for {
		changed := m.options.Members.Changed()
		if !m.CatchUp(ctx) {
			// A fetch failed or returned an older version. Retry even if
			// the view does not change.
			select {
			case <-ctx.Done():
				return
			case <-m.options.Clock.After(retryInterval):
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// maxFetchAttempts is the largest number of VMs that one CatchUp tries.
const maxFetchAttempts = 3

// CatchUp fetches the highest version that another VM has announced. It reports
// false if another VM's announced version is still higher than the one in force and
// ctx is active.
func (m *Manager) CatchUp(ctx context.Context) bool {
	newerVMs := m.newerVMs()
	for _, vm := range newerVMs[:min(maxFetchAttempts, len(newerVMs))] {
		if vm.ConfigVersion <= m.InForce().Version {
			return true
		}
		if err := m.fetch(ctx, vm); err != nil {
			m.fetchFailures.Inc()
			m.options.Logger.Warn("failed to fetch the configuration from another VM; will retry", tag.PeerVM(vm.ID), tag.Error(err))
		}
	}
	newerVMs = m.newerVMs()
	return len(newerVMs) == 0 || ctx.Err() != nil
}

// newerVMs returns the VMs that have announced a higher version than this VM's,
// sorted by descending version, then VMs of this data centre first, then in
// random order.
func (m *Manager) newerVMs() []entity.VM {
	own := m.InForce().Version
	var out []entity.VM
	for _, vm := range m.options.Members.View() {
		if vm.ID != m.options.Self && vm.State != entity.VMDead && vm.ConfigVersion > own {
			out = append(out, vm)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b entity.VM) int {
		return cmp.Or(cmp.Compare(b.ConfigVersion, a.ConfigVersion), cmp.Compare(m.distance(a), m.distance(b)))
	})
	return out
}

// distance is 0 for VMs of this data centre and 1 for others.
func (m *Manager) distance(vm entity.VM) int {
	if vm.DC == m.options.DC {
		return 0
	}
	return 1
}

// fetch fetches the announced version of a VM and puts it in force.
func (m *Manager) fetch(ctx context.Context, vm entity.VM) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.Timeout)
	defer cancel()
	m.fetches.Inc()
	c, err := m.options.Fetch(ctx, vm, vm.ConfigVersion)
	if err != nil {
		return fmt.Errorf("fetch from %s: %w", vm.ID, err)
	}
	if c.Version < vm.ConfigVersion {
		return fmt.Errorf("fetch from %s: %w", vm.ID, ErrOlderVersion)
	}
	return m.install(c)
}
