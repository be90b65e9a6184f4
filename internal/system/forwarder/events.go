package forwarder

import "bytes"

// eventBlock is a sequence of complete events of a stream.
type eventBlock struct {
	length int // in bytes, including the blank line that ends the last event
	events int
	lastID string // empty if no event has an id
}

// completeEvents returns the complete events at the start of b, which starts
// between two events. A line ends with LF, CR LF or CR. If b ends between the CR
// and the LF of a blank line, the LF starts the next block, as a blank line.
func completeEvents(b []byte) eventBlock {
	var block eventBlock
	id, hasLines := "", false
	for start := 0; ; {
		length := bytes.IndexAny(b[start:], "\r\n")
		if length < 0 {
			return block
		}
		line := b[start : start+length]
		start += length + 1
		if b[start-1] == '\r' && start < len(b) && b[start] == '\n' {
			start++
		}
		if len(line) > 0 {
			hasLines = hasLines || line[0] != ':' // a comment is no event
			if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				id = string(bytes.TrimSpace(value))
			}
			continue
		}
		block.length = start
		if hasLines {
			block.events++
		}
		if id != "" {
			block.lastID = id
		}
		id, hasLines = "", false
	}
}
