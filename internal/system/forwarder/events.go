package forwarder

import (
	"bytes"
	"errors"
	"strconv"
)

// eventBlock is a sequence of complete events of a stream.
type eventBlock struct {
	length int // in bytes, including the blank line that ends the last event
	events int
	lastID string // empty if no event has an id
}

// event is a part of a stream up to a blank line.
type event struct {
	length  int  // in bytes, including the blank line
	isEvent bool // false for comments and blank lines
	id      string
}

// firstEvent returns the event at the start of b, which starts between two events, and whether
// it is complete. A line ends with LF, CR LF or CR. If b ends after the CR of a blank line, the
// event is complete unless its lines end with CR LF: what comes next may be another answer,
// without the LF.
func firstEvent(b []byte) (event, bool) {
	var e event
	endsCRLF := false // of the line before
	for {
		length := bytes.IndexAny(b[e.length:], "\r\n")
		if length < 0 {
			return event{}, false
		}
		line := b[e.length : e.length+length]
		e.length += length + 1
		if len(line) == 0 && endsCRLF && b[e.length-1] == '\r' && e.length == len(b) {
			return event{}, false
		}
		endsCRLF = b[e.length-1] == '\r' && e.length < len(b) && b[e.length] == '\n'
		if endsCRLF {
			e.length++
		}
		if len(line) == 0 {
			return e, true
		}
		e.isEvent = e.isEvent || line[0] != ':'
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
		}
	}
}

// appendEventData appends the data of each event in b, followed by a line feed. b consists of
// complete events. Lines of data of one event are joined by a line feed; an event without such a
// line has no data.
func appendEventData(dst, b []byte) []byte {
	hasData := false // the current event has a line of data
	for len(b) > 0 {
		length := bytes.IndexAny(b, "\r\n")
		if length < 0 {
			length = len(b)
		}
		line, rest := b[:length], b[length:]
		if crlf := []byte("\r\n"); bytes.HasPrefix(rest, crlf) {
			rest = rest[len(crlf):]
		} else if len(rest) > 0 {
			rest = rest[1:]
		}
		b = rest
		if len(line) == 0 {
			if hasData {
				dst = append(dst, '\n')
			}
			hasData = false
			continue
		}
		if field, value, _ := bytes.Cut(line, []byte(":")); string(field) == "data" {
			if hasData {
				dst = append(dst, '\n')
			}
			dst = append(dst, bytes.TrimPrefix(value, []byte(" "))...)
			hasData = true
		}
	}
	return dst
}

// errNotNext means that a stream that goes on after an event has another event than the next one.
var errNotNext = errors.New("event of the resumed stream is not the next one")

// errLongEventID means that the id of an event exceeds the maximum size.
var errLongEventID = errors.New("id of an event exceeds the maximum size")

// eventOrder follows the ids of a stream's events over the answers that they come from. The first
// answer is the stream as its endpoint made it, with or without ids, except that a stream that the
// caller takes up must not go back. In any other answer an event without an id may be an error of
// the endpoint.
type eventOrder struct {
	last     string // id of the last event that has one, or after which the caller takes the stream up
	observed bool   // an event with an id came
	gapless  bool   // each id so far is the number after the one before, at the start 0 or 1
	resumed  bool   // the current answer isn't the first one
	begun    bool   // an event of the current answer was taken
}

// resume begins another answer.
func (o *eventOrder) resume() { o.resumed, o.begun = true, false }

// take returns the complete events at the start of b, which starts between two events, that may
// go to the caller. The error is errNotNext or errLongEventID if the event after them may not.
// Comments that come before the first event of a resumed stream are taken together with it.
func (o *eventOrder) take(b []byte) (eventBlock, error) {
	var block eventBlock
	for end := 0; ; {
		e, ok := firstEvent(b[end:])
		if !ok {
			return block, nil
		}
		if len(e.id) > maxEventIDBytes {
			return block, errLongEventID
		}
		if e.isEvent && !o.accepts(e.id) {
			return block, errNotNext
		}
		end += e.length
		if e.isEvent {
			o.begun = true
			block.events++
		}
		if e.id != "" {
			o.observe(e.id)
			block.lastID = e.id
		}
		if o.begun || !o.resumed {
			block.length = end
		}
	}
}

// accepts reports whether an event with an id, or without one, may come now.
func (o *eventOrder) accepts(id string) bool {
	if o.resumed {
		return id != "" && (o.last == "" || o.isNext(id))
	}
	return o.observed || o.last == "" || id == "" || o.isNext(id)
}

// isNext reports whether an event with an id may come after the last one.
func (o *eventOrder) isNext(id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(o.last, 10, 64)
	switch {
	case err != nil && lastErr != nil: // ids without an order
		return id != o.last
	case err != nil || lastErr != nil:
		return false
	case o.gapless:
		return n == last+1
	default:
		return n > last
	}
}

// observe records the id of an event.
func (o *eventOrder) observe(id string) {
	n, err := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(o.last, 10, 64)
	follows := err == nil && lastErr == nil && n == last+1
	starts := err == nil && n <= 1 && o.last == ""
	o.gapless = starts || follows && (o.gapless || !o.observed)
	o.last, o.observed = id, true
}
