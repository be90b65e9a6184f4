package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/httpconn"
)

// Buffer sizes and limits for responses, in bytes.
const (
	// readBufferSize is the size of the buffer that responses are read into.
	readBufferSize = 4 << 10
	// maxBufferedBody is the size up to which a response that isn't a stream is
	// buffered before it is forwarded, so that the request can be resent if the
	// response is interrupted before that.
	maxBufferedBody = 64 << 10
	// maxEventSize bounds one event of a stream.
	maxEventSize = 256 << 10
	// maxRejectionBody bounds the body of a rejection, which is discarded.
	maxRejectionBody = 16 << 10
)

// rejectionBodyTimeout bounds the time to read the body of a rejection. Its connection is
// closed if the body has not ended by then.
const rejectionBodyTimeout = 100 * time.Millisecond

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// EndToEndHeaders returns the headers to forward: all but hop-by-hop ones, those
// named in Connection, and those in drop.
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
		if !hopByHopHeaders[name] && !named[name] && !drop[name] {
			out[name] = values
		}
	}
	return out
}

// checkEncoding returns an error if the body of a success has an encoding that the caller hasn't
// asked for, or if it should go on with a stream: it isn't what the caller takes it for.
func (x *exchange) checkEncoding(resp *http.Response) error {
	encodings := resp.Header["Content-Encoding"]
	if resp.StatusCode/100 != 2 || len(encodings) == 0 {
		return nil
	}
	accepted := listItems(x.request.Header["Accept-Encoding"])
	for _, encoding := range listItems(encodings) {
		if encoding != "identity" && (x.headerSent || !slices.Contains(accepted, encoding)) {
			return fmt.Errorf("body of the response has the encoding %q", encoding)
		}
	}
	return nil
}

// listItems returns the items of a header that is a comma-separated list, in lower case and
// without parameters.
func listItems(values []string) []string {
	var items []string
	for item := range strings.SplitSeq(strings.Join(values, ","), ",") {
		name, _, _ := strings.Cut(item, ";")
		if name = strings.ToLower(textproto.TrimString(name)); name != "" {
			items = append(items, name)
		}
	}
	return items
}

// streamFraming holds the headers that a stream doesn't take over from its first
// response, since the rest may come from other responses.
var streamFraming = map[string]bool{"Content-Length": true}

// sendHeader sends the response header without those in drop to the caller, once.
func (x *exchange) sendHeader(resp *http.Response, drop map[string]bool) {
	if x.headerSent {
		return // resumed: the header was sent by an earlier attempt
	}
	h := x.w.Header()
	for name, values := range EndToEndHeaders(resp.Header, drop) {
		h[name] = values
	}
	if _, dated := resp.Header["Date"]; !dated {
		h["Date"] = nil // keeps net/http from adding a Date
	}
	x.headerSent = true
	x.status = resp.StatusCode
	x.w.WriteHeader(resp.StatusCode)
}

// sendStreamHeader sends the response header of a stream to the caller, once.
func (x *exchange) sendStreamHeader(resp *http.Response) {
	x.streaming = true
	x.sendHeader(resp, streamFraming)
}

// forwardBody forwards a response that isn't a stream. It buffers up to
// maxBufferedBody before it writes to the caller. The body of a turn that is kept
// doesn't end by its length, as its end is sent once the turn is kept.
func (x *exchange) forwardBody(resp *http.Response) error {
	x.buffer.bytes = x.buffer.bytes[:0]
	if err := x.buffer.readFrom(resp.Body, maxBufferedBody); err != nil {
		return err
	}
	body := x.buffer.bytes
	took := time.Since(x.sentAt)
	x.f.delays.update(x.requestClass(), func(d *classDelays) { d.firstData = d.firstData.Observe(took) })
	var drop map[string]bool
	if x.keepsTurn(resp.StatusCode) {
		drop = streamFraming
	}
	x.sendHeader(resp, drop)
	if _, err := x.w.Write(body); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	if len(body) < maxBufferedBody {
		return nil
	}
	return x.copyBody(resp.Body)
}

func (x *exchange) copyBody(body io.Reader) error {
	buf := make([]byte, readBufferSize)
	for {
		n, err := body.Read(buf)
		if _, werr := x.w.Write(buf[:n]); werr != nil {
			return fmt.Errorf("%w: %w", errCallerGone, werr)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// errInsideEvent means that a stream ended in the middle of an event.
var errInsideEvent = errors.New("stream ended inside an event")

// errNoEvents means that a stream ended before its first event though nothing but its end says
// that it was complete: one without a framing, or one that should have gone on with the next
// event. An endpoint that fails before its first event often ends its stream in order.
var errNoEvents = errors.New("stream ended before an event")

// forwardStream forwards complete events as they arrive, so that a stream that is
// interrupted in the middle of an event can be resumed after the last complete one.
func (x *exchange) forwardStream(conn *httpconn.Conn, resp *http.Response) error {
	flusher := http.NewResponseController(x.w)
	eventsBefore := x.events
	resumed := x.headerSent
	if resumed {
		x.order.resume()
	} else if x.route.Kind == forward.Stream {
		x.order.last = x.request.LastEventID
	}
	lastEvent := x.sentAt
	buf := &x.buffer
	buf.bytes = buf.bytes[:0]
	chunk := make([]byte, readBufferSize)
	for {
		n, err := resp.Body.Read(chunk)
		if err := buf.write(chunk[:n]); err != nil {
			return err
		}
		block, orderErr := x.order.take(buf.bytes)
		if block.length > 0 {
			if err := x.reserveEvents(block.events); err != nil {
				return fmt.Errorf("%w: %w", errBudgetSpent, err)
			}
			if block.events > 0 {
				lastEvent = time.Now()
				x.observeDelay()
			}
			if x.stream.begun && x.events == eventsBefore {
				if err := x.verifyVersion(); err != nil {
					return err
				}
			}
			x.recordFirstEvent()
			if err := x.recordOutput(buf.bytes[:block.length]); err != nil {
				return err
			}
			x.sendStreamHeader(resp)
			x.recordEvents(block)
			conn.InactivityTimeout = min(probeAfterSilence, x.overdueAfter())
			if werr := x.writeAndFlush(flusher, buf.bytes[:block.length]); werr != nil {
				return werr
			}
			buf.drop(block.length)
		}
		x.unfinishedBytes = len(buf.bytes)
		switch {
		case orderErr != nil:
			return orderErr
		case errors.Is(err, io.EOF) && len(buf.bytes) > 0:
			return errInsideEvent
		case errors.Is(err, io.EOF) && (resumed || x.framing == httpconn.FramedByClose) && x.events == eventsBefore:
			return errNoEvents
		case errors.Is(err, io.EOF):
			x.sendStreamHeader(resp)
			return nil
		case err != nil:
			return err
		case x.stalled(time.Since(lastEvent)):
			return errResponseOverdue
		case len(buf.bytes) > maxEventSize:
			return errors.New("event of the stream exceeds the maximum size")
		}
	}
}

// observeDelay records the delay of the events that have just arrived.
func (x *exchange) observeDelay() {
	now := time.Now()
	first := x.events == 0
	if first {
		x.timeToFirstEvent = now.Sub(x.sentAt)
	}
	x.f.delays.update(x.requestClass(), func(d *classDelays) {
		if first {
			d.firstData = d.firstData.Observe(x.timeToFirstEvent)
		} else if x.lastEventsAt.After(x.sentAt) { // not the gap before a resumed stream
			d.eventGap = d.eventGap.Observe(now.Sub(x.lastEventsAt))
		}
	})
	x.lastEventsAt = now
}

// recordEvents counts forwarded events and records the id of the last one.
func (x *exchange) recordEvents(block eventBlock) {
	x.events += block.events
	if block.lastID != "" {
		x.lastEventID = block.lastID
	}
}

// recordOutput records the data of complete events of a turn that is kept, or returns errNoRoom.
func (x *exchange) recordOutput(events []byte) error {
	if !x.retained() || x.oversize {
		return nil
	}
	if err := x.output.reserve(len(events) + 1); err != nil { // the data of events isn't longer
		return err
	}
	x.output.bytes = appendEventData(x.output.bytes, events)
	if int64(len(x.request.Body)+len(x.output.bytes)) > x.longestConversation() {
		x.oversize = true
		x.output.free()
	}
	return nil
}

func (x *exchange) writeAndFlush(flusher *http.ResponseController, b []byte) error {
	if _, err := x.w.Write(b); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	if err := flusher.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}
