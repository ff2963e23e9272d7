package placer

import (
	"errors"
	"maps"
	"sync"

	"olivetiller/core/logstore"
)

// mostFaultLines bounds the lines on one page of records: another writer may write as often
// as it likes.
const mostFaultLines = 3

// faults counts the records passed over, by reason. It is safe for concurrent use.
type faults struct {
	mu     sync.Mutex
	counts map[logstore.Reason]int
}

// add counts a record.
func (f *faults) add(r logstore.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = make(map[logstore.Reason]int)
	}
	f.counts[r]++
}

// all returns the counts.
func (f *faults) all() map[logstore.Reason]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts)
}

// passedOver counts the damaged records of a page and logs the first of them.
func (c *Controller) passedOver(topic string, damaged []error) {
	for i, err := range damaged {
		reason := logstore.Unreadable
		var fault *logstore.Fault
		if errors.As(err, &fault) {
			reason = fault.Reason
		}
		c.faults.add(reason)
		if i < mostFaultLines {
			c.o.Logger.Error("record passed over", "topic", topic, "reason", string(reason), "error", err.Error(), "ofThePage", len(damaged))
		}
	}
}
