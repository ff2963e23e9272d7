package caller

import (
	"sync/atomic"

	"olivetiller/core/refusal"
)

// heldBytes counts the bytes of request and answer bodies in memory. Streams are not counted: each has a buffer of
// fixed size, and while its caller does not read, its endpoint is not read either.
type heldBytes struct {
	bytes atomic.Int64
	// limit is the number of bytes above which new requests are refused; 0 for no limit.
	limit int64
}

// admit adds the body of a new request, or refuses it if that exceeds the limit, so that the requests in progress do
// not run out of memory.
func (h *heldBytes) admit(n int64) error {
	now := h.bytes.Add(n)
	if h.limit <= 0 || now <= h.limit {
		return nil
	}
	h.bytes.Add(-n)
	return refusal.New(refusal.QueueFull, "%d bytes of requests and answers are in memory on this node; the limit is %d", now-n, h.limit)
}

// add adds the body of an answer, which is never refused.
func (h *heldBytes) add(n int64) { h.bytes.Add(n) }

// remove subtracts bytes that were added before.
func (h *heldBytes) remove(n int64) { h.bytes.Add(-n) }
