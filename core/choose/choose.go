// Package choose selects the replica that a request is sent to.
//
// Load reports are delayed, nodes do not see each other's requests, and a replica that has just started must not
// get all waiting requests at once. A node knows exactly only its own outstanding requests at a replica, so the
// choice is based on them; the load that engines report with their answers corrects it while it is fresh. In
// addition each node has a [Window] for each replica, which bounds the node's requests there. It grows as answers
// arrive and shrinks when the engine refuses work because it is full. Windows start small, which is the slow start
// of a new replica. They converge to a fair share without messages between nodes, as the congestion windows of TCP
// do. A [Health] per replica ejects the replica while it fails.
package choose

import "time"

// Replica is the state of a candidate replica, as one node knows it, for one request.
type Replica struct {
	// Engine names the engine.
	Engine string
	// SameHall is true if the engine is in the node's own data hall.
	SameHall bool
	// Running is the number of the node's own outstanding requests there.
	Running int
	// UnreadTokens is the total length, in tokens, of the prompts that the node has sent there and that
	// have not been read yet.
	UnreadTokens int
	// Reported is the load that the engine reported last: the requests of all nodes.
	Reported int
	// ReportedAt is when that load was reported; zero if it never was.
	ReportedAt time.Time
	// Window bounds the node's own requests there.
	Window *Window
	// Health tracks recent failures of the replica; nil means healthy.
	Health *Health
	// Avoid is true if the replica has just failed this request. It is chosen only as the last resort.
	Avoid bool
	// Closed is true if the replica has reported that it takes no requests now.
	Closed bool
	// Suspects is the number of the node's own outstanding requests there that are suspected of crashing engines.
	Suspects int
	// Suspect is true if this request itself is such a suspect. Spread is then a number that differs
	// between its replicas and orders them differently for each suspect.
	Suspect bool
	Spread  uint64
	// HasPrefix is true if the replica is the one most likely to have the beginning of the prompt in its cache.
	HasPrefix bool
	// Pace is how long the engine takes for the same work, 1 for the median of its service; 0 if unknown.
	Pace float64
	// Order orders replicas of the same pace, equally at all nodes.
	Order uint64
	// Load is the recent load of all nodes there, in concurrent requests.
	Load int
	// Home is true if the replica is that of [Lanes] for the request, and Prompt is the length of its prompt in tokens.
	Home   bool
	Prompt int
}

// pace returns the pace of the replica, 1 if it is unknown.
func (r *Replica) pace() float64 {
	if r.Pace <= 0 {
		return 1
	}
	return r.Pace
}

// reportTTL is how long a reported load is used.
const reportTTL = 2 * time.Second

// hallPenalty is the load added to an engine in another data hall. The extra latency is worth about one
// request in progress.
const hallPenalty = 1

// promptTokensPerLoad is the length of unread prompts that counts as one request in progress. Reading a prompt delays
// every stream of the engine, while a further stream hardly does.
const promptTokensPerLoad = 150

// cacheBonus is the load subtracted for the replica that likely has the beginning of the prompt in its cache.
const cacheBonus = 2

// homeBonus is the load subtracted for the home of a request, as a part of the load that its prompt counts as; minHomeBonus
// is its least value. A request leaves its home for requests of its own node only if that has much work of its own there.
const (
	homeBonus    = 0.5
	minHomeBonus = 12
)

// Weights of suspects, which are requests suspected of crashing engines.
const (
	// suspectPenalty is the load added per suspect at a replica if the request is a suspect itself: after a crash
	// with two of them it is unknown which one caused it.
	suspectPenalty = 1 << 12
	// riskPenalty is the load added per suspect for all other requests, which would fail with the engine.
	riskPenalty = 4
	// suspectSpread is the range of the load added to spread suspects, so that suspects from several nodes go to
	// different engines.
	suspectSpread = 4
)

// avoidPenalty is the load added for Avoid. It exceeds any real load.
const avoidPenalty = 1 << 20

// Pick returns the index of the replica with the least score among those that admit a request now, or -1.
func Pick(replicas []Replica, now time.Time) int {
	best := -1
	var bestScore int
	for i := range replicas {
		r := &replicas[i]
		if !r.Admits(now) {
			continue
		}
		if s := r.score(now); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Admits reports whether the replica takes a request now.
func (r *Replica) Admits(now time.Time) bool { return r.closure(now) == Open }

// score returns the load of the replica including all penalties.
func (r *Replica) score(now time.Time) int {
	load := r.Running
	if now.Sub(r.ReportedAt) < reportTTL {
		load = max(load, r.Reported)
	}
	if !r.SameHall {
		load += hallPenalty
	}
	load += r.UnreadTokens / promptTokensPerLoad
	switch {
	case r.Avoid:
	case r.Home:
		load -= max(minHomeBonus, int(homeBonus*float64(r.Prompt)/promptTokensPerLoad))
	case r.HasPrefix:
		load -= cacheBonus
	}
	if r.Avoid {
		load += avoidPenalty
	}
	if r.Suspect {
		return load + r.Suspects*suspectPenalty + int(r.Spread%suspectSpread)
	}
	return load + r.Suspects*riskPenalty
}

// Window bounds the requests of one node at one replica by additive increase and multiplicative decrease. It
// also closes for a pause after a refusal. That lets more nodes share a replica than it runs requests, since a
// window cannot shrink below one request. It is not safe for concurrent use.
type Window struct {
	// size is the current bound, from 1 to max.
	size float64
	max  float64
	// pause is the length of the latest pause; 0 after an answer.
	pause       time.Duration
	pausedUntil time.Time
}

// Range of the pauses after a refusal. Each pause is twice as long as the one before.
const (
	minPause = 4 * time.Millisecond
	maxPause = 250 * time.Millisecond
)

// NewWindow returns a window that starts at share, the node's fair share of the replica, and grows up to limit,
// the replica's total concurrency.
func NewWindow(share, limit int) *Window {
	return &Window{size: float64(max(1, share)), max: float64(max(1, limit))}
}

// HasRoom reports whether the window admits one more request in addition to the running ones.
func (w *Window) HasRoom(running int, now time.Time) bool {
	return running < int(w.size) && !now.Before(w.pausedUntil)
}

// Size returns the number of requests that the window admits.
func (w *Window) Size() int { return int(w.size) }

// OpensAt returns the end of the latest pause; a time in the past if the window is open.
func (w *Window) OpensAt() time.Time { return w.pausedUntil }

// Succeeded records an answer that arrived while running requests were outstanding. The window grows only if it
// was full, by one for each window of answers.
func (w *Window) Succeeded(running int) {
	w.pause = 0
	if running >= int(w.size) {
		w.size = min(w.max, w.size+1/w.size)
	}
}

// Refused records that the engine refused a request because it is full. Refusals during a pause are ignored: they
// are due to the same overload.
func (w *Window) Refused(now time.Time) {
	if now.Before(w.pausedUntil) {
		return
	}
	w.size = max(1, w.size/2)
	w.pause = min(maxPause, max(minPause, 2*w.pause))
	// Nodes must not resume at the same time. The low digits of their clocks differ.
	spread := time.Duration(now.UnixNano()) % (w.pause/2 + 1)
	w.pausedUntil = now.Add(w.pause/2 + spread)
}

// Health ejects a replica after failures and readmits it after one successful trial request. It is not safe for
// concurrent use.
type Health struct {
	// failures is the number of failures since the last answer.
	failures int
	// ejectedAt and until are the beginning and the end of the latest ejection.
	ejectedAt, until time.Time
}

const (
	ejectAfter  = 3
	minEjection = 500 * time.Millisecond
	maxEjection = 15 * time.Second
)

// Admits reports whether the replica may get a request now. After an ejection it gets one request at a time
// until one is answered. A nil Health admits every request.
func (h *Health) Admits(now time.Time, running int) bool {
	if h == nil || h.failures < ejectAfter {
		return true
	}
	return !now.Before(h.until) && running == 0
}

// Until returns when an ejected replica may be tried again; zero if it is not ejected.
func (h *Health) Until() time.Time {
	if h.failures < ejectAfter {
		return time.Time{}
	}
	return h.until
}

// Succeeded records an answer, which ends an ejection.
func (h *Health) Succeeded() { h.failures = 0 }

// Reset forgets all failures, which ends an ejection.
func (h *Health) Reset() { *h = Health{} }

// Unresponsive records that the replica did not answer a request that began at begun within the time that an answer may
// take, or was unreachable. One such failure ejects it: the next request would wait as long.
func (h *Health) Unresponsive(begun, now time.Time) {
	h.failures = max(h.failures, ejectAfter-1)
	h.Failed(begun, now)
}

// ProcessEnded records that the replica's process has ended. It is ejected until it can have restarted. However many
// requests failed with it, that counts as one failure, and ejects for no more than minEjection.
func (h *Health) ProcessEnded(now time.Time) {
	h.failures = max(h.failures, ejectAfter)
	if until := now.Add(minEjection); until.After(h.until) {
		h.ejectedAt, h.until = now, until
	}
}

// Failed records the failure of a request that began at begun. From ejectAfter failures in a row on, each one ejects for
// twice as long as the one before, up to maxEjection. Requests that were already there when the replica was ejected fail
// for the same reason, so that they do not count again.
func (h *Health) Failed(begun, now time.Time) {
	if h.failures >= ejectAfter && begun.Before(h.ejectedAt) {
		return
	}
	h.failures++
	if h.failures < ejectAfter {
		return
	}
	pause := minEjection << min(h.failures-ejectAfter, 5)
	h.ejectedAt, h.until = now, now.Add(min(pause, maxEjection))
}
