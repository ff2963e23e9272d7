package once

import (
	"container/list"
	"sync"

	"olivetiller/core/ledger"
	"olivetiller/core/refusal"
)

// Answer is the whole answer to a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// run is one once-only request at the node that claims it.
type run struct {
	id ledger.ClaimID
	// digest is that of the request, to tell a repeat from a reused key.
	digest [32]byte
	// done is closed when answer or refused is set.
	done    chan struct{}
	answer  *Answer
	refused *refusal.Error
	element *list.Element
}

// store holds the runs in progress and the latest answers, within a bound of
// bytes. It is safe for concurrent use.
type store struct {
	mu    sync.Mutex
	runs  map[ledger.ClaimID]*run
	ended *list.List
	bytes int
	limit int
}

func newStore(limit int) *store {
	return &store{runs: make(map[ledger.ClaimID]*run), ended: list.New(), limit: limit}
}

// begin returns the run of an id, and whether it is new.
func (s *store) begin(id ledger.ClaimID, digest [32]byte) (r *run, isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r = s.runs[id]; r != nil {
		return r, false
	}
	r = &run{id: id, digest: digest, done: make(chan struct{})}
	s.runs[id] = r
	return r, true
}

func (s *store) find(id ledger.ClaimID) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// end closes a run. One that was refused, or whose answer another node holds,
// is not kept: a repeat asks anew.
func (s *store) end(r *run, answer *Answer, refused *refusal.Error, keep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.answer, r.refused = answer, refused
	close(r.done)
	if !keep {
		delete(s.runs, r.id)
		return
	}
	r.element = s.ended.PushBack(r)
	s.bytes += r.size()
	for s.bytes > s.limit {
		oldest := s.ended.Front()
		old := oldest.Value.(*run)
		s.ended.Remove(oldest)
		s.bytes -= old.size()
		delete(s.runs, old.id)
	}
}

// runOverhead is the memory of a run beside its answer's body.
const runOverhead = 256

func (r *run) size() int {
	if r.answer == nil {
		return runOverhead
	}
	return runOverhead + len(r.answer.Body)
}
