package platformsvc

import (
	"context"
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/platform"
)

// Client is an in-process client of a Server: the same services, faults and
// counters without HTTP. It returns the errors of package platform.
type Client struct {
	server *Server
	dc     string
}

var (
	_ platform.Table  = (*Client)(nil)
	_ platform.VMList = (*Client)(nil)
)

// Client returns an in-process client located in a data centre.
func (s *Server) Client(dc string) *Client { return &Client{server: s, dc: dc} }

// executeWithFaults executes a request by calling act, subject to the faults of
// the service and the rate limits. write is true for a request that changes data.
func (d *Client) executeWithFaults(ctx context.Context, service Service, write bool, act func() error) error {
	decision := d.server.faults.decide(service, d.dc, write)
	if decision.down || decision.rateLimited {
		return fmt.Errorf("%w: refused", platform.ErrUnavailable)
	}
	if decision.late && write {
		return d.executeDelayed(ctx, decision, act)
	}
	if !applyDelay(ctx, decision) {
		return abandonedError(ctx, write)
	}
	err := act()
	if decision.loseResponse {
		return platform.ErrOutcomeUnknown
	}
	return err
}

// abandonedError returns the error of a request that the client gave up waiting for.
func abandonedError(ctx context.Context, write bool) error {
	if write {
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, ctx.Err())
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
}

// executeDelayed calls act after the delay, even if the client stops waiting for
// the response earlier.
func (d *Client) executeDelayed(ctx context.Context, decision faultDecision, act func() error) error {
	result := make(chan error, 1)
	go func() {
		time.Sleep(decision.delay)
		result <- act()
	}()
	select {
	case err := <-result:
		if decision.loseResponse {
			return platform.ErrOutcomeUnknown
		}
		return err
	case <-ctx.Done():
		return abandonedError(ctx, true)
	}
}

// Get implements platform.Table.
func (d *Client) Get(ctx context.Context, keys []platform.Key) (rows []platform.Row, err error) {
	err = d.executeWithFaults(ctx, Table, false, func() (err error) {
		rows, err = d.server.store.Get(ctx, keys)
		return err
	})
	return rows, err
}

// Scan implements platform.Table.
func (d *Client) Scan(ctx context.Context, table, prefix, after string, limit int) (rows []platform.Row, err error) {
	err = d.executeWithFaults(ctx, Table, false, func() (err error) {
		rows, err = d.server.store.Scan(ctx, table, prefix, after, limit)
		return err
	})
	return rows, err
}

// Commit implements platform.Table.
func (d *Client) Commit(ctx context.Context, writes []platform.Write) error {
	return d.executeWithFaults(ctx, Table, true, func() error {
		err := d.server.store.Commit(ctx, writes)
		if err == nil {
			d.server.faults.countTransaction(len(writes))
		}
		return err
	})
}

// List implements platform.VMList.
func (d *Client) List(ctx context.Context) (vms []platform.ListedVM, err error) {
	err = d.executeWithFaults(ctx, VMs, false, func() (err error) {
		vms, err = d.server.store.List(ctx)
		return err
	})
	return vms, err
}

// Objects returns an in-process client of the object store.
func (d *Client) Objects() platform.ObjectStore { return directObjects{d} }

type directObjects struct{ d *Client }

// Put implements platform.ObjectStore.
func (o directObjects) Put(ctx context.Context, name string, data []byte) error {
	return o.d.executeWithFaults(ctx, Objects, true, func() error {
		return o.d.server.store.Objects().Put(ctx, name, data)
	})
}

// Get implements platform.ObjectStore.
func (o directObjects) Get(ctx context.Context, name string) (data []byte, err error) {
	err = o.d.executeWithFaults(ctx, Objects, false, func() (err error) {
		data, err = o.d.server.store.Objects().Get(ctx, name)
		return err
	})
	return data, err
}

// Delete implements platform.ObjectStore.
func (o directObjects) Delete(ctx context.Context, name string) error {
	return o.d.executeWithFaults(ctx, Objects, true, func() error {
		return o.d.server.store.Objects().Delete(ctx, name)
	})
}
