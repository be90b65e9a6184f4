package batchrpc

import (
	"context"
	"errors"
	"time"

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/batch"
)

// Relay is a platform.Table that has its requests made by another VM while
// this one can't reach the platform.
type Relay struct {
	local   platform.Table
	mesh    Mesh
	timeout time.Duration
	relays  func() []string
}

var _ platform.Table = (*Relay)(nil)

// maxRelays bounds the VMs that one request is sent to.
const maxRelays = 2

// NewRelay returns a table that tries local first, then the VMs whose
// addresses relays returns, best first. A relayed request takes at most
// timeout.
func NewRelay(local platform.Table, m Mesh, timeout time.Duration, relays func() []string) *Relay {
	return &Relay{local: local, mesh: m, timeout: timeout, relays: relays}
}

// Get implements platform.Table.
func (r *Relay) Get(ctx context.Context, keys []platform.Key) ([]platform.Row, error) {
	rows, err := r.local.Get(ctx, keys)
	if !unavailable(ctx, err) {
		return rows, err
	}
	return r.read(ctx, err, "Get", GetArgs{Keys: keys})
}

// Scan implements platform.Table.
func (r *Relay) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := r.local.Scan(ctx, table, prefix, after, limit)
	if !unavailable(ctx, err) {
		return rows, err
	}
	return r.read(ctx, err, "Scan", ScanArgs{Table: table, Prefix: prefix, After: after, Limit: limit})
}

// read has a read made by another VM. A read has no effect, so that any
// failure leads to the next VM.
func (r *Relay) read(ctx context.Context, localErr error, method string, args any) ([]platform.Row, error) {
	for _, addr := range first(r.relays()) {
		var reply RowsReply
		if call(ctx, r.mesh, r.timeout, addr, method, args, &reply) != nil {
			continue
		}
		err := reply.Result.Err()
		if !unavailable(ctx, err) {
			return reply.Rows, err
		}
	}
	return nil, localErr
}

// Commit implements platform.Table.
func (r *Relay) Commit(ctx context.Context, writes []platform.Write) error {
	localErr := r.local.Commit(ctx, writes)
	if !unavailable(ctx, localErr) {
		return localErr
	}
	for _, addr := range first(r.relays()) {
		err := r.commitAt(ctx, addr, writes)
		if !unavailable(ctx, err) {
			return err
		}
	}
	return localErr
}

func (r *Relay) commitAt(ctx context.Context, addr string, writes []platform.Write) error {
	var reply CommitReply
	err := call(ctx, r.mesh, r.timeout, addr, "Commit", CommitArgs{Groups: [][]platform.Write{writes}}, &reply)
	switch {
	case err != nil:
		return err
	case len(reply.Results) != 1:
		return batch.Result{Status: batch.StatusUnknown, Message: "relay gave no result"}.Err()
	default:
		return reply.Results[0].Err()
	}
}

// first returns the VMs that a request is sent to.
func first(addrs []string) []string { return addrs[:min(len(addrs), maxRelays)] }

// unavailable reports an error that another VM's access may help.
func unavailable(ctx context.Context, err error) bool {
	return errors.Is(err, platform.ErrUnavailable) && ctx.Err() == nil
}
