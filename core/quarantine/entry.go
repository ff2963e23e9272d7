package quarantine

import (
	"cmp"
	"time"
)

// CrashID identifies one crash of an engine.
type CrashID struct {
	Engine string `json:"engine"`
	// Start identifies the engine's incarnation by its start time in Unix milliseconds; 0 if the engine does not
	// publish it.
	Start int64 `json:"start,omitempty"`
	// N numbers the crashes with the same Engine and Start; it is above 0 only where Start is 0.
	N int `json:"n,omitempty"`
}

// compare defines the order of crashes in an entry.
func (e CrashID) compare(o CrashID) int {
	return cmp.Or(cmp.Compare(e.Engine, o.Engine), cmp.Compare(e.Start, o.Start), cmp.Compare(e.N, o.N))
}

// Suspicion is the suspicion that a request crashed an engine: the engine crashed while it had the request.
type Suspicion struct {
	Crash CrashID
	// Elapsed is how long the engine had the request before the crash.
	Elapsed time.Duration
	// Begun is true if the engine had begun to answer.
	Begun bool
	// At is when the crash was noticed.
	At time.Time
	// Delay is how long before At the connection of the request had broken, in whole milliseconds; 0 if that is not known.
	// An engine may close its listener after its connections, so that crashes are noticed in another order than they
	// happened.
	Delay time.Duration
}

// Verdict records that a request is quarantined.
type Verdict struct {
	// At is when the verdict was reached, or when the latest trial began.
	At time.Time
	// Trials counts the trial runs since the verdict.
	Trials int
}

// Entry is one node's knowledge of a request, as sent to other nodes and the store. Entries merge: the later epoch
// replaces the earlier one; within one epoch the suspicions are united, and the verdict with more trials wins. A disproof
// voids a suspicion in any epoch.
type Entry struct {
	Request Fingerprint
	// Epoch counts how often the request was cleared; suspicions of earlier epochs are void.
	Epoch uint32
	// At is when the epoch began, or when the request was first suspected.
	At time.Time
	// Suspicions are sorted by Crash; there is one for each crash.
	Suspicions []Suspicion
	// Disproofs are those of crashes that the request was suspected of, sorted by Crash.
	Disproofs []Disproof
	// Verdict is nil if the request is not quarantined.
	Verdict *Verdict
}

// empty reports whether the entry holds no information.
func (e *Entry) empty() bool { return e.Epoch == 0 && len(e.Suspicions) == 0 && e.Verdict == nil }
