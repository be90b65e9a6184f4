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

// Forwarder implements batch.Forwarder over the mesh. A batching VM that fails
// is left alone for a while, so that writes don't wait for it again.
type Forwarder struct {
	mesh    Mesh
	timeout time.Duration
	batcher func() (addr string, ok bool)

	mu      sync.Mutex
	addr    string // of the VM that the breaker is about
	breaker *breaker.Breaker
}

var _ batch.Forwarder = (*Forwarder)(nil)

// batcherBreaker leaves a VM alone after its first failure.
var batcherBreaker = breaker.Settings{FailureThreshold: 1, OpenDuration: time.Second, MaxOpenDuration: 10 * time.Second}

// NewForwarder returns a forwarder to the VM that batcher names; it names none
// while this VM writes for itself. A forwarded batch takes at most timeout.
func NewForwarder(m Mesh, timeout time.Duration, batcher func() (addr string, ok bool)) *Forwarder {
	return &Forwarder{mesh: m, timeout: timeout, batcher: batcher}
}

// Forward implements batch.Forwarder.
func (f *Forwarder) Forward(ctx context.Context, groups [][]platform.Write) ([]batch.Result, error) {
	addr, ok := f.batcher()
	if !ok {
		return nil, fmt.Errorf("%w: no other VM batches", platform.ErrUnavailable)
	}
	b := f.breakerOf(addr)
	if !b.Allow(time.Now()) {
		return nil, fmt.Errorf("%w: the batching VM failed a moment ago", platform.ErrUnavailable)
	}
	var reply CommitReply
	err := call(ctx, f.mesh, f.timeout, addr, "Commit", CommitArgs{Groups: groups}, &reply)
	if err == nil && len(reply.Results) != len(groups) {
		err = fmt.Errorf("%w: %d results for %d groups", platform.ErrUnknown, len(reply.Results), len(groups))
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

// breakerOf returns the breaker of a VM; a new batching VM gets a new one.
func (f *Forwarder) breakerOf(addr string) *breaker.Breaker {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addr != addr {
		f.addr = addr
		f.breaker = breaker.New(batcherBreaker)
	}
	return f.breaker
}
