package batchrpc

import (
	"context"
	"errors"
	"time"

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/batch"
)

// ObjectArgs name an object; Data is its content for a put.
type ObjectArgs struct {
	Name string
	Data []byte
}

// ObjectReply carries an object, or the error of the request.
type ObjectReply struct {
	Data     []byte
	NotFound bool
	Result   batch.Result
}

// err returns the error that the reply carries.
func (r *ObjectReply) err() error {
	if r.NotFound {
		return platform.ErrNotFound
	}
	return r.Result.Err()
}

// PutObject stores an object.
func (s *Service) PutObject(args ObjectArgs, reply *ObjectReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	reply.Result = batch.ResultOf(s.objects.Put(ctx, args.Name, args.Data))
	return nil
}

// GetObject reads an object.
func (s *Service) GetObject(args ObjectArgs, reply *ObjectReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	data, err := s.objects.Get(ctx, args.Name)
	reply.Data = data
	reply.NotFound = errors.Is(err, platform.ErrNotFound)
	reply.Result = batch.ResultOf(err)
	return nil
}

// DeleteObject removes an object.
func (s *Service) DeleteObject(args ObjectArgs, reply *ObjectReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	reply.Result = batch.ResultOf(s.objects.Delete(ctx, args.Name))
	return nil
}

// RelayObjects is a platform.Objects that has its requests made by another VM
// while this one can't reach the platform. All its requests may be repeated.
type RelayObjects struct {
	local   platform.Objects
	mesh    Mesh
	timeout time.Duration
	relays  func() []string
}

var _ platform.Objects = (*RelayObjects)(nil)

// NewRelayObjects is NewRelay for the object store.
func NewRelayObjects(local platform.Objects, m Mesh, timeout time.Duration, relays func() []string) *RelayObjects {
	return &RelayObjects{local: local, mesh: m, timeout: timeout, relays: relays}
}

// Put implements platform.Objects.
func (r *RelayObjects) Put(ctx context.Context, name string, data []byte) error {
	err := r.local.Put(ctx, name, data)
	if !unavailable(ctx, err) {
		return err
	}
	_, err = r.relay(ctx, err, "PutObject", ObjectArgs{Name: name, Data: data})
	return err
}

// Get implements platform.Objects.
func (r *RelayObjects) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := r.local.Get(ctx, name)
	if !unavailable(ctx, err) {
		return data, err
	}
	return r.relay(ctx, err, "GetObject", ObjectArgs{Name: name})
}

// Delete implements platform.Objects.
func (r *RelayObjects) Delete(ctx context.Context, name string) error {
	err := r.local.Delete(ctx, name)
	if !unavailable(ctx, err) {
		return err
	}
	_, err = r.relay(ctx, err, "DeleteObject", ObjectArgs{Name: name})
	return err
}

// relay has a request made by the first VM that can.
func (r *RelayObjects) relay(ctx context.Context, localErr error, method string, args ObjectArgs) ([]byte, error) {
	for _, addr := range first(r.relays()) {
		var reply ObjectReply
		if call(ctx, r.mesh, r.timeout, addr, method, args, &reply) != nil {
			continue
		}
		if err := reply.err(); !unavailable(ctx, err) {
			return reply.Data, err
		}
	}
	return nil, localErr
}
