package modelcheck

import (
	"fmt"

	"olivetiller/core/ledger"
	"olivetiller/internal/explore"
	pb "olivetiller/proto/olivetiller/v1"
)

// snapshotWorld is one state of the model: a log that is trimmed at its start, snapshots of the
// state, and a node that boots from the newest snapshot and reads on from there.
type snapshotWorld struct {
	// next is the offset of the next record to be appended, earliest that of the first record still
	// kept.
	next, earliest int
	// snapshot is the offset up to which the newest snapshot covers the log, exclusive; 0 if there
	// is none.
	snapshot int
	// booted is set once the node has restored a snapshot; read is the offset that it reads next.
	booted bool
	read   int
	// skipped is set when the node read on after a gap in the log.
	skipped bool
}

// maxEntries bounds the length of the log, in records.
const maxEntries = 6

// SnapshotGuards selects the guards of the boot protocol that the model runs without.
type SnapshotGuards struct {
	// NoGapCheck lets the node read on after a gap as if no record were missing.
	NoGapCheck bool
}

// Snapshots returns the model of a node that boots while the log is trimmed.
func Snapshots(g SnapshotGuards) explore.Model[snapshotWorld] {
	return explore.Model[snapshotWorld]{
		Next:  func(w snapshotWorld) []explore.Step[snapshotWorld] { return snapshotSteps(w, g) },
		Check: checkSnapshots, MaxStates: 100_000,
		Key: func(w snapshotWorld) string { return fmt.Sprintf("%v", w) },
	}
}

// snapshotSteps returns the steps that are possible in world w.
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
	// Records are retained for longer than the time between snapshots, so the log is never trimmed
	// beyond the newest snapshot.
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
		add("read", readNext(w, g))
	}
	return out
}

// readNext returns the world after the node has read the next record, or has found that it was trimmed.
func readNext(w snapshotWorld, g SnapshotGuards) snapshotWorld {
	if w.read >= w.earliest {
		w.read++
		return w
	}
	if g.NoGapCheck {
		w.skipped = true
		w.read = w.earliest + 1
		return w
	}
	// The next record was trimmed: the node boots again from a newer snapshot.
	w.booted, w.read = false, 0
	return w
}

// checkSnapshots returns an error if the state of a node that has read the whole log differs from
// the state after applying the whole log. The node's state passes through an encoded snapshot at
// the snapshot's offset.
func checkSnapshots(w snapshotWorld) error {
	if !w.booted || w.read < w.next {
		return nil
	}
	full := ledger.NewState()
	for i := range w.next {
		full.Apply(uint64(i), claimEntry(i))
		full.NextOffset = uint64(i) + 1
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
	_, a, err := ledger.Encode(full.Snapshot())
	if err != nil {
		return err
	}
	_, b, err := ledger.Encode(node.Snapshot())
	if err != nil {
		return err
	}
	if a != b {
		return fmt.Errorf("the state of the booted node differs from the state after applying the full log")
	}
	return nil
}

// claimEntry returns the record at offset i: a claim of its own.
func claimEntry(i int) *pb.Record {
	id := make([]byte, len(ledger.ClaimID{}))
	id[0] = byte(i)
	return &pb.Record{
		Node: "n", Incarnation: 1, Sequence: uint64(i + 1), TimeUnixMs: int64(i + 1),
		Body: &pb.Record_Claim{Claim: &pb.Claim{Id: id, KeyTimeUnixMs: int64(i + 1)}},
	}
}
