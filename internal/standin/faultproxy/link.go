package faultproxy

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is one proxied connection.
type link struct {
	proxy  *Proxy
	client *net.TCPConn

	mu     sync.Mutex   // guards target and ended
	target *net.TCPConn // nil until connected
	ended  bool         // both connections have been closed

	stalled bool // forwards nothing any more; guarded by the proxy's mutex
}

// chunk is data to forward.
type chunk struct {
	data  []byte
	reset bool      // reset the link instead of writing data
	due   time.Time // earliest time to forward it
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

// pipe forwards bytes in one direction until that direction ends; a reset is passed
// on after the bytes before it. blockingMode is the mode that blocks only this
// direction.
func (l *link) pipe(from, to *net.TCPConn, blockingMode Mode) {
	queue := make(chan chunk, maxQueuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { l.write(queue, to, blockingMode) })
	defer wg.Wait()
	defer close(queue)
	for {
		buf := make([]byte, bufferBytes)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- chunk{data: buf[:n], due: time.Now().Add(l.proxy.currentDelay())}
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				queue <- chunk{reset: true, due: time.Now().Add(l.proxy.currentDelay())}
			}
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
func (l *link) write(queue <-chan chunk, to *net.TCPConn, blockingMode Mode) {
	broken := false
	for c := range queue {
		if broken {
			continue
		}
		time.Sleep(time.Until(c.due))
		if !l.waitUntilAllowed(blockingMode) {
			broken = true
			continue
		}
		if c.reset {
			broken = true
			l.reset()
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			broken = true
			l.close()
		}
	}
	if !broken && l.waitUntilAllowed(blockingMode) {
		_ = to.CloseWrite()
	}
}

// waitUntilAllowed waits until one direction isn't blocked; blockingMode is the mode
// that blocks only that direction. It returns false if the link or the proxy is
// closed.
func (l *link) waitUntilAllowed(blockingMode Mode) bool {
	p := l.proxy
	for {
		p.mu.Lock()
		blocked := l.stalled || p.isPartitioned(l) || p.mode == Blackhole || p.mode == blockingMode
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
