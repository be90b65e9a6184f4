// Package batchrpc forwards writes over the mesh to the VM that batches the
// writes of its data centre.
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

// CommitArgs are the groups to commit, each of which is atomic.
type CommitArgs struct{ Groups [][]platform.Write }

// CommitReply has one result for each group, in the order of the groups.
type CommitReply struct{ Results []batch.Result }

// Service commits the writes of other VMs. Its committer has no Forwarder, so
// that a write is forwarded at most once.
type Service struct {
	committer *batch.Committer
	timeout   time.Duration
}

// NewService returns a service that limits each request to timeout.
func NewService(committer *batch.Committer, timeout time.Duration) *Service {
	return &Service{committer: committer, timeout: timeout}
}

// Commit is the remote method that commits groups.
func (s *Service) Commit(args CommitArgs, reply *CommitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	reply.Results = s.committer.CommitGroups(ctx, args.Groups)
	return nil
}

// Mesh calls other VMs. It returns the errors of package mesh.
type Mesh interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// call calls a method of the service on a VM. Its error wraps
// platform.ErrUnavailable if the request was not sent, and
// platform.ErrOutcomeUnknown after any other failure, since the method may have run.
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
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
}
