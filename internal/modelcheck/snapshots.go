package modelcheck

import (
	"fmt"

	"olivetiller/core/ledger"
	"olivetiller/internal/explore"
	pb "olivetiller/proto/olivetiller/v1"
)

// snapshotWorld is one state of the model: a log that is trimmed, snapshots of
// it, and a node that boots from one and reads on.
type snapshotWorld struct {
	// next is the end of the log, earliest what is still kept.
	next, earliest int
	// snapshot is the offset that the newest snapshot goes up to; 0 for none.
	snapshot int
	// booted is set once the node has taken a state, read how far it is.
	booted bool
	read   int
	// skipped is set when the node read on across a gap.
	skipped bool
}

const maxEntries = 6

// SnapshotGuards are the guards of booting.
type SnapshotGuards struct {
	// NoGapCheck reads on after a gap as if nothing were missing.
	NoGapCheck bool
}

// Snapshots returns the model.
func Snapshots(g SnapshotGuards) explore.Model[snapshotWorld] {
	return explore.Model[snapshotWorld]{
		Next:  func(w snapshotWorld) []explore.Step[snapshotWorld] { return snapshotSteps(w, g) },
		Check: checkSnapshots, MaxStates: 100_000,
		Key: func(w snapshotWorld) string { return fmt.Sprintf("%v", w) },
	}
}

func snapshotSteps(w snapshotWorld, g SnapshotGuards) []explore.Step[snapshotWorld] {
	var out []explore.Step[snapshotWorld]
	add := func(name string, to snapshotWorld) {
		out = append(out, explore.Step[snapshotWorld]{Name: name, To: to})
	}
	if w.next < maxEntries {
		to := w
		to.next++
		add("append", to)
	}
	if w.snapshot < w.next {
		to := w
		to.snapshot = w.next
		add("snapshot", to)
	}
	// Retention is longer than the time between snapshots, so the log is never
	// trimmed beyond the newest one.
	if w.earliest < w.snapshot {
		to := w
		to.earliest++
		add("trim", to)
	}
	if !w.booted && (w.snapshot >= w.earliest) {
		to := w
		to.booted, to.read = true, w.snapshot
		add("boot", to)
	}
	if w.booted && w.read < w.next {
		add("read", readOn(w, g))
	}
	return out
}

func readOn(w snapshotWorld, g SnapshotGuards) snapshotWorld {
	if w.read >= w.earliest {
		w.read++
		return w
	}
	if g.NoGapCheck {
		w.skipped = true
		w.read = w.earliest + 1
		return w
	}
	// What comes next was trimmed: the node takes a newer state.
	w.booted, w.read = false, 0
	return w
}

// checkSnapshots folds what the node has read through a real snapshot and
// compares it with the fold of the whole log.
func checkSnapshots(w snapshotWorld) error {
	if !w.booted || w.read < w.next {
		return nil
	}
	whole := ledger.NewState()
	for i := range w.next {
		whole.Apply(uint64(i), claimEntry(i))
		whole.NextOffset = uint64(i) + 1
	}
	node := ledger.NewState()
	from := 0
	if w.skipped {
		from = w.earliest
	}
	for i := from; i < w.next; i++ {
		if i == w.snapshot {
			restored, err := ledger.Restore(node.Snapshot())
			if err != nil {
				return err
			}
			node = restored
		}
		node.Apply(uint64(i), claimEntry(i))
		node.NextOffset = uint64(i) + 1
	}
	_, a, err := ledger.Encode(whole.Snapshot())
	if err != nil {
		return err
	}
	_, b, err := ledger.Encode(node.Snapshot())
	if err != nil {
		return err
	}
	if a != b {
		return fmt.Errorf("the booted node's state differs from the fold of the whole log")
	}
	return nil
}

func claimEntry(i int) *pb.Record {
	id := make([]byte, len(ledger.ClaimID{}))
	id[0] = byte(i)
	return &pb.Record{
		Node: "n", Incarnation: 1, Sequence: uint64(i + 1), TimeUnixMs: int64(i + 1),
		Body: &pb.Record_Claim{Claim: &pb.Claim{Id: id, KeyTimeUnixMs: int64(i + 1)}},
	}
}
