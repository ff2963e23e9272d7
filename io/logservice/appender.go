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

// ErrBacklog is returned when too many records wait for the log.
var ErrBacklog = eris.New("too many records wait for the log service; come back when it is reachable")

// Bounds of an appender.
const (
	maxBacklog      = 20000
	maxBatchRecords = 500
	maxBatchBytes   = 256 << 10
	appendTimeout   = 3 * time.Second
	firstRetry      = 20 * time.Millisecond
	lastRetry       = time.Second
)

// Appended is called with each batch that the log has confirmed.
type Appended func(offset uint64, data []byte)

// Appender groups records into appends. It is safe for concurrent use.
//
// Invariant: a record is given to the log only after every record with a lower
// sequence is known to be on it. That is what lets the fold tell a repeat from
// a new record by the sequence alone.
type Appender struct {
	node        string
	incarnation uint64
	client      *Client
	clock       clockwork.Clock
	appended    Appended
	// pause is the least time between two appends, so that all nodes together
	// stay within what the log takes.
	pause time.Duration

	mu       sync.Mutex
	waiting  []*pb.Record
	sequence uint64
	inFlight bool
	wake     chan struct{}
}

// NewAppender returns an appender for one incarnation of a node.
func NewAppender(node string, incarnation uint64, client *Client, clock clockwork.Clock, pause time.Duration, appended Appended) *Appender {
	return &Appender{
		node: node, incarnation: incarnation, client: client, clock: clock,
		pause: pause, appended: appended, wake: make(chan struct{}, 1),
	}
}

// Submit queues a record and returns its sequence.
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

// Withdraw takes a record back; it reports false when the record has been
// given to the log already.
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

// Backlog returns how many records wait.
func (a *Appender) Backlog() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting)
}

// Quiet reports whether every record is known to be on the log.
func (a *Appender) Quiet() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting) == 0 && !a.inFlight
}

// Run appends until the context ends.
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

// next takes the records of the next append.
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

// append repeats one append until it is answered. It reports false when the
// context ended first.
func (a *Appender) append(ctx context.Context, b *pb.Batch) bool {
	data, err := proto.Marshal(b)
	if err != nil {
		// Records are built by this program; one that cannot be encoded is a
		// fault of the program and is not lost silently.
		panic(err)
	}
	retry := firstRetry
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
		case <-a.clock.After(retry/2 + rand.N(retry)):
		}
		retry = min(2*retry, lastRetry)
	}
}
