package caller

import (
	"bytes"

	"olivetiller/core/answerlimit"
)

// maxEndBytes is the length of the longest end of a block of lines, from the LF of its last line: an empty line ends in LF or CRLF.
const maxEndBytes = len("\n\r\n")

// nextBlock finds the first end of a block, an event or comments, that begins at a position of buf or later. Lines is the position
// of the LF of the block's last line, and next that after the end of the block. ok is false if there is none.
func nextBlock(buf []byte, from int) (lines, next int, ok bool) {
	for {
		i := bytes.IndexByte(buf[from:], '\n')
		if i < 0 {
			return 0, 0, false
		}
		lines, from = from+i, from+i+1
		switch rest := buf[from:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return lines, from + 1, true
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return lines, from + 2, true
		}
	}
}

// isEvent reports whether a block is an event, and not just comments or empty lines.
func isEvent(block []byte) bool {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		if line = bytes.TrimSuffix(line, []byte("\r")); len(line) > 0 && line[0] != ':' {
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
		lines, next, ok := nextBlock(buf, s.scanned)
		if !ok {
			s.scanned = max(s.blocks, len(buf)-maxEndBytes+1)
			break
		}
		block, whole := buf[s.blocks:lines], next-s.blocks
		s.blocks, s.scanned = next, next
		if isEvent(block) {
			end, s.comments = s.blocks, 0
			continue
		}
		if s.comments += whole; s.begun {
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
