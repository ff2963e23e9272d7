package modelcheck

import (
	"fmt"

	"olivetiller/core/ledger"
	"olivetiller/internal/explore"
	pb "olivetiller/proto/olivetiller/v1"
)

// publishWorld is one state of the model: operators read a revision of the configuration, change
// the same item and publish the change on the revision that they read.
type publishWorld struct {
	// log holds the first n published changes, in order.
	log [6]publishEntry
	n   int
	// ops holds the state of each operator.
	ops [2]publisher
	// repeats counts the duplicated appends, as a retry after a lost answer makes them.
	repeats int
}

// publishEntry is one change in the log: its operator, the change's number among those of the operator,
// and the revision that it is based on.
type publishEntry struct {
	operator, change int
	base             uint64
}

// publisher is an operator: the revision read last, if any, and the number of changes published.
type publisher struct {
	read      uint64
	hasRead   bool
	published int
}

// maxPublishes is how many changes each operator publishes.
const maxPublishes = 2

// Publish returns the model of two operators who publish changes, with the given guards of the
// ledger switched off.
func Publish(off ledger.Guard) explore.Model[publishWorld] {
	m := &publishModel{disabled: off}
	return explore.Model[publishWorld]{
		Next: m.next, Check: m.check, MaxStates: 1_000_000,
		Key: func(w publishWorld) string { return fmt.Sprintf("%v", w) },
	}
}

type publishModel struct{ disabled ledger.Guard }

// replay applies the log and returns the state, the outcome of each record, and the revision before
// each record.
func (m *publishModel) replay(w publishWorld) (*ledger.State, []ledger.Outcome, []uint64) {
	s := ledger.NewState()
	s.DisabledGuards = m.disabled
	var outcomes []ledger.Outcome
	var before []uint64
	for i := range w.n {
		e := w.log[i]
		before = append(before, s.Revision)
		outcomes = append(outcomes, s.Apply(uint64(i), &pb.Record{
			Node: fmt.Sprint(e.operator), Incarnation: 1, Sequence: uint64(e.change),
			Body: &pb.Record_ConfigChange{ConfigChange: &pb.ConfigChange{
				ChangeId: fmt.Sprint(e.operator, "-", e.change), BaseRevision: e.base,
				Upsert: &pb.Config{WeightStores: []*pb.WeightStore{{Name: "s", LoadSlots: uint32(10*e.operator + e.change)}}},
			}},
		}))
	}
	return s, outcomes, before
}

func (m *publishModel) next(w publishWorld) []explore.Step[publishWorld] {
	var out []explore.Step[publishWorld]
	s, _, _ := m.replay(w)
	for i := range w.ops {
		to := w
		to.ops[i].read, to.ops[i].hasRead = s.Revision, true
		out = append(out, explore.Step[publishWorld]{Name: fmt.Sprintf("operator %d reads revision %d", i, s.Revision), To: to})
		if w.ops[i].hasRead && w.ops[i].published < maxPublishes && w.n < len(w.log) {
			to := w
			to.ops[i].published++
			to.log[w.n] = publishEntry{operator: i, change: to.ops[i].published, base: w.ops[i].read}
			to.n++
			out = append(out, explore.Step[publishWorld]{Name: fmt.Sprintf("operator %d publishes on %d", i, w.ops[i].read), To: to})
		}
	}
	if w.repeats < maxRepeats && w.n > 0 && w.n < len(w.log) {
		for i := range w.n {
			to := w
			to.log[w.n] = w.log[i]
			to.n++
			to.repeats++
			out = append(out, explore.Step[publishWorld]{Name: fmt.Sprintf("append %d surfaces again", i), To: to})
		}
	}
	return out
}

// check returns an error if a change replaced a revision other than the one it was based on, or if
// a change was applied twice.
func (m *publishModel) check(w publishWorld) error {
	_, outcomes, before := m.replay(w)
	applied := make(map[string]bool)
	for i, o := range outcomes {
		c := o.Record.GetConfigChange()
		if !o.OK() || o.Revision == before[i] || applied[c.GetChangeId()] && o.Revision <= before[i] {
			continue
		}
		if applied[c.GetChangeId()] {
			return fmt.Errorf("change %s was applied twice", c.GetChangeId())
		}
		applied[c.GetChangeId()] = true
		if c.GetBaseRevision() != before[i] {
			return fmt.Errorf("change %s is based on revision %d but replaced revision %d", c.GetChangeId(), c.GetBaseRevision(), before[i])
		}
	}
	return nil
}
