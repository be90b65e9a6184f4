package journal

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/platform"
)

// timeoutTable applies a timeout to each request to the table service.
type timeoutTable struct {
	table   platform.Table
	timeout time.Duration
}

func (d timeoutTable) Get(ctx context.Context, keys []platform.Key) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.table.Get(ctx, keys)
}

func (d timeoutTable) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.table.Scan(ctx, table, prefix, after, limit)
}

func (d timeoutTable) Commit(ctx context.Context, writes []platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.table.Commit(ctx, writes)
}

// timeoutObjects applies a timeout to each request to the object store.
type timeoutObjects struct {
	objects platform.ObjectStore
	timeout time.Duration
}

func (d timeoutObjects) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.objects.Put(ctx, name, data)
}

func (d timeoutObjects) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.objects.Get(ctx, name)
}

func (d timeoutObjects) Delete(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.objects.Delete(ctx, name)
}
