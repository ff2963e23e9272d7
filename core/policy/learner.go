package policy

import (
	"math"
	"time"
)

// The bins of the histogram of pauses grow by a constant factor, so that pauses
// of minutes and of days are told apart with few numbers.
const (
	bins      = 32
	firstBin  = 30 * time.Second
	binGrowth = 1.45
	// decay is what an old pause keeps of its weight for each newer one.
	decay = 0.97
	// prior is the weight, in pauses, of what all units together show.
	prior = 2.0
	// session is the pause that ends a burst of use. Shorter ones say nothing
	// about when to unload, and are not counted.
	session = firstBin
)

// The day is cut into slots, once for weekdays and once for weekends.
const (
	slotLength  = 15 * time.Minute
	slotsPerDay = int(24 * time.Hour / slotLength)
	// slotGain is how fast a slot's chance follows what happens on a day.
	slotGain = 0.35
	// slotUnit is a chance of 1 in the stored form.
	slotUnit = 255
)

var binEdges = makeEdges()

func makeEdges() [bins]time.Duration {
	var edges [bins]time.Duration
	d := float64(firstBin)
	for i := range edges {
		edges[i] = time.Duration(d)
		d *= binGrowth
	}
	return edges
}

// binOf returns the bin whose upper edge is the first at or above the pause.
func binOf(pause time.Duration) int {
	if pause <= firstBin {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(pause)/float64(firstBin)) / math.Log(binGrowth)))
	return min(i, bins-1)
}

// history is what is known of one unit's use.
type history struct {
	pauses [bins]float32
	// total is the decayed sum of pauses.
	total   float32
	lastUse time.Time
	// began is when the session in progress began.
	began time.Time
	// load is the learned load time, 0 before the first.
	load time.Duration
	// early counts the uses within a load time of the session's beginning, and
	// waiters is what is learned of it: the requests that a cold start delays.
	early   int
	waiters float32
	// day holds the chance of a session's beginning in each slot, by kind of day.
	day [2][slotsPerDay]uint8
	// dayAt is the slot up to which day has been brought.
	dayAt time.Time
}

// Learner keeps what is known of every unit. It is owned by one goroutine.
type Learner struct {
	units map[string]*history
	// pooled is the histogram of all units together: the prior of a new one.
	pooled history
}

// NewLearner returns a learner that has seen nothing.
func NewLearner() *Learner { return &Learner{units: make(map[string]*history)} }

func (l *Learner) unit(name string) *history {
	h := l.units[name]
	if h == nil {
		h = &history{waiters: 1}
		l.units[name] = h
	}
	return h
}

// Used notes that a unit was in use at a time. Uses must come in time order.
func (l *Learner) Used(unit string, at time.Time) {
	h := l.unit(unit)
	pause := at.Sub(h.lastUse)
	switch {
	case h.lastUse.IsZero():
		h.begin(at)
	case pause > session:
		h.observe(pause)
		l.pooled.observe(pause)
		h.begin(at)
	case at.Sub(h.began) <= max(h.load, firstBin/3):
		h.early++
	}
	h.lastUse = at
}

// begin notes the beginning of a session.
func (h *history) begin(at time.Time) {
	if !h.began.IsZero() {
		h.waiters += 0.2 * (float32(h.early) - h.waiters)
	}
	h.began = at
	h.early = 1
	h.catchUp(at)
	slot := &h.day[kindOfDay(at)][slotOf(at)]
	*slot = uint8(float32(*slot) + slotGain*(slotUnit-float32(*slot)))
}

// catchUp lowers the chance of the slots that passed without a beginning.
func (h *history) catchUp(to time.Time) {
	if h.dayAt.IsZero() {
		h.dayAt = to.Truncate(slotLength)
		return
	}
	for t := h.dayAt.Add(slotLength); !t.After(to.Truncate(slotLength).Add(-slotLength)); t = t.Add(slotLength) {
		slot := &h.day[kindOfDay(t)][slotOf(t)]
		*slot = uint8(float32(*slot) * (1 - slotGain))
	}
	if s := to.Truncate(slotLength); s.After(h.dayAt) {
		h.dayAt = s
	}
}

func slotOf(t time.Time) int {
	return int(t.Sub(t.Truncate(24*time.Hour)) / slotLength)
}

func kindOfDay(t time.Time) int {
	if d := t.Weekday(); d == time.Saturday || d == time.Sunday {
		return 1
	}
	return 0
}

func (h *history) observe(pause time.Duration) {
	for i := range h.pauses {
		h.pauses[i] *= decay
	}
	h.total = h.total*decay + 1
	h.pauses[binOf(pause)]++
}

// Loaded notes how long a load of the unit took.
func (l *Learner) Loaded(unit string, d time.Duration) {
	h := l.unit(unit)
	if h.load == 0 {
		h.load = d
		return
	}
	h.load += (d - h.load) / 4
}

// LoadTime returns the learned load time, or fallback.
func (l *Learner) LoadTime(unit string, fallback time.Duration) time.Duration {
	if h := l.units[unit]; h != nil && h.load > 0 {
		return h.load
	}
	return fallback
}

// Waiters returns how many requests a cold start of the unit keeps waiting.
func (l *Learner) Waiters(unit string) float64 {
	if h := l.units[unit]; h != nil {
		return float64(max(1, h.waiters))
	}
	return 1
}

// PauseChance returns how likely a pause that has lasted for idle ends within
// horizon, by the unit's own pauses and, while it has few, those of all units.
func (l *Learner) PauseChance(unit string, idle, horizon time.Duration) float64 {
	h := l.units[unit]
	from, to := binOf(idle), binOf(idle+horizon)
	var soon, rest float64
	for i := from; i < bins; i++ {
		w := l.pausesAt(h, i)
		rest += w
		if i <= to && i < bins-1 {
			// A part of the first and last bin lies outside the horizon.
			soon += w * overlap(i, idle, idle+horizon)
		}
	}
	if rest == 0 {
		return 0
	}
	return min(1, soon/rest)
}

func (l *Learner) pausesAt(h *history, i int) float64 {
	var w float64
	if l.pooled.total > 0 {
		w = prior * float64(l.pooled.pauses[i]) / float64(l.pooled.total)
	}
	if h != nil {
		w += float64(h.pauses[i])
	}
	return w
}

// overlap returns the part of a bin between two pauses.
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

// DayChance returns how likely a session begins within horizon from now, by the
// time of day at which the unit woke on days before.
func (l *Learner) DayChance(unit string, now time.Time, horizon time.Duration) float64 {
	h := l.units[unit]
	if h == nil {
		return 0
	}
	h.catchUp(now)
	none := 1.0
	end := now.Add(horizon)
	for t := now.Truncate(slotLength); t.Before(end); t = t.Add(slotLength) {
		part := min(end.Sub(t), t.Add(slotLength).Sub(now), slotLength)
		chance := float64(h.day[kindOfDay(t)][slotOf(t)]) / slotUnit
		none *= 1 - chance*float64(part)/float64(slotLength)
	}
	return 1 - none
}
