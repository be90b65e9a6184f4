// Package httpclient is the HTTP client of the platform services. Every call has
// a deadline. A connection on which no response arrives in time is closed and
// replaced. Retries are jittered and limited to a fraction of the calls. A circuit
// breaker for each service fails calls at once while the service is down.
package httpclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/breaker"
	"ibisstall.example/ibisstall/internal/platform/wire"
)

// Options configure a Client. Zero fields except BaseURL are replaced by the
// defaults.
type Options struct {
	// BaseURL is the URL of the table service, and that of the other services
	// if their URLs are empty.
	BaseURL    string
	ObjectsURL string
	VMListURL  string
	DC         string // data centre of this VM
	// Timeout limits a call including its retries.
	Timeout time.Duration
	// AttemptTimeout limits the wait for the response to one attempt, after
	// which its connection is closed.
	AttemptTimeout time.Duration
	// MaxAttempts limits the attempts of one call.
	MaxAttempts uint
	// RetryRatio is the number of retries that each call adds to the retry
	// budget.
	RetryRatio float64
	Breaker    breaker.Settings // of each service's circuit breaker
	HTTPClient *http.Client
	Now        func() time.Time
	// OnConnectionReplaced is called when a connection was closed because no
	// response arrived within AttemptTimeout.
	OnConnectionReplaced func(service string)
}

// Defaults of Options.
const (
	DefaultTimeout        = 5 * time.Second
	DefaultAttemptTimeout = time.Second
	DefaultMaxAttempts    = 4
	DefaultRetryRatio     = 0.1
)

// Client implements platform.Table and platform.VMList; Objects returns its
// object store. It is safe for concurrent use.
type Client struct {
	options Options
	budget  *retryBudget // shared by all services
	table   *service
	objects *service
	vms     *service
}

// service is one of the platform services with its circuit breaker.
type service struct {
	name    string
	baseURL string // without a trailing slash
	breaker *breaker.Breaker
}

var (
	_ platform.Table       = (*Client)(nil)
	_ platform.VMList      = (*Client)(nil)
	_ platform.ObjectStore = objectStore{}
)

// New returns a client. It does not connect yet.
func New(o Options) *Client {
	if o.ObjectsURL == "" {
		o.ObjectsURL = o.BaseURL
	}
	if o.VMListURL == "" {
		o.VMListURL = o.BaseURL
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.AttemptTimeout == 0 {
		o.AttemptTimeout = min(DefaultAttemptTimeout, o.Timeout)
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	if o.RetryRatio == 0 {
		o.RetryRatio = DefaultRetryRatio
	}
	if o.HTTPClient == nil {
		o.HTTPClient = &http.Client{Transport: newTransport(o.AttemptTimeout)}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.OnConnectionReplaced == nil {
		o.OnConnectionReplaced = func(string) {}
	}
	newService := func(name, baseURL string) *service {
		return &service{name: name, baseURL: strings.TrimRight(baseURL, "/"), breaker: breaker.New(o.Breaker)}
	}
	return &Client{
		options: o,
		budget:  newRetryBudget(o.RetryRatio),
		table:   newService("table", o.BaseURL),
		objects: newService("objects", o.ObjectsURL),
		vms:     newService("vms", o.VMListURL),
	}
}

// Reachable reports whether the circuit breaker of the table service is closed.
func (c *Client) Reachable() bool { return c.table.breaker.State() == breaker.Closed }

// Close closes the idle connections.
func (c *Client) Close() { c.options.HTTPClient.CloseIdleConnections() }

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, keys []platform.Key) ([]platform.Row, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	var response wire.RowsResponse
	check := func() error { return checkGet(keys, response.Rows) }
	if err := c.callJSON(ctx, c.table, wire.PathGet, wire.GetRequest{Keys: keys}, &response, check); err != nil {
		return nil, fmt.Errorf("get of %d rows: %w", len(keys), err)
	}
	return response.Rows, nil
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	request := wire.ScanRequest{Table: table, Prefix: prefix, After: after, Limit: limit}
	var response wire.RowsResponse
	check := func() error { return checkScan(request, response.Rows) }
	if err := c.callJSON(ctx, c.table, wire.PathScan, request, &response, check); err != nil {
		return nil, fmt.Errorf("scan of %s/%s: %w", table, prefix, err)
	}
	return response.Rows, nil
}

// callJSON sends a read with a JSON body and decodes the response. A response for
// which check returns an error is treated as a response to another request.
func (c *Client) callJSON(ctx context.Context, s *service, path string, request, response any, check func() error) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	_, err = c.call(ctx, s, call{
		method: http.MethodPost,
		path:   path,
		body:   body,
		validate: func(raw []byte) error {
			if err := json.Unmarshal(raw, response); err != nil {
				return err
			}
			return check()
		},
	})
	return err
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, writes []platform.Write) error {
	if len(writes) == 0 {
		return nil
	}
	body, err := json.Marshal(wire.CommitRequest{Writes: writes})
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	_, err = c.call(ctx, c.table, call{
		method:  http.MethodPost,
		path:    wire.PathCommit,
		body:    body,
		isWrite: true,
	})
	if err != nil {
		return fmt.Errorf("commit of %d writes: %w", len(writes), err)
	}
	return nil
}

// List implements platform.VMList.
func (c *Client) List(ctx context.Context) ([]platform.ListedVM, error) {
	var response wire.VMsResponse
	_, err := c.call(ctx, c.vms, call{
		method:   http.MethodGet,
		path:     wire.PathVMs,
		validate: func(raw []byte) error { return json.Unmarshal(raw, &response) },
	})
	if err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	return response.VMs, nil
}

// Objects returns the object store.
func (c *Client) Objects() platform.ObjectStore { return objectStore{c} }

type objectStore struct{ client *Client }

// Put implements platform.ObjectStore. It is retried after a lost response, since
// a second put of the same content has no effect.
func (o objectStore) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.client.call(ctx, o.client.objects, call{
		method:     http.MethodPut,
		path:       objectPath(name),
		body:       data,
		isWrite:    true,
		idempotent: true,
	})
	if err != nil {
		return fmt.Errorf("put object %s: %w", name, err)
	}
	return nil
}

// Get implements platform.ObjectStore.
func (o objectStore) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := o.client.call(ctx, o.client.objects, call{method: http.MethodGet, path: objectPath(name)})
	if err != nil {
		return nil, fmt.Errorf("get object %s: %w", name, err)
	}
	return data, nil
}

// Delete implements platform.ObjectStore.
func (o objectStore) Delete(ctx context.Context, name string) error {
	_, err := o.client.call(ctx, o.client.objects, call{
		method:     http.MethodDelete,
		path:       objectPath(name),
		isWrite:    true,
		idempotent: true,
	})
	if err != nil {
		return fmt.Errorf("delete object %s: %w", name, err)
	}
	return nil
}

// objectPath returns the path of an object. It escapes the segments of the name
// and keeps its slashes.
func objectPath(name string) string {
	parts := strings.Split(name, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return wire.PathObjects + strings.Join(parts, "/")
}

// checkGet returns an error unless there is one row for each key, in the order of
// the keys.
func checkGet(keys []platform.Key, rows []platform.Row) error {
	if len(rows) != len(keys) {
		return fmt.Errorf("%d rows for %d keys", len(rows), len(keys))
	}
	for i := range rows {
		if rows[i].Key != keys[i] {
			return fmt.Errorf("row of key %s/%s is that of %s/%s", keys[i].Table, keys[i].ID, rows[i].Key.Table, rows[i].Key.ID)
		}
	}
	return nil
}

// checkScan returns an error if the rows are not a result of the scan.
func checkScan(q wire.ScanRequest, rows []platform.Row) error {
	if len(rows) > q.Limit {
		return fmt.Errorf("%d rows for a limit of %d", len(rows), q.Limit)
	}
	after := q.After
	for _, r := range rows {
		inRange := r.Key.Table == q.Table && strings.HasPrefix(r.Key.ID, q.Prefix)
		if !inRange || r.Key.ID <= after {
			return fmt.Errorf("row %s/%s is outside the scan or out of order", r.Key.Table, r.Key.ID)
		}
		after = r.Key.ID
	}
	return nil
}
