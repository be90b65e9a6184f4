package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Heartbeat is the time between two entries of a runner in the store.
const Heartbeat = 1200 * time.Millisecond

// Runner is a stand-in for a runner. It may crash and start again under its id.
type Runner struct {
	ID, Service, Zone, Address string
	Slots                      int
	Store                      *Store
	Record                     *Record
	// Handle answers a request. It returns false if the connection ends.
	Handle func(r *Runner, c net.Conn, req *http.Request, body []byte) bool

	mu       sync.Mutex
	version  string
	state    string
	born     int64
	number   int
	listener net.Listener
	conns    map[net.Conn]bool
	stop     chan struct{}
}

// Start starts the runner with a version of its software. Its address stays the same.
func (r *Runner) Start(version string) error {
	address := r.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.Address, r.listener, r.version, r.state = l.Addr().String(), l, version, "ready"
	r.born, r.number = time.Now().UnixMilli(), 0
	r.conns, r.stop = make(map[net.Conn]bool), make(chan struct{})
	stop := r.stop
	r.mu.Unlock()
	r.Record.Add("runner %s starts with software %s", r.ID, version)
	r.Report()
	go r.beat(stop)
	go r.accept(l, stop)
	return nil
}

// Version returns the version of the runner's software.
func (r *Runner) Version() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// SetState changes the state that the runner reports, and reports it.
func (r *Runner) SetState(state string) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	r.Report()
}

// Report writes the runner's entry.
func (r *Runner) Report() {
	r.mu.Lock()
	r.number++
	entry := map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": r.version, "slots": r.Slots,
		"state": r.state, "cold_left_ms": 0, "seq_no": r.number, "born": r.born,
	}
	r.mu.Unlock()
	r.Store.Put("servers", r.ID, entry)
}

func (r *Runner) beat(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(Heartbeat):
			r.Report()
		}
	}
}

// Crash ends the runner: its connections are reset and its address refuses new ones.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stop:
		return
	default:
	}
	close(r.stop)
	r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection is closed
		}
		c.Close()
	}
	r.Record.Add("runner %s crashes", r.ID)
}

func (r *Runner) accept(l net.Listener, stop chan struct{}) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		select {
		case <-stop:
			c.Close()
		default:
			r.conns[c] = true
		}
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *Runner) serve(c net.Conn) {
	defer func() {
		c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if id := req.Header.Get("Expect-Instance"); id != "" && id != r.ID {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", r.ID, req.Header.Get("Attempt-Id"))
			continue
		}
		if !r.Handle(r, c, req, body) {
			return
		}
	}
}

// Answer writes a whole answer.
func Answer(c net.Conn, req *http.Request, status int, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nResponse-Stamp: stamp\r\nContent-Length: %d\r\n\r\n%s",
		status, req.Header.Get("Attempt-Id"), len(body), body)
	return err == nil
}

// StreamEvents answers with the events after Last-Event-Id up to a last one, one in each pause.
// The data of an event is what data returns.
func StreamEvents(c net.Conn, req *http.Request, last int, pause time.Duration, data func(n int) string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		req.Header.Get("Attempt-Id"))
	if err != nil {
		return false
	}
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= last; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, data(n))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
