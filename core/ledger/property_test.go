package ledger

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "olivetiller/internal/fixedseed"
	pb "olivetiller/proto/olivetiller/v1"
)

// TestInvariantsHoldInRandomHistories applies random records of several nodes,
// some of them duplicated and late, with clocks that disagree. The invariants in
// check must hold after every record, and a state restored from a snapshot taken
// anywhere in between must end equal to the state that applied all records.
func TestInvariantsHoldInRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := history{rt: rt, s: NewState(), writers: []*writer{{node: "a"}, {node: "b"}, {node: "c"}}}
		h.apply(h.writers[0].record(&pb.ConfigChange{ChangeId: "a", Upsert: testConfig()}))
		h.apply(h.writers[0].record(&pb.EngineUp{Engine: "e1", Incarnation: 1, MemoryBytes: 100, Hall: "s"}))
		h.apply(h.writers[0].record(&pb.EngineUp{Engine: "e2", Incarnation: 1, MemoryBytes: 100, Hall: "n", ChecksFences: true}))
		boot := rapid.IntRange(0, 40).Draw(rt, "boot")
		var booted *State
		for i := range 60 {
			if i == boot {
				booted = h.restoreSnapshot()
			}
			h.step()
			if booted != nil {
				last := h.records[len(h.records)-1]
				booted.Apply(uint64(len(h.records)-1), last)
				booted.NextOffset = uint64(len(h.records))
			}
		}
		if booted != nil {
			requireEqualStates(rt, h.s, booted)
		}
	})
}

// history is a sequence of random records and the state after them.
type history struct {
	rt      *rapid.T
	s       *State
	writers []*writer
	records []*pb.Record
}

func (h *history) apply(r *pb.Record) Outcome {
	offset := uint64(len(h.records))
	h.records = append(h.records, r)
	o := h.s.Apply(offset, r)
	h.s.NextOffset = offset + 1
	h.check()
	return o
}

// step applies a new random record or, in one of ten cases, a duplicate of an
// earlier one.
func (h *history) step() {
	if rapid.IntRange(0, 9).Draw(h.rt, "repeat") == 0 {
		old := rapid.SampledFrom(h.records).Draw(h.rt, "old")
		if o := h.apply(old); o.Reason != Repeated {
			h.rt.Fatalf("a duplicate record was not rejected as Repeated: %v", o.Reason)
		}
		return
	}
	w := rapid.SampledFrom(h.writers).Draw(h.rt, "node")
	r := w.record(h.body())
	r.TimeUnixMs = rapid.Int64Range(0, 10_000_000).Draw(h.rt, "clock")
	h.apply(r)
}

func (h *history) body() any {
	unit := rapid.SampledFrom([]string{"base", "big", "huge", "north", "tune", "shut"}).Draw(h.rt, "unit")
	engine := rapid.SampledFrom([]string{"e1", "e2"}).Draw(h.rt, "engine")
	fence := rapid.Uint64Range(1, uint64(len(h.records))).Draw(h.rt, "fence")
	if p := h.s.Find(Key{unit, "v1", engine}); p != nil && rapid.Bool().Draw(h.rt, "current") {
		fence = p.Fence
	}
	unsure := rapid.Bool().Draw(h.rt, "unsure")
	id := make([]byte, 32)
	id[0] = byte(rapid.IntRange(0, 3).Draw(h.rt, "key"))
	switch rapid.IntRange(0, 11).Draw(h.rt, "kind") {
	case 0, 1, 2:
		l := load(unit, engine, uint32(rapid.IntRange(1, 3).Draw(h.rt, "want")))
		if e := h.s.Engines[engine]; e != nil {
			l.EngineIncarnation = e.Incarnation
		}
		return l
	case 3, 4:
		return &pb.LoadDone{Unit: unit, Version: "v1", Engine: engine, Fence: fence, Unsure: unsure}
	case 5:
		return &pb.LoadFailed{Unit: unit, Version: "v1", Engine: engine, Fence: fence, Unsure: unsure}
	case 6:
		return &pb.Takeover{Unit: unit, Version: "v1", Engine: engine, Fence: fence}
	case 7:
		return &pb.Unload{Unit: unit, Version: "v1", Engine: engine, Fence: fence}
	case 8:
		return &pb.UnloadDone{Unit: unit, Version: "v1", Engine: engine, Fence: fence, Unsure: unsure}
	case 9:
		return &pb.EngineUp{Engine: engine, Incarnation: rapid.Uint64Range(1, 4).Draw(h.rt, "incarnation"), MemoryBytes: 100, Hall: "n"}
	case 10:
		return &pb.Claim{Id: id, KeyTimeUnixMs: rapid.Int64Range(0, 10_000_000).Draw(h.rt, "keyTime")}
	}
	return &pb.ClaimRelease{Id: id}
}

// check compares the indexes with the placements and verifies the limits on
// memory, replicas and load slots.
func (h *history) check() {
	s := h.s
	loading := make(map[string]int)
	for _, e := range s.Engines {
		var used uint64
		for uv, p := range e.Placements {
			used += p.Bytes
			if p.Phase == Loading {
				loading[p.Store]++
			}
			if s.Replicas[uv][e.Name] != p {
				h.rt.Fatalf("%v is not among the replicas", p.Key)
			}
			if (p.Phase == Ready) == (s.Open[p.Key] != nil) {
				h.rt.Fatalf("%v is %s, which disagrees with the index Open", p.Key, p.Phase)
			}
		}
		if used != e.Used || used > e.MemoryBytes {
			h.rt.Fatalf("engine %s: %d bytes placed, %d accounted, capacity %d", e.Name, used, e.Used, e.MemoryBytes)
		}
	}
	for uv, replicas := range s.Replicas {
		if u := s.Catalog.Units[uv.Unit]; len(replicas) > u.MaxReplicas {
			h.rt.Fatalf("unit %s has %d replicas, the limit is %d", uv.Unit, len(replicas), u.MaxReplicas)
		}
	}
	for store, n := range loading {
		if n > s.Catalog.StoreSlots[store] || n != s.UsedSlots(store) {
			h.rt.Fatalf("store %s: %d placements loading, %d slots counted as used, %d slots", store, n, s.UsedSlots(store), s.Catalog.StoreSlots[store])
		}
	}
}

// restoreSnapshot encodes the current state and returns the state decoded from it.
func (h *history) restoreSnapshot() *State {
	data, hash, err := Encode(h.s.Snapshot())
	if err != nil {
		h.rt.Fatal(err)
	}
	s, err := Decode(data, hash[:])
	if err != nil {
		h.rt.Fatal(err)
	}
	requireEqualStates(h.rt, h.s, s)
	return s
}

func requireEqualStates(rt *rapid.T, a, b *State) {
	x, y := a.Snapshot(), b.Snapshot()
	if !proto.Equal(x, y) {
		rt.Fatalf("states differ:\n%v\n%v", x, y)
	}
}

// FuzzApplyEntry applies arbitrary bytes as log entries. No entry may panic or
// stop the state machine: NextOffset must advance, and the state must survive a
// snapshot.
func FuzzApplyEntry(f *testing.F) {
	w := &writer{node: "n"}
	for _, body := range []any{&pb.ConfigChange{ChangeId: "a", Upsert: testConfig()}, load("big", "e1", 1), &pb.Claim{Id: []byte("short")}} {
		data, err := proto.Marshal(&pb.Batch{Records: []*pb.Record{w.record(body)}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState()
		s.ApplyEntry(0, data)
		s.ApplyEntry(1, data)
		if s.NextOffset != 2 {
			t.Error(fmt.Sprint("next offset is not 2 but ", s.NextOffset))
		}
		if _, err := Restore(s.Snapshot()); err != nil {
			t.Errorf("the state does not survive a snapshot: %v", err)
		}
	})
}
