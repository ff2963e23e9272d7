package quarantine

import (
	"math"
	"slices"
	"time"
)

// Weights of a blame. TestSeries plays them: series of such requests beside engines that end for
// other reasons.
const (
	// priorDeadly is the chance that a request of which nothing is known ends engines.
	priorDeadly = 1e-4
	// convictAt is the belief from which a request is kept from engines.
	convictAt = 0.9
	// isolateAt is the belief from which a request runs where least else does.
	isolateAt = 0.1
	// mostEnds is how many unexplained ends convict whatever the belief: the users' bound,
	// and what keeps a request that only ever runs beside others from going on.
	mostEnds = 3
	// mostEndsInAll convict also where another verdict explains them: that one may be wrong, and a
	// proper request is seldom sent so often.
	mostEndsInAll = 4
	// quietRate is the rate, in ends of an engine a second, at which engines end by
	// themselves while nothing is known: one in an hour.
	quietRate = 1.0 / 3600
	// ranSlack is added to the time that a request ran before its engine's end: how late
	// beginning and end are seen.
	ranSlack = 50 * time.Millisecond
	// rateWindow is the time over which ends are counted for the rate.
	rateWindow = 30 * time.Second
	// burstWindow is within how much time ends that share no request are one event, a rack or
	// a link, and burstChance the chance that each of them is.
	burstWindow = 100 * time.Millisecond
	burstChance = 0.5
	// unbegunShare is how likely it is that an engine ends under a request before it has begun
	// to answer it.
	unbegunShare = 0.2
	// leastChance keeps rounding from making an explanation impossible.
	leastChance = 1e-9
)

// weighing is what the odds of one group of records are worked out from.
type weighing struct {
	// rate is at which engines end for reasons that are not known, a second and engine.
	rate   float64
	bursts map[*end]bool
}

// weigh works the odds of records anew. The odds of one depend on the blames of the others and on
// verdicts, not on the others' odds, so that the order does not matter.
func (r *Registry) weigh(group []*record, now time.Time) {
	w := weighing{rate: r.rate(now.Sub(r.base)), bursts: make(map[*end]bool)}
	for _, rec := range group {
		for i := range rec.blames {
			e := rec.blames[i].end
			if _, known := w.bursts[e]; !known {
				w.bursts[e] = r.burst(e)
			}
		}
	}
	for _, rec := range group {
		rec.odds = float32(w.odds(rec))
		rec.unexplained = uint8(rec.countUnexplained())
	}
}

// odds are the logarithm of the odds that a record's request ends engines: how likely its blames
// are if it does, against all other explanations of the same ends, which are that nothing of
// what ran there did it, and that one of the others did.
func (w *weighing) odds(rec *record) float64 {
	if len(rec.blames) == 0 {
		return math.Log(priorDeadly)
	}
	deadly, outside := 1.0, 1.0
	for _, b := range rec.moments() {
		deadly *= b.likelihood()
		outside *= w.outside(b)
	}
	others := outside
	for other := range rec.beside() {
		others += w.explains(other, rec)
	}
	return math.Log(priorDeadly * deadly / max(leastChance, min(1, others)))
}

// beside returns the other records that share ends with one.
func (rec *record) beside() map[*record]bool {
	out := make(map[*record]bool)
	for i := range rec.blames {
		for _, s := range rec.blames[i].end.suspects {
			if s != rec {
				out[s] = true
			}
		}
	}
	return out
}

// explains is the chance that another request ends engines and so explains the ends that a record
// shares with it, while the rest of the record's ends have no cause.
func (w *weighing) explains(other, rec *record) float64 {
	chance := w.without(other, rec)
	for _, b := range rec.moments() {
		if shared := other.blameFor(b.end); shared != nil {
			chance *= shared.likelihood()
		} else {
			chance *= w.outside(b)
		}
	}
	return chance
}

// without is the chance that a request ends engines by the ends that it does not share with a
// record.
func (w *weighing) without(other, rec *record) float64 {
	if other.convicted {
		return 1
	}
	odds := priorDeadly
	for _, b := range other.moments() {
		if rec.blameFor(b.end) == nil && !b.end.convicted() {
			odds *= b.likelihood() / w.outside(b)
		}
	}
	return odds / (1 + odds)
}

// outside is the chance that an engine ends for other reasons than its requests while one of them
// runs.
func (w *weighing) outside(b *blame) float64 {
	chance := w.rate * (b.ran + ranSlack).Seconds()
	if w.bursts[b.end] {
		chance = max(chance, burstChance)
	}
	return min(1, chance)
}

// blameFor returns the record's blame for an end; nil if there is none.
func (rec *record) blameFor(e *end) *blame {
	for i := range rec.blames {
		if rec.blames[i].end == e {
			return &rec.blames[i]
		}
	}
	return nil
}

// countUnexplained counts the blames for ends that no other request was convicted for.
func (rec *record) countUnexplained() int {
	n := 0
	for _, b := range rec.moments() {
		if !b.end.convictedBut(rec) {
			n++
		}
	}
	return n
}

// moments returns the record's blames, of several at one moment the first. A request of which many runs
// are in progress is at each engine of a rack that ends: that is one event, while one that
// ends engines is sent to the next one after the last has ended.
func (rec *record) moments() []*blame {
	out := make([]*blame, 0, len(rec.blames))
	for i := range rec.blames {
		b := &rec.blames[i]
		if !slices.ContainsFunc(out, b.beside) {
			out = append(out, b)
		}
	}
	return out
}

// beside reports whether two engines ended at one moment, and each had the request before the other's
// end.
func (b *blame) beside(o *blame) bool {
	return (b.at-o.at).Abs() <= burstWindow && b.at-b.ran < o.at && o.at-o.ran < b.at
}

// likelihood is how likely the blame is if its request ended the engine.
func (b *blame) likelihood() float64 {
	if b.begun {
		return 1
	}
	return unbegunShare
}

// rate is at which engines end for reasons that are not known, a second and engine.
func (r *Registry) rate(at time.Duration) float64 {
	n := 0
	for _, e := range r.ends {
		if at-e.at <= rateWindow && !e.convicted() {
			n++
		}
	}
	return quietRate + float64(n)/(float64(max(1, r.engines))*rateWindow.Seconds())
}

// convicted reports whether a request was convicted that the engine had begun.
func (e *end) convicted() bool { return e.convictedBut(nil) }

// convictedBut is the same for all requests but one.
func (e *end) convictedBut(but *record) bool {
	for _, s := range e.suspects {
		if s != but && s.convicted && s.blameFor(e).begun {
			return true
		}
	}
	return false
}

// burst reports whether other engines ended at the same moment without a request in common.
func (r *Registry) burst(e *end) bool {
	for _, o := range r.ends {
		if o != e && (o.at-e.at).Abs() <= burstWindow && !e.shares(o) {
			return true
		}
	}
	return false
}

func (e *end) shares(o *end) bool {
	for _, s := range e.suspects {
		if s.blameFor(o) != nil {
			return true
		}
	}
	return false
}

func sigmoid(x float64) float64 { return 1 / (1 + math.Exp(-x)) }
