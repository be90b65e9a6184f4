package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Table is a version of the configuration table with its entity tag.
type Table struct {
	entity.Config
	ETag string
}

// MarshalJSON implements json.Marshaler with the format of the HTTP API.
func (t *Table) MarshalJSON() ([]byte, error) {
	return json.Marshal(tableBody{Version: t.Version, Author: t.Author, At: t.At, Rows: encodeRows(t.Rows), ETag: t.ETag})
}

// row is the JSON format of a row. Its timeout is a duration with a unit.
type row struct {
	Kind          entity.RowKind `json:"kind"`
	Name          string         `json:"name"`
	Weight        *float64       `json:"weight,omitempty"`
	RatePerSecond float64        `json:"rate_per_second"`
	MaxConcurrent int            `json:"max_concurrent"`
	MaxQueue      int            `json:"max_queue"`
	Timeout       string         `json:"timeout,omitempty"`
	Repeatable    bool           `json:"repeatable"`
	Drain         bool           `json:"drain"`
	KeyHashes     []string       `json:"key_hashes,omitempty"`
}

// tableBody is the JSON format of a table.
type tableBody struct {
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	Rows    []row     `json:"rows"`
	ETag    string    `json:"etag"`
}

func (b *tableBody) table() (*Table, error) {
	t := &Table{ETag: b.ETag}
	t.Version, t.Author, t.At = b.Version, b.Author, b.At
	for _, r := range b.Rows {
		decoded := entity.ConfigRow{
			Kind: r.Kind, Name: r.Name, Weight: 1, RatePerSecond: r.RatePerSecond, MaxConcurrent: r.MaxConcurrent,
			MaxQueue: r.MaxQueue, Repeatable: r.Repeatable, Drain: r.Drain, KeyHashes: r.KeyHashes,
		}
		if r.Weight != nil {
			decoded.Weight = *r.Weight
		}
		if r.Timeout != "" {
			var err error
			if decoded.Timeout, err = time.ParseDuration(r.Timeout); err != nil {
				return nil, fmt.Errorf("timeout of %s %s: %w", r.Kind, r.Name, err)
			}
		}
		t.Rows = append(t.Rows, decoded)
	}
	return t, nil
}

func encodeRows(rows []entity.ConfigRow) []row {
	encoded := make([]row, len(rows))
	for i, r := range rows {
		encoded[i] = row{
			Kind: r.Kind, Name: r.Name, Weight: &r.Weight, RatePerSecond: r.RatePerSecond, MaxConcurrent: r.MaxConcurrent,
			MaxQueue: r.MaxQueue, Repeatable: r.Repeatable, Drain: r.Drain, KeyHashes: r.KeyHashes,
		}
		if r.Timeout != 0 {
			encoded[i].Timeout = r.Timeout.String()
		}
	}
	return encoded
}

// Edit identifies an edit of the table. Edits with the same id take effect once.
type Edit struct {
	ID     string
	Author string
	// IfMatch is the entity tag of the version that the edit is based on.
	IfMatch string
}

func (e Edit) header() http.Header {
	return http.Header{"If-Match": {e.IfMatch}, "Idempotency-Key": {e.ID}}
}

// sendTableRequest sends a request whose response is a table.
func (c *Client) sendTableRequest(ctx context.Context, r request) (*Table, error) {
	var body tableBody
	header, err := c.send(ctx, r, &body)
	if err != nil {
		return nil, err
	}
	if tag := header.Get("ETag"); tag != "" {
		body.ETag = tag
	}
	return body.table()
}

// Table returns the table in force.
func (c *Client) Table(ctx context.Context) (*Table, error) {
	return c.sendTableRequest(ctx, request{method: http.MethodGet, path: "/v1/table"})
}

// PutTable replaces the rows of the table. Use IsStaleEdit to find out whether it
// failed because the table had changed.
func (c *Client) PutTable(ctx context.Context, edit Edit, rows []entity.ConfigRow) (*Table, error) {
	body := struct {
		Author string `json:"author"`
		Rows   []row  `json:"rows"`
	}{edit.Author, encodeRows(rows)}
	return c.sendTableRequest(ctx, request{method: http.MethodPut, path: "/v1/table", header: edit.header(), body: body})
}

// RevertTable creates a new version of the table with the rows of an earlier one.
func (c *Client) RevertTable(ctx context.Context, edit Edit, version uint64) (*Table, error) {
	body := struct {
		Author  string `json:"author"`
		Version uint64 `json:"version"`
	}{edit.Author, version}
	return c.sendTableRequest(ctx, request{method: http.MethodPost, path: "/v1/table/revert", header: edit.header(), body: body})
}

// TableHistory returns the latest versions of the table, newest first.
func (c *Client) TableHistory(ctx context.Context) ([]*Table, error) {
	var bodies []tableBody
	if _, err := c.send(ctx, request{method: http.MethodGet, path: "/v1/table/history"}, &bodies); err != nil {
		return nil, err
	}
	tables := make([]*Table, len(bodies))
	for i := range bodies {
		t, err := bodies[i].table()
		if err != nil {
			return nil, err
		}
		tables[i] = t
	}
	return tables, nil
}
