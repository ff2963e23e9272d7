package logservice

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	pb "olivetiller/proto/olivetiller/v1"
)

// ErrBacklog is returned by Submit if too many records wait to be appended.
var ErrBacklog = eris.New("too many records wait for the log service; try again when it is reachable")

// Limits and timeouts of an appender. An append is retried with exponential backoff from minBackoff to maxBackoff.
const (
	maxBacklog      = 20000
	maxBatchRecords = 500
	maxBatchBytes   = 256 << 10
	appendTimeout   = 3 * time.Second
	minBackoff      = 20 * time.Millisecond
	maxBackoff      = time.Second
)

// Appended is called after each confirmed append, with the offset and the encoded batch.
type Appended func(offset uint64, data []byte)

// Appender appends a node's records to a stream of the log, in batches. It is safe for concurrent use.
//
// Invariant: a record is sent to the log only after every record with a lower sequence number is confirmed. That is
// why the replicated state machine (core/ledger) can recognize a repeated record by its sequence number alone.
type Appender struct {
	node        string
	incarnation uint64
	client      *Client
	clock       clockwork.Clock
	appended    Appended
	// pause is the time between two appends, which keeps the rate of all nodes together below the log's limit.
	pause time.Duration

	mu       sync.Mutex
	waiting  []*pb.Record
	sequence uint64
	inFlight bool
	wake     chan struct{}
}

// NewAppender returns an appender for one incarnation of a node. Records are sent while Run is running.
func NewAppender(node string, incarnation uint64, client *Client, clock clockwork.Clock, pause time.Duration, appended Appended) *Appender {
	return &Appender{
		node: node, incarnation: incarnation, client: client, clock: clock,
		pause: pause, appended: appended, wake: make(chan struct{}, 1),
	}
}

// Submit assigns node, sequence number and time to a record, queues it, and returns the sequence number. It returns
// ErrBacklog if the queue is full.
func (a *Appender) Submit(r *pb.Record) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) >= maxBacklog {
		return 0, ErrBacklog
	}
	a.sequence++
	r.Node = a.node
	r.Incarnation = a.incarnation
	r.Sequence = a.sequence
	r.TimeUnixMs = a.clock.Now().UnixMilli()
	a.waiting = append(a.waiting, r)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return r.Sequence, nil
}

// Withdraw removes a queued record. It returns false if the record is not in the queue, because it has been sent to the
// log.
func (a *Appender) Withdraw(sequence uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, r := range a.waiting {
		if r.GetSequence() == sequence {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Backlog returns the number of queued records.
func (a *Appender) Backlog() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting)
}

// Idle reports whether the log has confirmed every submitted record.
func (a *Appender) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting) == 0 && !a.inFlight
}

// Run appends queued records until ctx ends.
func (a *Appender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		for batch := a.next(); batch != nil; batch = a.next() {
			if !a.append(ctx, batch) {
				return
			}
			if a.pause > 0 {
				a.clock.Sleep(a.pause)
			}
		}
	}
}

// next removes the records of the next batch from the queue; nil if the queue is empty.
func (a *Appender) next() *pb.Batch {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, size := 0, 0
	for n < len(a.waiting) && n < maxBatchRecords {
		size += proto.Size(a.waiting[n])
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	if n == 0 {
		a.inFlight = false
		return nil
	}
	a.inFlight = true
	b := &pb.Batch{Records: a.waiting[:n:n]}
	a.waiting = append([]*pb.Record(nil), a.waiting[n:]...)
	return b
}

// append repeats an append with backoff until the log confirms it. It returns false if ctx ends first.
func (a *Appender) append(ctx context.Context, b *pb.Batch) bool {
	data, err := proto.Marshal(b)
	if err != nil {
		// This program builds all records, so one that cannot be encoded is a bug. Panic rather than lose it.
		panic(err)
	}
	backoff := minBackoff
	for {
		actx, cancel := context.WithTimeout(ctx, appendTimeout)
		offset, err := a.client.Append(actx, data)
		cancel()
		if err == nil {
			a.appended(offset, data)
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-a.clock.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
