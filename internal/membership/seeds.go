package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
)

// listLoop keeps the seeds up to date with the VM list, often until a first
// other VM is known and rarely from then on.
func (m *Membership) listLoop(ctx context.Context) {
	for {
		m.readList(ctx)
		wait := time.Second
		if len(m.View()) > 1 {
			wait = m.listEvery/2 + rand.N(m.listEvery)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(wait):
		}
	}
}

func (m *Membership) readList(ctx context.Context) {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	listed, err := m.vmList.List(ctx)
	if err != nil {
		m.log.Debug("VM list not read", tag.Error(err))
		return
	}
	m.step(SetSeeds{Addrs: mergeSeeds(m.seeds, listed)})
}

// mergeSeeds adds the gossip addresses of listed entry VMs. Leaving ones are
// left out; whether the others live is for probing to find out.
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
