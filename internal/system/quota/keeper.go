package quota

import (
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/policy/quota"
)

// Ownership knows which process keeps the shares of a workspace in each data centre.
// tokenbudget.Quotas implements it.
type Ownership interface {
	// KeptSince returns since when this process has kept the share of a workspace in its data
	// centre, and false if it doesn't. Any other process has stopped keeping it before.
	KeptSince(workspace string) (since time.Duration, ok bool)
	// Recorded returns the process that keeps the share of a workspace in a data centre as
	// last recorded, or "".
	Recorded(workspace, dc string) mesh.Process
	// Candidates returns the processes that may keep it, the most likely first. It costs more.
	Candidates(workspace, dc string) []mesh.Process
}

// Keeper grants tokens of the shares that this process keeps. It is safe for concurrent use.
type Keeper struct {
	DCs       int // all data centres
	Ownership Ownership
	Config    func() *forward.Config // may return nil
	Clock     clock.Clock            // that of Ownership

	mu     sync.Mutex
	shares map[string]*keptShare // guarded by mu; by workspace
}

type keptShare struct {
	*quota.Share
	since   time.Duration
	version int64 // of the configuration that limit is from
	limit   quota.Limit
}

// GrantRequest is a VM's question to a keeper.
type GrantRequest struct {
	Workspace string
	Version   int64 // of the configuration that Limit is from
	Limit     quota.Limit
	Ask       quota.Ask
}

// GrantResponse is the answer to a GrantRequest.
type GrantResponse struct {
	Kept   bool // this process keeps the share; otherwise Answer is empty
	Answer quota.Answer
}

// grant answers a question from the share that this process keeps.
func (k *Keeper) grant(req GrantRequest) GrantResponse {
	// The time is read first: a process that is paused after it has seen that it keeps the
	// share grants as of then, and the tokens are void when it goes on.
	now := k.Clock.Now()
	since, ok := k.Ownership.KeptSince(req.Workspace)
	if !ok {
		return GrantResponse{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.shares[req.Workspace]
	if s != nil && s.since > since {
		return GrantResponse{} // this process has handed the share over, and kept it again
	}
	version, limit := k.newestLimit(req, s)
	if s == nil || s.since != since {
		s = &keptShare{Share: quota.NewShare(limit, k.DCs, since, now), since: since}
		if k.shares == nil {
			k.shares = make(map[string]*keptShare)
		}
		k.shares[req.Workspace] = s
	}
	s.version, s.limit = version, limit
	return GrantResponse{Kept: true, Answer: s.Grant(limit, k.DCs, req.Ask, now)}
}

// newestLimit returns the limit of the newest configuration that this process knows of: the
// VM that asks or this one may have read it first. mu is held.
func (k *Keeper) newestLimit(req GrantRequest, s *keptShare) (int64, quota.Limit) {
	version, limit := req.Version, req.Limit
	if s != nil && s.version > version {
		version, limit = s.version, s.limit
	}
	if cfg := k.Config(); cfg != nil && cfg.Version > version {
		// Whether requests of a workspace that was dropped may run is a matter of its keys.
		if w := cfg.Workspaces[req.Workspace]; w != nil && w.Quota.Limited() {
			version, limit = cfg.Version, limitOf(w.Quota)
		}
	}
	return version, limit
}

// Sweep drops the shares of workspaces that ask no more, and those that this process doesn't
// keep any more.
func (k *Keeper) Sweep() {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, s := range k.shares {
		if since, ok := k.Ownership.KeptSince(name); !ok || since != s.since || s.Forgettable(now) {
			delete(k.shares, name)
		}
	}
}

func limitOf(q forward.Quota) quota.Limit {
	return quota.Limit{PerSecond: q.PerSecond, Burst: q.Burst}
}

const (
	serviceName = "WorkspaceQuota"
	methodGrant = serviceName + ".Grant"
)

// service serves the questions of other VMs over net/rpc.
type service struct{ keeper *Keeper }

// Grant answers a question.
func (s *service) Grant(req GrantRequest, out *GrantResponse) error {
	*out = s.keeper.grant(req)
	return nil
}

// Register makes a keeper available to the other VMs.
func Register(server *mesh.Server, k *Keeper) error {
	return server.Register(serviceName, &service{k})
}
