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

	stalled bool // forwards nothing any more; guarded by the proxy's mutex
}

// chunk is data that is forwarded at a given time.
type chunk struct {
	data []byte
	due  time.Time
}

// run forwards bytes in both directions until both have ended.
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

// pipe forwards one direction; drop is the mode that blocks it.
func (l *link) pipe(from, to *net.TCPConn, drop Mode) {
	queue := make(chan chunk, maxQueuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { l.write(queue, to, drop) })
	defer wg.Wait()
	defer close(queue)
	for {
		buf := make([]byte, bufferBytes)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- chunk{data: buf[:n], due: time.Now().Add(l.proxy.currentDelay())}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) currentDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

// write sends chunks when they are due and the direction isn't blocked. After
// an error it drains the queue, so that the reading side doesn't block.
func (l *link) write(queue <-chan chunk, to *net.TCPConn, drop Mode) {
	broken := false
	for c := range queue {
		if broken {
			continue
		}
		time.Sleep(time.Until(c.due))
		if !l.waitUntilAllowed(drop) {
			broken = true
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			broken = true
			l.close()
		}
	}
	if !broken && l.waitUntilAllowed(drop) {
		_ = to.CloseWrite()
	}
}

// waitUntilAllowed waits until the direction isn't blocked. It returns false once
// the link or the proxy is closed.
func (l *link) waitUntilAllowed(drop Mode) bool {
	p := l.proxy
	for {
		p.mu.Lock()
		blocked := l.stalled || p.isPartitioned(l) || p.mode == Blackhole || p.mode == drop
		changed := p.changed
		closed := p.closed
		p.mu.Unlock()
		switch {
		case closed || l.hasEnded():
			return false
		case !blocked:
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

// close closes both connections.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	_ = l.client.Close()
	if l.target != nil {
		_ = l.target.Close()
	}
}

// reset closes both connections with a TCP reset. Errors of SetLinger are
// ignored, since they mean that the connection is closed already.
func (l *link) reset() {
	l.mu.Lock()
	_ = l.client.SetLinger(0)
	if l.target != nil {
		_ = l.target.SetLinger(0)
	}
	l.mu.Unlock()
	l.close()
}
