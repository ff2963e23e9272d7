package origins

import "expvar"

// Metrics count what a Tracker did. The zero value is ready for use.
type Metrics struct {
	// Began counts the streams that began or went on here.
	Began expvar.Int
	// Copied counts the copies that other nodes have acknowledged, and NotCopied those that no node took.
	Copied, NotCopied expvar.Int
	// FoundHere and FoundElsewhere count the streams taken up whose record this node had, or another one; Concluded those
	// whose origin the ledger of builds tells.
	FoundHere, FoundElsewhere, Concluded expvar.Int
	// Unknown counts those that were refused because nobody knows where they began, Ambiguous those of an id under which
	// streams of several origins began.
	Unknown, Ambiguous expvar.Int
	// Asked counts the questions to other nodes, and Unanswered those without an answer.
	Asked, Unanswered expvar.Int
}

// Tree returns the metrics and the number of records as one map.
func (t *Tracker) Tree() *expvar.Map {
	m := new(expvar.Map).Init()
	counts := []struct {
		name string
		v    *expvar.Int
	}{
		{"began", &t.Metrics.Began}, {"copied", &t.Metrics.Copied}, {"notCopied", &t.Metrics.NotCopied}, {"foundHere", &t.Metrics.FoundHere},
		{"foundElsewhere", &t.Metrics.FoundElsewhere}, {"concluded", &t.Metrics.Concluded}, {"unknown", &t.Metrics.Unknown},
		{"ambiguous", &t.Metrics.Ambiguous}, {"asked", &t.Metrics.Asked}, {"unanswered", &t.Metrics.Unanswered},
	}
	for _, c := range counts {
		m.Set(c.name, c.v)
	}
	m.Set("records", expvar.Func(func() any { return t.Records() }))
	return m
}
