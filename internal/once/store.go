package once

import (
	"container/list"
	"sync"

	"olivetiller/core/ledger"
	"olivetiller/core/refusal"
)

// Answer is the complete HTTP response to a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// onceRun is the run of a once-only request on this node, or the wait for the
// answer of another node.
type onceRun struct {
	id ledger.ClaimID
	// digest is the digest of the request. It distinguishes a repeated request from
	// another one with the same key.
	digest [32]byte
	// done is closed when the run ends; answer or refused is then set.
	done    chan struct{}
	answer  *Answer
	refused *refusal.Error
	// element is the run's element in the store's list of ended runs.
	element *list.Element
}

// runStore holds the runs in progress and the latest ended ones, whose sizes sum up
// to at most limit bytes. It is safe for concurrent use.
type runStore struct {
	mu   sync.Mutex
	runs map[ledger.ClaimID]*onceRun
	// kept lists the ended runs, oldest first.
	kept  *list.List
	bytes int
	limit int
}

func newStore(limit int) *runStore {
	return &runStore{runs: make(map[ledger.ClaimID]*onceRun), kept: list.New(), limit: limit}
}

// begin returns the run with an id, and whether it was created by this call.
func (s *runStore) begin(id ledger.ClaimID, digest [32]byte) (r *onceRun, isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r = s.runs[id]; r != nil {
		return r, false
	}
	r = &onceRun{id: id, digest: digest, done: make(chan struct{})}
	s.runs[id] = r
	return r, true
}

func (s *runStore) find(id ledger.ClaimID) *onceRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// end sets the result of a run. With keep, the run stays in the store until newer
// ones displace it; otherwise it is deleted, so that a repeated request starts a
// new run. Runs that were refused before anything was sent and answers held by
// another node are not kept.
func (s *runStore) end(r *onceRun, answer *Answer, refused *refusal.Error, keep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.answer, r.refused = answer, refused
	close(r.done)
	if !keep {
		delete(s.runs, r.id)
		return
	}
	r.element = s.kept.PushBack(r)
	s.bytes += r.size()
	for s.bytes > s.limit {
		oldest := s.kept.Front()
		old := oldest.Value.(*onceRun)
		s.kept.Remove(oldest)
		s.bytes -= old.size()
		delete(s.runs, old.id)
	}
}

// runOverhead is the memory in bytes that a run takes beside the body of its answer.
const runOverhead = 256

func (r *onceRun) size() int {
	if r.answer == nil {
		return runOverhead
	}
	return runOverhead + len(r.answer.Body)
}
