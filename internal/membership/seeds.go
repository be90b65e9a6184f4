package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
)

// vmListLoop updates the seeds from the VM list: every second until another VM is
// known, then at listInterval on average.
func (m *Membership) vmListLoop(ctx context.Context) {
	for {
		m.refreshSeeds(ctx)
		wait := time.Second
		if len(m.View()) > 1 {
			wait = m.vmListInterval/2 + rand.N(m.vmListInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(wait):
		}
	}
}

func (m *Membership) refreshSeeds(ctx context.Context) {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	listed, err := m.vmList.List(ctx)
	if err != nil {
		m.log.Debug("reading the VM list failed; keeping the current seeds", tag.Error(err))
		return
	}
	m.step(SetSeeds{Addrs: mergeSeeds(m.seeds, listed)})
}

// mergeSeeds adds the gossip addresses of the listed entry VMs to the seeds. Leaving
// VMs are excluded; the others may be dead, which probing detects.
func mergeSeeds(seeds []string, listed []platform.ListedVM) []string {
	out := append([]string(nil), seeds...)
	seen := make(map[string]bool, len(seeds)+len(listed))
	for _, s := range seeds {
		seen[s] = true
	}
	for _, l := range listed {
		if l.Role != platform.RoleEntry || l.Leaving || l.GossipAddr == "" || seen[l.GossipAddr] {
			continue
		}
		seen[l.GossipAddr] = true
		out = append(out, l.GossipAddr)
	}
	return out
}
