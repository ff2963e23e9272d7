// Package choose picks the replica that a request goes to.
//
// The problem: load reports lag, nodes do not see each other's work, and a
// replica that just woke must not get every waiting request at once. The model:
// a node knows exactly only its own outstanding work, so that leads; the
// engine's own word, which rides on its answers, corrects it while fresh. Each
// replica has a [Window] per node that bounds the node's work there: it opens
// while answers come and closes when the engine says that it is full. Windows
// begin small, which is the slow start of a fresh replica, and meet at a fair
// share without a message between nodes, as congestion windows do.
package choose

import "time"

// Replica is what a node knows of one replica it may send to.
type Replica struct {
	// Engine names the engine.
	Engine string
	// SameHall is true for an engine in the node's own data hall.
	SameHall bool
	// Running is the node's own outstanding work there.
	Running int
	// Prompts is the length of the node's own prompts there that were not read yet,
	// in tokens.
	Prompts int
	// Reported is the load that the engine last told, all nodes' work together.
	Reported int
	// ReportedAt is when it told it; zero if never.
	ReportedAt time.Time
	// Window bounds the node's own work there.
	Window *Window
	// Health is the replica's recent record; nil means good.
	Health *Health
	// Avoid marks a replica that just failed the request: it is the last resort.
	Avoid bool
	// Shut marks a replica that wants nothing now, by its own word.
	Shut bool
	// Suspects is the node's own outstanding work there under which engines may end.
	Suspects int
	// Apart marks a request that is such a suspect itself, and Spread is a number that its
	// replicas differ in, in another order for each suspect.
	Apart  bool
	Spread uint64
	// Home marks the replica that most likely keeps the beginning of the prompt.
	Home bool
}

// reportLife is how long an engine's word on its load is worth using.
const reportLife = 2 * time.Second

// hallPenalty is the load by which an engine in another data hall counts as
// busier: its extra latency is worth about one request in progress.
const hallPenalty = 1

// promptTokens is the length of an unread prompt that weighs as much as a request
// in progress: reading delays every stream of the engine, while a further stream
// hardly does.
const promptTokens = 150

// homeBonus is the load by which a replica that keeps the beginning of the prompt
// may be busier than another.
const homeBonus = 2

// Weights of suspects, requests under which engines may end.
const (
	// apartPenalty is the load by which a replica with a suspect counts as busier for another one:
	// two at one engine's end cannot be told apart.
	apartPenalty = 1 << 12
	// besidePenalty is the same for all other requests: they end with the engine.
	besidePenalty = 4
	// spreadLoad is by how much load the choice of a suspect varies, so that those of several nodes
	// go to several engines.
	spreadLoad = 4
)

// avoidPenalty exceeds any load.
const avoidPenalty = 1 << 20

// Pick returns the index of the best replica with room, or -1.
func Pick(replicas []Replica, now time.Time) int {
	best := -1
	var bestScore int
	for i := range replicas {
		r := &replicas[i]
		if r.Shut || !r.Window.HasRoom(r.Running, now) || !r.Health.Admits(now, r.Running) {
			continue
		}
		if s := r.score(now); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// score is the load to expect at the replica.
func (r *Replica) score(now time.Time) int {
	load := r.Running
	if now.Sub(r.ReportedAt) < reportLife {
		load = max(load, r.Reported)
	}
	if !r.SameHall {
		load += hallPenalty
	}
	load += r.Prompts / promptTokens
	if r.Home {
		load -= homeBonus
	}
	if r.Avoid {
		load += avoidPenalty
	}
	if r.Apart {
		return load + r.Suspects*apartPenalty + int(r.Spread%spreadLoad)
	}
	return load + r.Suspects*besidePenalty
}

// Window bounds one node's work at one replica, by additive increase and
// multiplicative decrease. Below one request at a time it closes for a while:
// that is how many nodes share a replica that runs fewer requests than there
// are nodes.
type Window struct {
	// size is at least 1 and at most max.
	size float64
	max  float64
	// pause is how long the window closed last, 0 after an answer.
	pause    time.Duration
	closedTo time.Time
}

// Pauses of a window that is full at its least size.
const (
	firstPause = 4 * time.Millisecond
	lastPause  = 250 * time.Millisecond
)

// NewWindow returns a window that opens from share, a node's fair share, up to
// limit, the replica's whole concurrency.
func NewWindow(share, limit int) *Window {
	return &Window{size: float64(max(1, share)), max: float64(max(1, limit))}
}

// HasRoom reports whether one more request fits beside running ones.
func (w *Window) HasRoom(running int, now time.Time) bool {
	return running < int(w.size) && !now.Before(w.closedTo)
}

// Size returns the requests that fit.
func (w *Window) Size() int { return int(w.size) }

// OpensAt returns when a closed window opens; a past time if it is open.
func (w *Window) OpensAt() time.Time { return w.closedTo }

// Succeeded notes an answer while running requests were out. Only a full
// window opens, by one for each window's worth of answers.
func (w *Window) Succeeded(running int) {
	w.pause = 0
	if running >= int(w.size) {
		w.size = min(w.max, w.size+1/w.size)
	}
}

// Full notes that the engine refused work because it is full. Several refusals
// within one pause count once: they tell of the same moment.
func (w *Window) Full(now time.Time) {
	if now.Before(w.closedTo) {
		return
	}
	w.size = max(1, w.size/2)
	w.pause = min(lastPause, max(firstPause, 2*w.pause))
	// Nodes must not come back together; their clocks' low digits differ.
	spread := time.Duration(now.UnixNano()) % (w.pause/2 + 1)
	w.closedTo = now.Add(w.pause/2 + spread)
}

// Health ejects a replica that fails and lets it back with one trial.
type Health struct {
	// failures counts those since the last answer.
	failures int
	// until is when the replica may be tried again.
	until time.Time
}

const (
	ejectAfter  = 3
	ejectFirst  = 500 * time.Millisecond
	ejectAtMost = 15 * time.Second
)

// Admits reports whether the replica may get a request now. After an ejection
// it gets one at a time until one is answered.
func (h *Health) Admits(now time.Time, running int) bool {
	if h == nil || h.failures < ejectAfter {
		return true
	}
	return !now.Before(h.until) && running == 0
}

// Until returns when an ejected replica may be tried again; a past time if it
// may be used now.
func (h *Health) Until() time.Time {
	if h.failures < ejectAfter {
		return time.Time{}
	}
	return h.until
}

// Succeeded notes an answer.
func (h *Health) Succeeded() { h.failures = 0 }

// Silent notes that the replica gave no sign within the time that an answer may
// take, or could not be reached. One such failure ejects: the next request would
// wait as long.
func (h *Health) Silent(now time.Time) {
	h.failures = max(h.failures, ejectAfter-1)
	h.Failed(now)
}

// Ended notes that the replica's process has ended: it is left alone until it can be back. However
// many requests failed with it, it is one failure, and no more than the first pause.
func (h *Health) Ended(now time.Time) {
	h.failures = max(h.failures, ejectAfter)
	if until := now.Add(ejectFirst); until.After(h.until) {
		h.until = until
	}
}

// Failed notes a failure and ejects after several in a row, longer each time.
func (h *Health) Failed(now time.Time) {
	h.failures++
	if h.failures < ejectAfter {
		return
	}
	pause := ejectFirst << min(h.failures-ejectAfter, 5)
	h.until = now.Add(min(pause, ejectAtMost))
}
