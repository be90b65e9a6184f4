package journal

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/platform"
)

// deadlineTable gives each request to the table service a deadline.
type deadlineTable struct {
	table   platform.Table
	timeout time.Duration
}

func (d deadlineTable) Get(ctx context.Context, keys []platform.Key) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.table.Get(ctx, keys)
}

func (d deadlineTable) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.table.Scan(ctx, table, prefix, after, limit)
}

func (d deadlineTable) Commit(ctx context.Context, writes []platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.table.Commit(ctx, writes)
}

// deadlineObjects gives each request to the object store a deadline.
type deadlineObjects struct {
	objects platform.ObjectStore
	timeout time.Duration
}

func (d deadlineObjects) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.objects.Put(ctx, name, data)
}

func (d deadlineObjects) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.objects.Get(ctx, name)
}

func (d deadlineObjects) Delete(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.objects.Delete(ctx, name)
}
