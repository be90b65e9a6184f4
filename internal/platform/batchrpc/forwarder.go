package batchrpc

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/batch"
	"ibisstall.example/ibisstall/internal/platform/breaker"
)

// Forwarder implements batch.Forwarder over the mesh. After a failure of the
// batching VM a circuit breaker stops forwarding for a while, so that writes
// don't wait for that VM again.
type Forwarder struct {
	mesh       Mesh
	timeout    time.Duration
	batchingVM func() (addr string, ok bool)

	mu      sync.Mutex
	addr    string // address of the VM that breaker belongs to
	breaker *breaker.Breaker
}

var _ batch.Forwarder = (*Forwarder)(nil)

// breakerSettings open the breaker after the first failure of the batching VM.
var breakerSettings = breaker.Settings{FailureThreshold: 1, OpenDuration: time.Second, MaxOpenDuration: 10 * time.Second}

// NewForwarder returns a forwarder to the VM whose mesh address batchingVM returns.
// batchingVM returns false while this VM commits its own writes. The timeout
// applies to one forwarded batch.
func NewForwarder(m Mesh, timeout time.Duration, batchingVM func() (addr string, ok bool)) *Forwarder {
	return &Forwarder{mesh: m, timeout: timeout, batchingVM: batchingVM}
}

// Forward implements batch.Forwarder.
func (f *Forwarder) Forward(ctx context.Context, groups [][]platform.Write) ([]batch.Result, error) {
	addr, ok := f.batchingVM()
	if !ok {
		return nil, fmt.Errorf("%w: no other VM batches", platform.ErrUnavailable)
	}
	b := f.breakerFor(addr)
	if !b.Allow(time.Now()) {
		return nil, fmt.Errorf("%w: the batching VM failed a moment ago", platform.ErrUnavailable)
	}
	var reply CommitReply
	err := call(ctx, f.mesh, f.timeout, addr, "Commit", CommitArgs{Groups: groups}, &reply)
	if err == nil && len(reply.Results) != len(groups) {
		err = fmt.Errorf("%w: %d results for %d groups", platform.ErrOutcomeUnknown, len(reply.Results), len(groups))
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		b.Abandon(time.Now())
	case err != nil:
		b.Failure(time.Now())
	default:
		b.Success()
	}
	return reply.Results, err
}

// breakerFor returns the breaker of the batching VM at addr. It creates a new one
// when the batching VM changes.
func (f *Forwarder) breakerFor(addr string) *breaker.Breaker {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addr != addr {
		f.addr = addr
		f.breaker = breaker.New(breakerSettings)
	}
	return f.breaker
}
