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
	// blocks is the end of the last complete block, and scanned is the position up to which no later block ends.
	blocks, scanned int
	// comments is the length of the blocks since the last event.
	comments int
	// begun is true if the caller has a part of the stream. Comments are passed on then without waiting for an event, since
	// they keep its connection alive.
	begun bool
}

// scan returns the end of what can be forwarded of buf: of the last complete event, or of the last complete block if the stream
// has begun; 0 if there is nothing. The caller must then remove the bytes up to there and call removed. The error is an
// *answerlimit.TooLongError if what follows the last event is too long.
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
			end, s.comments = s.blocks, 0
			continue
		}
		if s.comments += len(block) + len(eventEnd); s.begun {
			end = s.blocks
		}
	}
	limit := answerlimit.CommentBytes
	if s.begun {
		limit = answerlimit.ForwardedCommentBytes
	}
	switch {
	case s.comments > limit:
		err = &answerlimit.TooLongError{Part: answerlimit.Comments, Limit: int64(limit)}
	case len(buf)-s.blocks > answerlimit.EventBytes:
		err = &answerlimit.TooLongError{Part: answerlimit.Event, Limit: answerlimit.EventBytes}
	}
	return end, err
}

// removed notes that the first n bytes of the buffer were removed.
func (s *eventScanner) removed(n int) { s.blocks, s.scanned = s.blocks-n, s.scanned-n }
