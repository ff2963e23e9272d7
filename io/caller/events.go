package caller

import (
	"bytes"

	"olivetiller/core/answerlimit"
)

// eventEnd ends a block of lines: an event, or comments.
var eventEnd = []byte("\n\n")

// isEvent reports whether a block is an event, and not just comments or empty lines.
func isEvent(block []byte) bool {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// eventScanner finds the complete events at the begin of a buffer to which a stream is appended. The zero value is for an
// empty buffer.
type eventScanner struct {
	// blocks is the end of the last complete block; no block up to it is an event. scanned is the position up to which no
	// later block ends.
	blocks, scanned int
}

// scan returns the end of the last complete event in buf, 0 if there is none. The caller must then remove the bytes up to
// there and call removed. The error is an *answerlimit.TooLongError if what follows the last event is too long.
func (s *eventScanner) scan(buf []byte) (end int, err error) {
	for {
		i := bytes.Index(buf[s.scanned:], eventEnd)
		if i < 0 {
			s.scanned = max(s.blocks, len(buf)-len(eventEnd)+1)
			break
		}
		block := buf[s.blocks : s.scanned+i]
		s.blocks = s.scanned + i + len(eventEnd)
		s.scanned = s.blocks
		if isEvent(block) {
			end = s.blocks
		}
	}
	switch {
	case s.blocks-end > answerlimit.CommentBytes:
		err = &answerlimit.TooLongError{Part: answerlimit.Comments, Limit: answerlimit.CommentBytes}
	case len(buf)-s.blocks > answerlimit.EventBytes:
		err = &answerlimit.TooLongError{Part: answerlimit.Event, Limit: answerlimit.EventBytes}
	}
	return end, err
}

// removed notes that the first n bytes of the buffer were removed.
func (s *eventScanner) removed(n int) { s.blocks, s.scanned = s.blocks-n, s.scanned-n }
