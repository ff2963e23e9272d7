package quarantine

import "time"

const (
	// turnLife is how long a run may keep other copies of its request waiting: an engine that a
	// request ends does so well within it, and a node that was lost keeps nobody longer.
	turnLife = 3 * time.Second
	// turnPause is how long after a run that did not end well the next copy may run: by then
	// every node knows what the run came to.
	turnPause = Settle + Tell
	// mostTurns bounds the turns that are remembered.
	mostTurns = 4096
)

// Turns has the copies of an isolated request run one after the other. Copies that are sent
// together cost no more engines than one, and yet each may be one sending too many. It is not
// safe for concurrent use.
type Turns struct {
	taken map[Fingerprint]turn
}

// turn is the run of one copy.
type turn struct {
	by    string
	until time.Time
}

// NewTurns returns turns of which none is taken.
func NewTurns() *Turns { return &Turns{taken: make(map[Fingerprint]turn)} }

// Take takes the turn of a request for a run that the name by tells from others. It returns 0,
// or after what time to ask again.
func (t *Turns) Take(f Fingerprint, by string, now time.Time) (after time.Duration) {
	if left := t.taken[f].until.Sub(now); left > 0 {
		return left
	}
	if len(t.taken) >= mostTurns {
		t.expire(now)
	}
	if len(t.taken) >= mostTurns {
		// Of so many requests the copies may run together.
		return 0
	}
	t.taken[f] = turn{by: by, until: now.Add(turnLife)}
	return 0
}

// Release gives a turn back; well is true where an engine has answered the run.
func (t *Turns) Release(f Fingerprint, by string, well bool, now time.Time) {
	switch old, ok := t.taken[f]; {
	case !ok || old.by != by:
		// It had lapsed.
	case well:
		delete(t.taken, f)
	default:
		t.taken[f] = turn{by: by, until: now.Add(turnPause)}
	}
}

// expire forgets the turns that are over.
func (t *Turns) expire(now time.Time) {
	for f, old := range t.taken {
		if !now.Before(old.until) {
			delete(t.taken, f)
		}
	}
}
