package quarantine

import (
	"math"
	"slices"
	"time"
)

// Parameters of the probability that a request crashes engines. TestCrashingRequestSeries in internal/quarantinelab
// simulates them: series of such requests in a deployment whose engines also crash for other reasons.
const (
	// priorCrashing is the prior probability that a request crashes engines.
	priorCrashing = 1e-4
	// quarantineThreshold is the probability from which a request is quarantined.
	quarantineThreshold = 0.9
	// isolateThreshold is the probability from which a request is isolated.
	isolateThreshold = 0.1
	// maxUnexplainedCrashes is the number of unexplained crashes that quarantines a request whatever its probability.
	// It is a requirement of the users, and it stops a request that only ever runs beside others, whose probability
	// therefore stays low.
	maxUnexplainedCrashes = 3
	// maxUnexplainedPartCrashes is the same number for a part of a prompt. It is larger, since many requests may hold a
	// part that is sound: those of a session that broke off beside several crashes of others.
	maxUnexplainedPartCrashes = 4
	// minPartCrashes is the least number of crashes that quarantines a part: one that only one request holds is no more
	// suspect than the request.
	minPartCrashes = 2
	// maxCrashes quarantines a request even if verdicts on other requests explain its crashes: such a verdict may be
	// wrong, and a harmless request is seldom sent so often.
	maxCrashes = 4
	// baseCrashRate is the assumed rate of spontaneous crashes, per engine and second: one per hour.
	baseCrashRate = 1.0 / 3600
	// runtimeSlack is added to the time that a request ran before a crash, for the delay with which its begin and the
	// crash are observed.
	runtimeSlack = 50 * time.Millisecond
	// rateWindow is the time over which crashes are counted for the current rate.
	rateWindow = 30 * time.Second
	// Crashes within burstWindow that share no suspect are taken for one event, such as the failure of a rack or a
	// link; burstProbability is the probability that such a crash has this cause.
	burstWindow      = 100 * time.Millisecond
	burstProbability = 0.5
	// timeResolution is by how much the order of two times that were sent from another node may be wrong: ages and
	// durations are sent in whole milliseconds.
	timeResolution = 2 * time.Millisecond
	// notBegunLikelihood is how likely a request that crashes engines does so before the engine has begun to answer
	// it.
	notBegunLikelihood = 0.2
	// minProbability is a lower bound on the probability of all other explanations; without it, rounding could make
	// them impossible.
	minProbability = 1e-9
)

// oddsModel holds what the odds of one group of records are computed from.
type oddsModel struct {
	// rate is the current rate of crashes for unknown reasons, per engine and second.
	rate   float64
	bursts map[*crash]bool
}

// updateOdds computes the odds of records anew. They depend on suspicions and verdicts of the other records, not on
// their odds, so the order does not matter.
func (r *Registry) updateOdds(group []*record, now time.Time) {
	w := oddsModel{rate: r.crashRate(now.Sub(r.base)), bursts: make(map[*crash]bool)}
	for _, rec := range group {
		for i := range rec.suspicions {
			e := rec.suspicions[i].crash
			if _, known := w.bursts[e]; !known {
				w.bursts[e] = r.inBurst(e)
			}
		}
	}
	for _, rec := range group {
		rec.odds = float32(w.odds(rec))
		rec.unexplained = uint8(rec.countUnexplained())
	}
}

// odds returns the logarithm of the odds that a record's request crashes engines. It compares the likelihood of the
// crashes if it does with all other explanations: that no request that ran there caused them, or that one of the
// other suspects did.
func (w *oddsModel) odds(rec *record) float64 {
	if len(rec.suspicions) == 0 {
		return math.Log(priorCrashing)
	}
	crashing, otherCauses := 1.0, 1.0
	for _, b := range rec.distinctEvents() {
		crashing *= b.likelihood()
		otherCauses *= w.otherCause(b)
	}
	others := otherCauses
	for other := range rec.coSuspects() {
		others += w.explainedBy(other, rec)
	}
	return math.Log(priorCrashing * crashing / max(minProbability, min(1, others)))
}

// coSuspects returns the other records that are suspected of some crash of this one.
func (rec *record) coSuspects() map[*record]bool {
	out := make(map[*record]bool)
	for i := range rec.suspicions {
		for _, s := range rec.suspicions[i].crash.suspects {
			if s != rec {
				out[s] = true
			}
		}
	}
	return out
}

// explainedBy returns the probability that the request other crashes engines and so explains the crashes that rec
// shares with it, while the other crashes of rec have causes outside of requests.
func (w *oddsModel) explainedBy(other, rec *record) float64 {
	chance := w.probabilityApart(other, rec)
	for _, b := range rec.distinctEvents() {
		if shared := other.suspicionFor(b.crash); shared != nil {
			chance *= shared.likelihood()
		} else {
			chance *= w.otherCause(b)
		}
	}
	return chance
}

// probabilityApart returns the probability that the request other crashes engines, by those of its crashes that it
// does not share with rec.
func (w *oddsModel) probabilityApart(other, rec *record) float64 {
	if other.hasVerdict {
		return 1
	}
	odds := priorCrashing
	for _, b := range other.distinctEvents() {
		if rec.suspicionFor(b.crash) == nil && !b.crash.attributed() {
			odds *= b.likelihood() / w.otherCause(b)
		}
	}
	return odds / (1 + odds)
}

// otherCause returns the probability that an engine crashes for reasons other than its requests while this request
// runs.
func (w *oddsModel) otherCause(b *suspicion) float64 {
	chance := w.rate * (b.elapsed + runtimeSlack).Seconds()
	if w.bursts[b.crash] {
		chance = max(chance, burstProbability)
	}
	return min(1, chance)
}

// suspicionFor returns the record's suspicion for a crash, or nil.
func (rec *record) suspicionFor(e *crash) *suspicion {
	for i := range rec.suspicions {
		if rec.suspicions[i].crash == e {
			return &rec.suspicions[i]
		}
	}
	return nil
}

// countUnexplained counts the crashes that no verdict on another request explains.
func (rec *record) countUnexplained() int {
	n := 0
	for _, b := range rec.distinctEvents() {
		if !b.crash.attributedExcept(rec) {
			n++
		}
	}
	return n
}

// distinctEvents returns the record's suspicions, only the first of several that are concurrent. A request with many
// concurrent runs is on each engine of a rack that fails, which is one event, while a request that crashes engines
// reaches the next engine only after the previous one has crashed.
func (rec *record) distinctEvents() []*suspicion {
	out := make([]*suspicion, 0, len(rec.suspicions))
	for i := range rec.suspicions {
		b := &rec.suspicions[i]
		if !slices.ContainsFunc(out, b.concurrent) {
			out = append(out, b)
		}
	}
	return out
}

// concurrent reports whether two engines crashed at the same time, each while it already had the request at the
// other's crash.
func (b *suspicion) concurrent(o *suspicion) bool {
	return (b.at-o.at).Abs() <= burstWindow && b.hadBefore(o) && o.hadBefore(b)
}

// hadBefore reports whether the engine of b had the request before its connection to the engine of o broke.
func (b *suspicion) hadBefore(o *suspicion) bool {
	broke := o.at
	if o.delayMs > 0 {
		broke -= time.Duration(o.delayMs)*time.Millisecond + timeResolution
	}
	return b.at-b.elapsed < broke
}

// likelihood returns the likelihood of the crash if this request caused it.
func (b *suspicion) likelihood() float64 {
	if b.begun {
		return 1
	}
	return notBegunLikelihood
}

// crashRate returns the current rate of crashes without a verdict that explains them, per engine and second.
func (r *Registry) crashRate(at time.Duration) float64 {
	n := 0
	for _, e := range r.crashes {
		if at-e.at <= rateWindow && !e.disproved() && !e.attributed() {
			n++
		}
	}
	return baseCrashRate + float64(n)/(float64(max(1, r.engines))*rateWindow.Seconds())
}

// attributed reports whether there is a verdict on a request that the engine had begun, so that the crash is
// explained.
func (e *crash) attributed() bool { return e.attributedExcept(nil) }

// attributedExcept is like attributed, but ignores one record.
func (e *crash) attributedExcept(except *record) bool {
	for _, s := range e.suspects {
		if s != except && s.hasVerdict && s.suspicionFor(e).begun && !s.narrowerThan(except) {
			return true
		}
	}
	return false
}

// narrowerThan reports whether rec is a request and o a part that was in all of its crashes and in others. A verdict on
// such a request does not explain the crashes of the part: other requests that hold the part crash engines too.
func (rec *record) narrowerThan(o *record) bool {
	return o != nil && !rec.request.IsPart() && o.request.IsPart() && o.exceeds(rec)
}

// exceeds reports whether rec is suspected of all crashes that o is suspected of, and of others.
func (rec *record) exceeds(o *record) bool {
	return len(rec.suspicions) > len(o.suspicions) && !slices.ContainsFunc(o.suspicions, func(b suspicion) bool { return rec.suspicionFor(b.crash) == nil })
}

// inBurst reports whether other engines crashed at the same time with no suspect in common.
func (r *Registry) inBurst(e *crash) bool {
	for _, o := range r.crashes {
		if o != e && (o.at-e.at).Abs() <= burstWindow && !o.disproved() && !e.sharesSuspect(o) {
			return true
		}
	}
	return false
}

func (e *crash) sharesSuspect(o *crash) bool {
	for _, s := range e.suspects {
		if s.suspicionFor(o) != nil {
			return true
		}
	}
	return false
}

func sigmoid(x float64) float64 { return 1 / (1 + math.Exp(-x)) }
