package endpoint

import (
	"net/http"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// poolIdle is the time after which the connections of an endpoint that is not
// used are given up.
const poolIdle = 10 * time.Minute

// Pool hands out clients of endpoints. Each endpoint has connections of its
// own, so that distrust of one endpoint's connections leaves the others'
// alone. It is safe for concurrent use.
type Pool struct {
	base    *http.Transport
	options Options

	mu     sync.Mutex
	places map[string]*place // by base URL
}

// place is an endpoint's connections.
type place struct {
	conns connections
	used  time.Time
}

// NewPool returns a Pool whose connections are made as the base transport's.
func NewPool(base *http.Transport, o Options) *Pool {
	o.setDefaults()
	return &Pool{base: base, options: o, places: make(map[string]*place)}
}

// EngineClient returns a client of an engine.
func (p *Pool) EngineClient(ep entity.Endpoint) *EngineClient {
	return &EngineClient{ep: ep, conns: p.connections(ep.URL), options: p.options}
}

// ServiceClient returns a client of a tool or plain service.
func (p *Pool) ServiceClient(ep entity.Endpoint) *ServiceClient {
	return &ServiceClient{ep: ep, conns: p.connections(ep.URL), options: p.options}
}

func (p *Pool) connections(url string) connections {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.places[url]
	if at == nil {
		p.forget(now)
		at = &place{conns: newConnections(&http.Client{Transport: p.base.Clone()})}
		p.places[url] = at
	}
	at.used = now
	return at.conns
}

// forget gives up what has not been used for a time. A client that is still
// out can go on with new connections. The mutex is held.
func (p *Pool) forget(now time.Time) {
	for url, at := range p.places {
		if now.Sub(at.used) > poolIdle {
			at.conns.reused.CloseIdleConnections()
			delete(p.places, url)
		}
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.places {
		at.conns.reused.CloseIdleConnections()
	}
}
