package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"ibisstall.example/ibisstall/internal/entity"
)

// Sessions lists the sessions that the engine holds KV cache for.
func (e *EngineClient) Sessions(ctx context.Context) ([]Session, error) {
	var out []Session
	err := e.get(ctx, "/v1/sessions", &out)
	return out, err
}

// Release frees the KV cache that the engine holds for a program. It is not an
// error if there is none.
func (e *EngineClient) Release(ctx context.Context, id entity.ProgramID) error {
	return e.post(ctx, "/v1/sessions/"+url.PathEscape(string(id))+"/release", nil, nil, nil)
}

// FetchLoadReport returns the engine's load report.
func (e *EngineClient) FetchLoadReport(ctx context.Context) (LoadReport, error) {
	var out LoadReport
	err := e.get(ctx, "/v1/load", &out)
	return out, err
}

// CacheEvents returns a page of cache events, of which the first has the sequence
// number from or, if the engine no longer has that event, a higher one.
func (e *EngineClient) CacheEvents(ctx context.Context, from uint64) (CachePage, error) {
	var out CachePage
	err := e.get(ctx, "/v1/cache/events?from="+strconv.FormatUint(from, 10), &out)
	return out, err
}

// CacheSnapshot returns the content of the whole prefix cache.
func (e *EngineClient) CacheSnapshot(ctx context.Context) (CacheSnapshot, error) {
	var out CacheSnapshot
	err := e.get(ctx, "/v1/cache", &out)
	return out, err
}

// Order sends an order with a fencing number. ErrFenced means that the engine
// has received a higher number.
func (e *EngineClient) Order(ctx context.Context, fencing uint64, o Order) error {
	h := http.Header{HeaderFencing: {strconv.FormatUint(fencing, 10)}}
	err := e.post(ctx, "/v1/orders", h, o, nil)
	if hasStatus(err, http.StatusConflict) {
		return fmt.Errorf("%w: %w", ErrFenced, err)
	}
	return err
}

// ExportKV returns the KV cache that the engine holds for a program.
func (e *EngineClient) ExportKV(ctx context.Context, id entity.ProgramID) (KV, error) {
	var out KV
	err := e.post(ctx, "/v1/kv/export", nil, KV{Program: id}, &out)
	if err == nil && out.Program != id {
		return KV{}, fmt.Errorf("%w: KV cache of program %.80q", ErrMismatch, out.Program)
	}
	return out, err
}

// ImportKV loads the exported KV cache of a program into the engine.
func (e *EngineClient) ImportKV(ctx context.Context, kv KV) error {
	return e.post(ctx, "/v1/kv/import", nil, kv, nil)
}

func (e *EngineClient) get(ctx context.Context, path string, out any) error {
	return e.adminRequest(ctx, http.MethodGet, path, nil, nil, out)
}

func (e *EngineClient) post(ctx context.Context, path string, h http.Header, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return e.adminRequest(ctx, http.MethodPost, path, h, body, out)
}

// adminRequest makes an administrative request and decodes the JSON body of its
// response into out, unless out is nil. If the request times out, the idle
// connections are closed, since they may have gone silent as well.
func (e *EngineClient) adminRequest(ctx context.Context, method, path string, h http.Header, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, e.options.AdminTimeout)
	defer cancel()
	var sent sendProgress
	r, err := http.NewRequestWithContext(sent.trace(ctx), method, e.ep.URL+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	for name, values := range h {
		r.Header[name] = values
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := e.clients.pooled.Do(r)
	if err != nil {
		if ctx.Err() != nil {
			e.clients.dropIdle()
		}
		return sent.classify(ctx, err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return e.errorResponse(res)
	}
	defer drainAndClose(res.Body)
	response, err := readLimited(res.Body, e.options.MaxResponseBytes)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnanswered, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(response, out); err != nil {
		return fmt.Errorf("%w: malformed answer: %w", ErrUnanswered, err)
	}
	return nil
}
