package quarantine

import (
	"cmp"
	"time"
)

// EndID names one end of an engine.
type EndID struct {
	Engine string `json:"engine"`
	// Start tells the engine's lives apart, in Unix milliseconds; 0 where that is not told.
	Start int64 `json:"start,omitempty"`
	// N counts the ends under one id and start; above 0 only where starts are not told.
	N int `json:"n,omitempty"`
}

// compare orders ends.
func (e EndID) compare(o EndID) int {
	return cmp.Or(cmp.Compare(e.Engine, o.Engine), cmp.Compare(e.Start, o.Start), cmp.Compare(e.N, o.N))
}

// Blame says that an engine ended while it had a request.
type Blame struct {
	End EndID
	// Ran is for how long it had it.
	Ran time.Duration
	// Begun is true when the engine had begun to answer.
	Begun bool
	// At is when the end was noticed.
	At time.Time
}

// Verdict says that a request is kept from engines.
type Verdict struct {
	// At is when that was decided, or when the latest trial began.
	At time.Time
	// Trials counts the runs that were tried since.
	Trials int
}

// Entry is what one node knows of a request, as it is told to others. Entries join: of two
// epochs the later one counts alone; within one, blames are united and the verdict
// with more trials counts.
type Entry struct {
	Request Fingerprint
	// Epoch counts how often the request was cleared: blames of before are void.
	Epoch uint32
	// At is when the epoch began, or the request was first blamed.
	At time.Time
	// Blames are in the order of their ends, one for each.
	Blames []Blame
	// Verdict is nil while there is none.
	Verdict *Verdict
}

// empty reports whether the entry says nothing.
func (e *Entry) empty() bool { return e.Epoch == 0 && len(e.Blames) == 0 && e.Verdict == nil }
