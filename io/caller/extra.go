package caller

import (
	"errors"
	"slices"
	"sync"
	"time"

	"olivetiller/core/retry"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

// errLate is the cause of an attempt that was canceled because an extra attempt at another endpoint answered first. It counts
// as a failure of the endpoint, which is ejected after several in a row: otherwise one that hangs would get requests, and use
// up the limit, for as long as extra attempts answer in its place.
var errLate = errors.New("the answer was late; another endpoint answered first")

// wasReplaced reports whether a standby took the place of the attempt that ended with an error.
func wasReplaced(e *endpoint.Error) bool {
	return errors.Is(e.Cause, errStalled) || errors.Is(e.Cause, errLate)
}

// ExtraAttempts decides when an extra attempt opens beside an endpoint whose answer is late, within the limit of the
// operator. It is safe for concurrent use; a nil one opens none.
type ExtraAttempts struct {
	quantile float64

	mu     sync.Mutex
	budget *retry.ExtraBudget
	times  *retry.AnswerTimes
}

// NewExtraAttempts returns the extra attempts of a node, limited to a share of its first attempts; nil if the share is 0.
func NewExtraAttempts(share float64) *ExtraAttempts {
	if share <= 0 {
		return nil
	}
	return &ExtraAttempts{quantile: retry.LateQuantile(share), budget: retry.NewExtraBudget(share), times: retry.NewAnswerTimes()}
}

// addFirst records the first attempt of a request.
func (e *ExtraAttempts) addFirst(now time.Time) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.AddFirst(now)
}

// kindOf returns the kind of a request, which the route names, or else the pool.
func kindOf(x *Exchange) retry.Kind {
	k := retry.Kind{Name: x.Target.Route, Size: retry.SizeClass(x.Target.TokensIn)}
	if k.Name == "" {
		k.Name = x.Target.Pool
	}
	return k
}

// observe records that an answer to a request took d, or had not come by then.
func (e *ExtraAttempts) observe(x *Exchange, d time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.times.Observe(kindOf(x), d, now)
}

// typical returns how long answers to requests like x take; ok is false if that is not known.
func (e *ExtraAttempts) typical(x *Exchange, now time.Time) (t retry.Typical, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.times.Typical(kindOf(x), e.quantile, now)
}

// spend takes an extra attempt from the limit.
func (e *ExtraAttempts) spend(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Spend(now)
}

// putBack returns an extra attempt that was not sent.
func (e *ExtraAttempts) putBack(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.Return(now)
}

// spent returns the share of extra attempts in the window of the limit.
func (e *ExtraAttempts) spent(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Spent(now)
}

// lateness is the part of a stall watch that decides on an extra attempt. The mutex of the watch guards it.
type lateness struct {
	// started is when the attempt began.
	started time.Time
	// measured is true until the time of the answer is recorded. It is false for standbys, and for streams of which the
	// caller has a part.
	measured bool
	// typical describes the answers to such requests, and after is when an extra attempt opens, from started; 0 for never.
	typical retry.Typical
	after   time.Duration
	// armed is true while the timer of the watch is set to open an extra attempt.
	armed bool
	// lost is true once an extra attempt has replaced the attempt.
	lost bool
}

// watchLate starts the measurement of the attempt.
func (st *stall) watchLate(now time.Time) {
	x := st.x
	st.late = lateness{started: now, measured: st.s.Extra != nil && x.standby == nil && !x.Began && !x.Resumes.Stated() && !x.trial}
	if !st.late.measured {
		return
	}
	t, known := st.s.Extra.typical(x, now)
	if !known {
		return
	}
	overlap := time.Duration(0)
	if x.Target.Stream {
		overlap = maxStreamOverlap
	}
	if after, ok := t.ExtraAfter(overlap); ok {
		st.late.typical, st.late.after = t, after
	}
}

// arm sets the timer for an extra attempt if that comes before the stall timeout. It returns the time after which the timer
// ends; 0 for never.
func (st *stall) arm() time.Duration {
	if st.late.after > 0 && (st.first <= 0 || st.late.after < st.first) {
		st.late.armed = true
		return st.late.after
	}
	return st.first
}

// observe records the time of the answer. st.mu must be held.
func (st *stall) observe() {
	if st.late.measured {
		now := st.s.Clock.Now()
		st.s.Extra.observe(st.x, now.Sub(st.late.started), now)
		st.late.measured = false
	}
}

// answered records that the whole answer has come.
func (st *stall) answered() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.observe()
}

// observeUnanswered records the time of an attempt that ends without an answer, if the answer was late: the times would look
// shorter than they are if only answers counted. st.mu must be held.
func (st *stall) observeUnanswered() {
	if st.late.after > 0 && st.s.Clock.Since(st.late.started) >= st.late.after {
		st.observe()
	}
}

// acquireExtra acquires the slot of an extra attempt.
func (st *stall) acquireExtra(req traffic.SlotRequest) (*traffic.Slot, bool) {
	s, x, now := st.s, st.x, st.s.Clock.Now()
	if x.Deadline.Sub(now) < st.late.typical.Median {
		return st.deny(retry.DeniedByDeadline)
	}
	if !s.Extra.spend(now) {
		return st.deny(retry.DeniedByShare)
	}
	second, denied := s.Dispatcher.SwitchExtra(st.slot, req)
	if denied != "" {
		s.Extra.putBack(now)
		return st.deny(denied)
	}
	return second, true
}

// deny counts an extra attempt that is not opened.
func (st *stall) deny(reason retry.Denial) (*traffic.Slot, bool) {
	st.s.Metrics.ExtraDenied.Add(string(reason), 1)
	return nil, false
}

// logExtra logs and counts an extra attempt that opens.
func (st *stall) logExtra(standby string) {
	s, x, t, now := st.s, st.x, &st.late.typical, st.s.Clock.Now()
	s.Metrics.ExtraOpened.Add(routeLabel(x), 1)
	k := kindOf(x)
	s.Logger.Info("opened an extra attempt beside a late one", "requestId", x.ID, "route", k.Name, "sizeClass", k.Size, "endpoint", st.slot.Endpoint.Name, "standby", standby,
		"waitedMs", now.Sub(st.late.started).Milliseconds(), "lateMs", t.Late.Milliseconds(), "medianMs", t.Median.Milliseconds(), "quantile", s.Extra.quantile,
		"samples", int(t.Samples), "spentShare", s.Extra.spent(now))
}

// countExtra counts how an extra attempt ended: it won if it answered in place of the first one.
func (s *Server) countExtra(x *Exchange, won bool) {
	if won {
		s.Metrics.ExtraWon.Add(routeLabel(x), 1)
		return
	}
	s.Metrics.ExtraLost.Add(routeLabel(x), 1)
}

// routeLabel returns the name of a request's route for metrics. Pools are too many for one metric each.
func routeLabel(x *Exchange) string {
	if x.Target.Route == "" {
		return "unnamed"
	}
	return x.Target.Route
}

// rearmAfterExtra sets the timer to the end of the stall timeout. st.mu must be held.
func (st *stall) rearmAfterExtra() {
	if st.first > 0 {
		st.rearm(max(time.Millisecond, st.first-st.s.Clock.Since(st.late.started)))
	}
}

// afterDiscard sets the timer after a standby was discarded. st.mu must be held.
func (st *stall) afterDiscard(sb *standby) {
	if !st.x.mayOpenStandby() {
		return
	}
	st.req.Avoid = append(slices.Clip(st.req.Avoid), sb.slot.Endpoint.Name)
	if sb.extra {
		st.rearmAfterExtra()
		return
	}
	st.retryAfter = max(minStallTimeout, 2*st.retryAfter)
	st.rearm(st.retryAfter)
}

// cause returns why the attempt was replaced. st.mu must be held.
func (st *stall) cause() error {
	if st.late.lost {
		return errLate
	}
	return errStalled
}

// replacedCause returns why the attempt was replaced.
func (st *stall) replacedCause() error {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.cause()
}
