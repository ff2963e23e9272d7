package origins

import (
	"context"
	"slices"

	"olivetiller/core/origin"
	"olivetiller/io/peer"
)

// replication is a record on its way to the nodes that keep copies.
type replication struct {
	record origin.Record
	// keepers holds the addresses of the nodes that may keep it, and next is the index of the next one to try after a
	// failure.
	keepers []string
	next    int
}

// outbox holds the records for one node. Those that come while a call is under way go with the next one.
type outbox struct {
	pending []*replication
	sending bool
}

// copyRecord sends a record to the nodes that keep it. The caller holds t.mu.
func (t *Tracker) copyRecord(r origin.Record) {
	c := &replication{record: r, keepers: origin.Keepers(t.o.Self, origin.Order(r.Key, t.o.Nodes()))}
	for range origin.Copies {
		t.sendNext(c)
	}
}

// sendNext puts a record into the outbox of the next node that may keep it. The caller holds t.mu.
func (t *Tracker) sendNext(c *replication) {
	if c.next >= len(c.keepers) {
		t.Metrics.NotCopied.Add(1)
		return
	}
	address := c.keepers[c.next]
	c.next++
	b := t.outboxes[address]
	if b == nil {
		b = &outbox{}
		t.outboxes[address] = b
	}
	b.pending = append(b.pending, c)
	if !b.sending {
		b.sending = true
		t.o.Clock.AfterFunc(sendDelay, func() { t.send(address, b) })
	}
}

// send sends the records of an outbox until it is empty.
func (t *Tracker) send(address string, b *outbox) {
	for {
		batch, records := t.take(address, b)
		if len(batch) == 0 {
			return
		}
		err := t.o.Peers.KeepOrigins(context.Background(), address, records)
		if err == nil {
			t.Metrics.Copied.Add(int64(len(batch)))
			continue
		}
		t.o.Logger.Debug("records of streams not copied", "address", address, "count", len(batch), "error", err.Error())
		t.mu.Lock()
		for _, c := range batch {
			t.sendNext(c)
		}
		t.mu.Unlock()
	}
}

// take removes the next records from an outbox, or the outbox itself if it is empty.
func (t *Tracker) take(address string, b *outbox) (batch []*replication, records []peer.Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(len(b.pending), peer.MaxOrigins)
	if n == 0 {
		delete(t.outboxes, address)
		return nil, nil
	}
	batch, b.pending = b.pending[:n], slices.Clone(b.pending[n:])
	now := t.o.Clock.Now()
	for _, c := range batch {
		records = append(records, peer.EncodeOrigin(c.record, now))
	}
	return batch, records
}
