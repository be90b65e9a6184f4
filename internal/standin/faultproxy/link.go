package faultproxy

import (
	"net"
	"sync"
	"time"
)

// link is one proxied connection.
type link struct {
	proxy  *Proxy
	client *net.TCPConn

	mu     sync.Mutex // guards target and ended
	target *net.TCPConn
	ended  bool

	silent bool // passes nothing any more; the proxy's mutex guards it
}

// chunk is data on its way.
type chunk struct {
	data []byte
	due  time.Time
}

// run passes bytes both ways until both directions have ended.
func (l *link) run(target *net.TCPConn) {
	l.mu.Lock()
	l.target = target
	if l.ended {
		_ = target.Close()
	}
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.pipe(l.client, target, DropUp) })
	wg.Go(func() { l.pipe(target, l.client, DropDown) })
	wg.Wait()
	l.close()
}

// pipe passes one direction; drop is the mode that holds it back.
func (l *link) pipe(from, to *net.TCPConn, drop Mode) {
	queue := make(chan chunk, queuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { l.write(queue, to, drop) })
	defer wg.Wait()
	defer close(queue)
	for {
		buf := make([]byte, bufferBytes)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- chunk{data: buf[:n], due: time.Now().Add(l.proxy.latency())}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) latency() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

// write sends chunks when they are due and let through. After an error it
// drains the queue, so that the reader ends too.
func (l *link) write(queue <-chan chunk, to *net.TCPConn, drop Mode) {
	broken := false
	for c := range queue {
		if broken {
			continue
		}
		time.Sleep(time.Until(c.due))
		if !l.letThrough(drop) {
			broken = true
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			broken = true
			l.close()
		}
	}
	if !broken && l.letThrough(drop) {
		_ = to.CloseWrite()
	}
}

// letThrough waits until bytes may pass. It is false once the link has ended.
func (l *link) letThrough(drop Mode) bool {
	p := l.proxy
	for {
		p.mu.Lock()
		held := l.silent || p.isCut(l) || p.mode == Blackhole || p.mode == drop
		changed := p.changed
		closed := p.closed
		p.mu.Unlock()
		switch {
		case closed || l.hasEnded():
			return false
		case !held:
			return true
		}
		<-changed
	}
}

func (l *link) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// close ends both connections.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	_ = l.client.Close()
	if l.target != nil {
		_ = l.target.Close()
	}
}

// reset ends both connections with a reset. An error means that a connection
// has ended already.
func (l *link) reset() {
	l.mu.Lock()
	_ = l.client.SetLinger(0)
	if l.target != nil {
		_ = l.target.SetLinger(0)
	}
	l.mu.Unlock()
	l.close()
}
