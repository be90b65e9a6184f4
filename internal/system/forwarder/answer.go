package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"ibisstall.example/ibisstall/internal/httpconn"
)

// Sizes of answers.
const (
	// readSize is how much of an answer is read at a time.
	readSize = 4 << 10 // bytes
	// maxWhole bounds an answer that is read to its end before any of it is
	// passed on, so that it can be had anew if it breaks off.
	maxWhole = 64 << 10 // bytes
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20 // bytes
)

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// EndToEndHeaders returns the headers that are passed on: all but those that concern
// one connection and those that drop names.
func EndToEndHeaders(h http.Header, drop map[string]bool) http.Header {
	out := make(http.Header, len(h))
	var named map[string]bool
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))] = true
		}
	}
	for name, values := range h {
		if !hopHeaders[name] && !named[name] && !drop[name] {
			out[name] = values
		}
	}
	return out
}

// begin sends the header of an answer to the caller.
func (x *exchange) begin(resp *http.Response) {
	if x.started {
		return // resumed: the answer keeps its first header
	}
	h := x.w.Header()
	for name, values := range EndToEndHeaders(resp.Header, nil) {
		h[name] = values
	}
	if _, dated := resp.Header["Date"]; !dated {
		h["Date"] = nil // not ours to add
	}
	x.started = true
	x.status = resp.StatusCode
	x.w.WriteHeader(resp.StatusCode)
}

// whole passes on an answer that is no stream. A short one is read to its end
// first.
func (x *exchange) whole(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole))
	if err != nil {
		return err
	}
	took := time.Since(x.sent)
	x.f.waits.change(x.class(), func(d *delays) { d.first = d.first.Observe(took) })
	x.begin(resp)
	if _, err := x.w.Write(body); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if len(body) < maxWhole {
		return nil
	}
	return x.copyRest(resp.Body)
}

func (x *exchange) copyRest(body io.Reader) error {
	buf := make([]byte, readSize)
	for {
		n, err := body.Read(buf)
		if _, werr := x.w.Write(buf[:n]); werr != nil {
			return fmt.Errorf("%w: %w", errCaller, werr)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// stream passes on whole events as they come, so that a stream that breaks off
// in the middle of an event can be resumed after the last whole one.
func (x *exchange) stream(conn *httpconn.Conn, resp *http.Response) error {
	flusher := http.NewResponseController(x.w)
	var buf []byte
	chunk := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(chunk)
		buf = append(buf, chunk[:n]...)
		if end := eventsEnd(buf); end > 0 {
			if err := x.mayPass(bytes.Count(buf[:end], eventEnd)); err != nil {
				return fmt.Errorf("%w: %w", errBudget, err)
			}
			x.measure()
			x.begin(resp)
			x.note(buf[:end])
			conn.Silence = min(silenceLimit, x.overdueAfter())
			if werr := x.pass(flusher, buf[:end]); werr != nil {
				return werr
			}
			buf = append(buf[:0], buf[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			x.begin(resp)
			if len(buf) > 0 {
				return x.pass(flusher, buf)
			}
			return nil
		case err != nil:
			return err
		case len(buf) > maxEvent:
			return errors.New("event too long")
		}
	}
}

// measure takes in the delay of the events that have just come.
func (x *exchange) measure() {
	now := time.Now()
	first := x.events == 0
	if first {
		x.firstByte = now.Sub(x.sent)
	}
	x.f.waits.change(x.class(), func(d *delays) {
		if first {
			d.first = d.first.Observe(x.firstByte)
		} else if x.lastCame.After(x.sent) {
			d.gap = d.gap.Observe(now.Sub(x.lastCame))
		}
	})
	x.lastCame = now
}

func (x *exchange) pass(flusher *http.ResponseController, b []byte) error {
	if _, err := x.w.Write(b); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if err := flusher.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// eventsEnd returns the length of the whole events at the start of b.
func eventsEnd(b []byte) int {
	i := bytes.LastIndex(b, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

// note follows the ids of passed events.
func (x *exchange) note(events []byte) {
	for len(events) > 0 {
		event, rest, _ := bytes.Cut(events, eventEnd)
		events = rest
		x.events++
		for line := range bytes.Lines(event) {
			if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				x.lastEvent = string(bytes.TrimSpace(id))
			}
		}
	}
}
