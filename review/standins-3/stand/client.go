package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Event is an event of a stream as a client got it.
type Event struct {
	ID, Data string
	At       time.Time
}

// Reply is what a client got for a request.
type Reply struct {
	Attempt string
	Status  int // 0 without an answer
	Header  http.Header
	Body    string
	Events  []Event // of a stream
	Whole   bool    // the answer has ended as its framing says
	Err     error
	Sent    time.Time
	Took    time.Duration
}

var attempts atomic.Int64

// NewAttempt returns an id that no other request has.
func NewAttempt() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), uint32(attempts.Add(1)))
}

// Request is a request of a client.
type Request struct {
	Method, Host, Path string
	Attempt            string // made if empty
	Header             map[string]string
	Body               string
	Deadline           time.Duration
}

// Send sends a request on a new connection and reads the answer.
func Send(address string, r Request) Reply {
	if r.Attempt == "" {
		r.Attempt = NewAttempt()
	}
	reply := Reply{Attempt: r.Attempt, Sent: time.Now()}
	defer func() { reply.Took = time.Since(reply.Sent) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		reply.Err = err
		return reply
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.Deadline + time.Second)) // fails only if it is closed
	if _, err := io.WriteString(c, r.Bytes()); err != nil {
		reply.Err = err
		return reply
	}
	reply.read(bufio.NewReader(c), r.Method)
	return reply
}

// Bytes returns the request as it is sent.
func (r *Request) Bytes() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.Method, r.Path, r.Host, r.Attempt, r.Deadline.Milliseconds())
	for name, value := range r.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if r.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.WriteString(r.Body)
	return b.String()
}

func (p *Reply) read(reader *bufio.Reader, method string) {
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		p.Err = err
		return
	}
	defer resp.Body.Close()
	p.Status, p.Header = resp.StatusCode, resp.Header
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(resp.Body)
		p.Body, p.Err, p.Whole = string(body), err, err == nil
		return
	}
	lines := bufio.NewReader(resp.Body)
	var event Event
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			p.Whole = err == io.EOF && line == ""
			if !p.Whole {
				p.Err = err
			}
			return
		}
		switch line = strings.TrimRight(line, "\r\n"); {
		case line == "":
			event.At = time.Now()
			p.Events = append(p.Events, event)
			event = Event{}
		case strings.HasPrefix(line, "id: "):
			event.ID = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			event.Data = line[len("data: "):]
		}
	}
}
