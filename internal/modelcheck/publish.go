package modelcheck

import (
	"fmt"

	"olivetiller/core/ledger"
	"olivetiller/internal/explore"
	pb "olivetiller/proto/olivetiller/v1"
)

// publishWorld is one state of the model: operators read a revision, change the
// same model's replicas and publish.
type publishWorld struct {
	// log holds the changes: operator and base revision.
	log [6]publishEntry
	n   int
	// ops holds what each operator has read and how often it published.
	ops [2]publisher
	// repeats counts the appends repeated after a lost answer.
	repeats int
}

type publishEntry struct {
	operator, change int
	base             uint64
}

type publisher struct {
	read      uint64
	hasRead   bool
	published int
}

const maxPublishes = 2

// Publish returns the model, with guards of the fold switched off.
func Publish(off ledger.Guard) explore.Model[publishWorld] {
	m := &publishModel{off: off}
	return explore.Model[publishWorld]{
		Next: m.next, Check: m.check, MaxStates: 1_000_000,
		Key: func(w publishWorld) string { return fmt.Sprintf("%v", w) },
	}
}

type publishModel struct{ off ledger.Guard }

// fold returns the state and each record's outcome with the revision before it.
func (m *publishModel) fold(w publishWorld) (*ledger.State, []ledger.Outcome, []uint64) {
	s := ledger.NewState()
	s.Off = m.off
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
	s, _, _ := m.fold(w)
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

// check says what is wrong: a configuration that replaced one its operator had
// not seen, or one that came into force twice.
func (m *publishModel) check(w publishWorld) error {
	_, outcomes, before := m.fold(w)
	inForce := make(map[string]bool)
	for i, o := range outcomes {
		c := o.Record.GetConfigChange()
		if !o.OK() || o.Revision == before[i] || inForce[c.GetChangeId()] && o.Revision <= before[i] {
			continue
		}
		if inForce[c.GetChangeId()] {
			return fmt.Errorf("change %s came into force twice", c.GetChangeId())
		}
		inForce[c.GetChangeId()] = true
		if c.GetBaseRevision() != before[i] {
			return fmt.Errorf("change %s was made for revision %d and replaced revision %d", c.GetChangeId(), c.GetBaseRevision(), before[i])
		}
	}
	return nil
}
