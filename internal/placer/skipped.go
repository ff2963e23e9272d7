package placer

import (
	"errors"
	"maps"
	"sync"

	"olivetiller/core/logstore"
)

// maxFaultLogLines bounds the log lines per page of records: a foreign writer may write bad records at any rate.
const maxFaultLogLines = 3

// faults counts the records that were skipped, by reason. It is safe for concurrent use.
type faults struct {
	mu     sync.Mutex
	counts map[logstore.Reason]int
}

// add counts one record.
func (f *faults) add(r logstore.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = make(map[logstore.Reason]int)
	}
	f.counts[r]++
}

// all returns a copy of the counts.
func (f *faults) all() map[logstore.Reason]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts)
}

// countSkipped counts the damaged records of a page and logs the first of them.
func (c *Controller) countSkipped(topic string, damaged []logstore.Damaged) {
	for i, d := range damaged {
		err := d.Err
		reason := logstore.Unreadable
		var fault *logstore.Fault
		if errors.As(err, &fault) {
			reason = fault.Reason
		}
		c.faults.add(reason)
		if i < maxFaultLogLines {
			c.o.Logger.Error("record skipped", "topic", topic, "reason", string(reason), "error", err.Error(), "ofThePage", len(damaged))
		}
	}
}
