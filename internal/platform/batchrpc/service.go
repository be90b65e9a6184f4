// Package batchrpc carries the writes of a data centre's VMs to the one that
// batches for all.
package batchrpc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/batch"
)

// ServiceName is the name of the net/rpc service.
const ServiceName = "Batch"

// CommitArgs carry groups to commit.
type CommitArgs struct{ Groups [][]platform.Write }

// CommitReply has a result for each group, in order.
type CommitReply struct{ Results []batch.Result }

// Service commits other VMs' writes. Its committer does not forward, so that no
// write goes on from VM to VM.
type Service struct {
	committer *batch.Committer
	timeout   time.Duration
}

// NewService returns a service whose requests take at most timeout.
func NewService(committer *batch.Committer, timeout time.Duration) *Service {
	return &Service{committer: committer, timeout: timeout}
}

// Commit commits groups.
func (s *Service) Commit(args CommitArgs, reply *CommitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	reply.Results = s.committer.CommitGroups(ctx, args.Groups)
	return nil
}

// Mesh calls other VMs. Its errors are those of package mesh.
type Mesh interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// call calls a method of the service on a VM. A write that may have run there
// has an unknown effect.
func call(ctx context.Context, m Mesh, timeout time.Duration, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := m.Call(ctx, addr, ServiceName+"."+method, args, reply)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, mesh.ErrNotSent):
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	default:
		return fmt.Errorf("%w: %w", platform.ErrUnknown, err)
	}
}
