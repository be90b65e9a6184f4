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

func (m *Manager) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if m.shouldPoll() {
			m.Poll(ctx)
		}
		select {
		case <-ctx.Done():
		case <-m.o.Clock.After(m.o.PollInterval*3/4 + rand.N(m.o.PollInterval/2)):
		}
	}
}

// shouldPoll reports whether this VM has to poll the platform: it is the elected
// VM of the data centre, or it has neither read the platform nor got a version
// from another VM yet.
func (m *Manager) shouldPoll() bool {
	m.mu.Lock()
	first := !m.loaded && m.InForce().Version == 0
	m.mu.Unlock()
	if first {
		return true
	}
	poller, ok := ownership.ElectedPlatformVM(ownership.RoleConfigPoller, m.o.DC, m.o.Members.View())
	return !ok || poller.ID == m.o.Self
}

// Poll reads the platform once and puts a newer version in force.
func (m *Manager) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.o.Timeout)
	defer cancel()
	stored, _, err := readCurrent(ctx, m.o.Table, 0)
	if err == nil {
		err = m.install(stored.config)
	}
	if err != nil {
		m.pollFailures.Inc()
		m.o.Logger.Warn("configuration not read from the platform", tag.Error(err))
		return
	}
	m.mu.Lock()
	m.loaded = true
	m.mu.Unlock()
}

// fetchLoop fetches newer versions whenever the view of the VMs changes.
func (m *Manager) fetchLoop(ctx context.Context) {
	for {
		changed := m.o.Members.Changed()
		if !m.CatchUp(ctx) {
			// A fetch failed or returned an older version. Retry even if
			// the view does not change.
			select {
			case <-ctx.Done():
				return
			case <-m.o.Clock.After(retryInterval):
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

// maxFetchAttempts is the number of VMs that CatchUp tries.
const maxFetchAttempts = 3

// CatchUp fetches the highest version that another VM has announced. It reports
// whether this VM then has the highest announced version in force.
func (m *Manager) CatchUp(ctx context.Context) bool {
	newerVMs := m.newerVMs()
	for _, vm := range newerVMs[:min(maxFetchAttempts, len(newerVMs))] {
		if vm.ConfigVersion <= m.InForce().Version {
			return true
		}
		if err := m.fetch(ctx, vm); err != nil {
			m.fetchFailures.Inc()
			m.o.Logger.Warn("configuration not fetched from another VM", tag.PeerVM(vm.ID), tag.Error(err))
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
	for _, vm := range m.o.Members.View() {
		if vm.ID != m.o.Self && vm.State != entity.VMDead && vm.ConfigVersion > own {
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
	if vm.DC == m.o.DC {
		return 0
	}
	return 1
}

// fetch fetches the announced version of a VM and puts it in force.
func (m *Manager) fetch(ctx context.Context, vm entity.VM) error {
	ctx, cancel := context.WithTimeout(ctx, m.o.Timeout)
	defer cancel()
	m.fetches.Inc()
	c, err := m.o.Fetch(ctx, vm, vm.ConfigVersion)
	if err != nil {
		return fmt.Errorf("fetch from %s: %w", vm.ID, err)
	}
	if c.Version < vm.ConfigVersion {
		return fmt.Errorf("fetch from %s: %w", vm.ID, ErrOlderVersion)
	}
	return m.install(c)
}
