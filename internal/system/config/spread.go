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

// Run keeps the version in force up to date until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.pollLoop(ctx) })
	wg.Go(func() { m.followLoop(ctx) })
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

// shouldPoll is true for the VM of the data centre that polls, and for any VM
// until it has read the platform once or has a version from a peer.
func (m *Manager) shouldPoll() bool {
	m.mu.Lock()
	first := !m.read && m.InForce().Version == 0
	m.mu.Unlock()
	if first {
		return true
	}
	poller, ok := ownership.ElectedPlatformVM(ownership.RoleConfigPoller, m.o.DC, m.o.Members.View())
	return !ok || poller.ID == m.o.Self
}

// Poll reads the platform once.
func (m *Manager) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.o.Timeout)
	defer cancel()
	over, _, err := readCurrent(ctx, m.o.Table, 0)
	if err == nil {
		err = m.install(over.config)
	}
	if err != nil {
		m.pollFailures.Inc()
		m.o.Logger.Warn("configuration not read", tag.Error(err))
		return
	}
	m.mu.Lock()
	m.read = true
	m.mu.Unlock()
}

func (m *Manager) followLoop(ctx context.Context) {
	for {
		changed := m.o.Members.Changed()
		if !m.CatchUp(ctx) {
			// A VM that has the version could not be asked. Ask again
			// although the view stays as it is.
			select {
			case <-ctx.Done():
				return
			case <-m.o.Clock.After(editRetryPause):
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

// maxFetches bounds the VMs that are asked for one version in a row.
const maxFetches = 3

// CatchUp fetches a higher version that another VM has in force. It reports
// whether this VM has the highest version that it knows of.
func (m *Manager) CatchUp(ctx context.Context) bool {
	holders := m.holders()
	for _, vm := range holders[:min(maxFetches, len(holders))] {
		if vm.ConfigVersion <= m.InForce().Version {
			return true
		}
		if err := m.fetch(ctx, vm); err != nil {
			m.fetchFailures.Inc()
			m.o.Logger.Warn("configuration not fetched", tag.PeerVM(vm.ID), tag.Error(err))
		}
	}
	holders = m.holders()
	return len(holders) == 0 || ctx.Err() != nil
}

// holders lists VMs with a higher version than this one's, the highest first,
// then those of this data centre, then in random order.
func (m *Manager) holders() []entity.VM {
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

func (m *Manager) distance(vm entity.VM) int {
	if vm.DC == m.o.DC {
		return 0
	}
	return 1
}

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
