package policy

import (
	"math"
	"time"
)

// The histogram of pauses has exponentially growing bins, so that few bins resolve
// pauses from minutes to days.
const (
	pauseBins    = 32
	firstBinEdge = 30 * time.Second
	binGrowth    = 1.45
	// pauseDecay is the factor by which the weight of a recorded pause shrinks with
	// each newer pause.
	pauseDecay = 0.97
	// priorWeight is the weight, in pauses, of the histogram of all units in the
	// estimate for one unit.
	priorWeight = 2.0
	// sessionGap is the pause that ends a session, a burst of uses. Shorter pauses
	// do not affect when to unload and are not recorded.
	sessionGap = firstBinEdge
)

// The day is divided into slots, counted from midnight UTC, separately for
// weekdays and weekends.
const (
	slotLength  = 15 * time.Minute
	slotsPerDay = int(24 * time.Hour / slotLength)
	// slotLearningRate is the weight of the latest day in the exponential moving
	// average of a slot.
	slotLearningRate = 0.35
	// slotScale is the stored value of probability 1.
	slotScale = 255
)

// binEdges holds the upper edge of each bin.
var binEdges = makeEdges()

func makeEdges() [pauseBins]time.Duration {
	var edges [pauseBins]time.Duration
	d := float64(firstBinEdge)
	for i := range edges {
		edges[i] = time.Duration(d)
		d *= binGrowth
	}
	return edges
}

// binOf returns the bin of a pause: the first whose upper edge is at or above it,
// or the last one.
func binOf(pause time.Duration) int {
	if pause <= firstBinEdge {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(pause)/float64(firstBinEdge)) / math.Log(binGrowth)))
	return min(i, pauseBins-1)
}

// unitHistory holds the statistics of one unit.
type unitHistory struct {
	// pauses is the histogram of pauses between sessions, with decayed weights.
	pauses [pauseBins]float32
	// totalWeight is the sum of pauses.
	totalWeight float32
	lastUse     time.Time
	// sessionStart is when the latest session began.
	sessionStart time.Time
	// loadTime is the moving average of load times; 0 before the first load.
	loadTime time.Duration
	// earlyUses counts the uses within one load time after the start of the latest
	// session. waiters is its moving average over sessions: the number of requests
	// that a cold start delays.
	earlyUses int
	waiters   float32
	// startChance holds the probability that a session starts in each slot, times
	// slotScale, for weekdays (0) and weekends (1).
	startChance [2][slotsPerDay]uint8
	// decayedTo is the start of the slot up to which startChance has been decayed.
	decayedTo time.Time
}

// Learner keeps the statistics of use and load times of all units. It is owned by
// one goroutine.
type Learner struct {
	units map[string]*unitHistory
	// pooled holds the pauses of all units, the prior for a unit with few of its own.
	pooled unitHistory
}

// NewLearner returns a learner without statistics.
func NewLearner() *Learner { return &Learner{units: make(map[string]*unitHistory)} }

func (l *Learner) unit(name string) *unitHistory {
	h := l.units[name]
	if h == nil {
		h = &unitHistory{waiters: 1}
		l.units[name] = h
	}
	return h
}

// Used records that a unit was in use at a time. Uses must be recorded in time
// order.
func (l *Learner) Used(unit string, at time.Time) {
	h := l.unit(unit)
	pause := at.Sub(h.lastUse)
	switch {
	case h.lastUse.IsZero():
		h.startSession(at)
	case pause > sessionGap:
		h.addPause(pause)
		l.pooled.addPause(pause)
		h.startSession(at)
	case at.Sub(h.sessionStart) <= max(h.loadTime, firstBinEdge/3):
		h.earlyUses++
	}
	h.lastUse = at
}

// startSession records the start of a session and updates the moving averages of
// waiters and of the slot's probability.
func (h *unitHistory) startSession(at time.Time) {
	if !h.sessionStart.IsZero() {
		h.waiters += 0.2 * (float32(h.earlyUses) - h.waiters)
	}
	h.sessionStart = at
	h.earlyUses = 1
	h.decayIdleSlots(at)
	slot := &h.startChance[dayKind(at)][slotOf(at)]
	*slot = uint8(float32(*slot) + slotLearningRate*(slotScale-float32(*slot)))
}

// decayIdleSlots lowers the probability of the slots that have passed since
// decayedTo: no session started in them.
func (h *unitHistory) decayIdleSlots(to time.Time) {
	if h.decayedTo.IsZero() {
		h.decayedTo = to.Truncate(slotLength)
		return
	}
	for t := h.decayedTo.Add(slotLength); !t.After(to.Truncate(slotLength).Add(-slotLength)); t = t.Add(slotLength) {
		slot := &h.startChance[dayKind(t)][slotOf(t)]
		*slot = uint8(float32(*slot) * (1 - slotLearningRate))
	}
	if s := to.Truncate(slotLength); s.After(h.decayedTo) {
		h.decayedTo = s
	}
}

// slotOf returns the slot of the day that contains t.
func slotOf(t time.Time) int {
	return int(t.Sub(t.Truncate(24*time.Hour)) / slotLength)
}

// dayKind returns 1 for a weekend day and 0 for a weekday.
func dayKind(t time.Time) int {
	if d := t.Weekday(); d == time.Saturday || d == time.Sunday {
		return 1
	}
	return 0
}

// addPause decays the histogram and adds a pause to it.
func (h *unitHistory) addPause(pause time.Duration) {
	for i := range h.pauses {
		h.pauses[i] *= pauseDecay
	}
	h.totalWeight = h.totalWeight*pauseDecay + 1
	h.pauses[binOf(pause)]++
}

// Loaded records how long a load of the unit took.
func (l *Learner) Loaded(unit string, d time.Duration) {
	h := l.unit(unit)
	if h.loadTime == 0 {
		h.loadTime = d
		return
	}
	h.loadTime += (d - h.loadTime) / 4
}

// LoadTime returns the average load time of a unit, or fallback before its first
// load.
func (l *Learner) LoadTime(unit string, fallback time.Duration) time.Duration {
	if h := l.units[unit]; h != nil && h.loadTime > 0 {
		return h.loadTime
	}
	return fallback
}

// Waiters returns the average number of requests that a cold start of the unit
// delays, at least 1.
func (l *Learner) Waiters(unit string) float64 {
	if h := l.units[unit]; h != nil {
		return float64(max(1, h.waiters))
	}
	return 1
}

// PauseChance returns the probability that a pause that has lasted for idle ends
// within horizon. It is estimated from the unit's own pauses and, as a prior of
// priorWeight pauses, those of all units.
func (l *Learner) PauseChance(unit string, idle, horizon time.Duration) float64 {
	h := l.units[unit]
	from, to := binOf(idle), binOf(idle+horizon)
	var soon, rest float64
	for i := from; i < pauseBins; i++ {
		w := l.binWeight(h, i)
		rest += w
		if i <= to && i < pauseBins-1 {
			// The first and the last bin may lie partly outside the horizon.
			soon += w * overlap(i, idle, idle+horizon)
		}
	}
	if rest == 0 {
		return 0
	}
	return min(1, soon/rest)
}

// binWeight returns the weight of bin i for the unit with history h, which may be
// nil, including the prior.
func (l *Learner) binWeight(h *unitHistory, i int) float64 {
	var w float64
	if l.pooled.totalWeight > 0 {
		w = priorWeight * float64(l.pooled.pauses[i]) / float64(l.pooled.totalWeight)
	}
	if h != nil {
		w += float64(h.pauses[i])
	}
	return w
}

// overlap returns the fraction of a bin's range above from that lies below to.
func overlap(bin int, from, to time.Duration) float64 {
	var low time.Duration
	if bin > 0 {
		low = binEdges[bin-1]
	}
	high := binEdges[bin]
	a, b := max(low, from), min(high, to)
	if b <= a {
		return 0
	}
	return float64(b-a) / float64(high-max(low, min(from, high)))
}

// DayChance returns the probability that a session of the unit starts within
// horizon from now, estimated from the times of day at which earlier ones started.
func (l *Learner) DayChance(unit string, now time.Time, horizon time.Duration) float64 {
	h := l.units[unit]
	if h == nil {
		return 0
	}
	h.decayIdleSlots(now)
	none := 1.0
	end := now.Add(horizon)
	for t := now.Truncate(slotLength); t.Before(end); t = t.Add(slotLength) {
		part := min(end.Sub(t), t.Add(slotLength).Sub(now), slotLength)
		chance := float64(h.startChance[dayKind(t)][slotOf(t)]) / slotScale
		none *= 1 - chance*float64(part)/float64(slotLength)
	}
	return 1 - none
}
