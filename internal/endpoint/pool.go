package endpoint

import (
	"net/http"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// poolIdleTimeout is how long the connections of an unused endpoint are kept.
const poolIdleTimeout = 10 * time.Minute

// Pool creates clients of endpoints. Each endpoint has its own connections, so
// that dropping the idle connections of one endpoint doesn't affect the others.
// It is safe for concurrent use.
type Pool struct {
	base    *http.Transport
	options Options

	mu      sync.Mutex
	entries map[string]*poolEntry // guarded by mu; by base URL
}

// poolEntry holds the HTTP clients of an endpoint.
type poolEntry struct {
	clients  httpClients
	lastUsed time.Time
}

// NewPool returns a Pool whose transports are copies of base.
func NewPool(base *http.Transport, o Options) *Pool {
	o.setDefaults()
	return &Pool{base: base, options: o, entries: make(map[string]*poolEntry)}
}

// EngineClient returns a client of an engine.
func (p *Pool) EngineClient(ep entity.Endpoint) *EngineClient {
	return &EngineClient{ep: ep, clients: p.clientsFor(ep.URL), options: p.options}
}

// ServiceClient returns a client of a tool or plain service.
func (p *Pool) ServiceClient(ep entity.Endpoint) *ServiceClient {
	return &ServiceClient{ep: ep, clients: p.clientsFor(ep.URL), options: p.options}
}

func (p *Pool) clientsFor(url string) httpClients {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.entries[url]
	if entry == nil {
		p.evictIdle(now)
		transport := p.base.Clone()
		if transport.MaxResponseHeaderBytes == 0 {
			transport.MaxResponseHeaderBytes = maxHeaderBytes
		}
		entry = &poolEntry{clients: newHTTPClients(&http.Client{Transport: transport})}
		p.entries[url] = entry
	}
	entry.lastUsed = now
	return entry.clients
}

// evictIdle removes the entries that have not been used for poolIdleTimeout; mu
// is held. Clients that were created from removed entries still work, with new
// connections.
func (p *Pool) evictIdle(now time.Time) {
	for url, entry := range p.entries {
		if now.Sub(entry.lastUsed) > poolIdleTimeout {
			entry.clients.pooled.CloseIdleConnections()
			delete(p.entries, url)
		}
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.entries {
		entry.clients.pooled.CloseIdleConnections()
	}
}
