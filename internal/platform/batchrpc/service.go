// Package batchrpc carries platform requests between VMs. VMs of a data centre
// forward their writes to the one that batches for all; VMs that can't reach
// the platform have their requests relayed by one that does.
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

// GetArgs name rows to read.
type GetArgs struct{ Keys []platform.Key }

// ScanArgs name rows to scan.
type ScanArgs struct {
	Table, Prefix, After string
	Limit                int
}

// RowsReply carries rows, or the error of the read.
type RowsReply struct {
	Rows   []platform.Row
	Result batch.Result
}

// Service serves other VMs' requests from this VM's own access to the
// platform. Its committer neither forwards nor relays, so that no request goes
// on from VM to VM.
type Service struct {
	committer *batch.Committer
	objects   platform.Objects
	timeout   time.Duration
}

// NewService returns a service whose requests take at most timeout.
func NewService(committer *batch.Committer, objects platform.Objects, timeout time.Duration) *Service {
	return &Service{committer: committer, objects: objects, timeout: timeout}
}

// Commit commits groups.
func (s *Service) Commit(args CommitArgs, reply *CommitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	reply.Results = s.committer.CommitGroups(ctx, args.Groups)
	return nil
}

// Get reads rows.
func (s *Service) Get(args GetArgs, reply *RowsReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	rows, err := s.committer.Get(ctx, args.Keys)
	reply.Rows, reply.Result = rows, batch.ResultOf(err)
	return nil
}

// Scan scans rows.
func (s *Service) Scan(args ScanArgs, reply *RowsReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	rows, err := s.committer.Scan(ctx, args.Table, args.Prefix, args.After, args.Limit)
	reply.Rows, reply.Result = rows, batch.ResultOf(err)
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
