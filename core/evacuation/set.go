package evacuation

import (
	"maps"
	"slices"
)

// Set is the set of data halls that are being evacuated. The zero value is an empty set, complete up to position 0.
// It is not safe for concurrent use.
type Set struct {
	// halls holds the latest record of each hall, including halls whose evacuation has ended.
	halls map[string]hallRecord
	// asOf is the position up to which the set is known to be complete.
	asOf uint64
}

type hallRecord struct {
	at uint64
	on bool
}

// Apply applies one record, which begins or ends the evacuation of a hall, at a position of the operators' topic.
func (s *Set) Apply(hall string, on bool, at uint64) {
	m, known := s.halls[hall]
	if known && m.at >= at || !known && at < s.asOf {
		return
	}
	if s.halls == nil {
		s.halls = make(map[string]hallRecord)
	}
	s.halls[hall] = hallRecord{at, on}
}

// Replace applies the complete list of evacuated halls as of a position. Halls with a later record keep its state.
// A list older than the set is ignored.
func (s *Set) Replace(halls []string, asOf uint64) {
	if asOf < s.asOf {
		return
	}
	for hall, m := range s.halls {
		if m.on && m.at < asOf && !slices.Contains(halls, hall) {
			s.halls[hall] = hallRecord{asOf, false}
		}
	}
	for _, hall := range halls {
		if m, known := s.halls[hall]; known && (m.on || m.at >= asOf) {
			continue
		}
		if s.halls == nil {
			s.halls = make(map[string]hallRecord)
		}
		s.halls[hall] = hallRecord{asOf, true}
	}
	s.asOf = asOf
}

// CompleteTo records that all records before a position have been applied.
func (s *Set) CompleteTo(at uint64) { s.asOf = max(s.asOf, at) }

// AsOf returns the position up to which the set is known to be complete.
func (s *Set) AsOf() uint64 { return s.asOf }

// Evacuated reports whether a data hall is being evacuated.
func (s *Set) Evacuated(hall string) bool { return s.halls[hall].on }

// Halls returns the names of the data halls that are being evacuated, sorted; nil if there are none.
func (s *Set) Halls() []string {
	var out []string
	for _, hall := range slices.Sorted(maps.Keys(s.halls)) {
		if s.halls[hall].on {
			out = append(out, hall)
		}
	}
	return out
}
