package ledger

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	pb "olivetiller/proto/olivetiller/v1"
)

// writer creates records of one node incarnation with rising sequence numbers.
type writer struct {
	node     string
	sequence uint64
}

func (w *writer) record(body any) *pb.Record {
	w.sequence++
	r := &pb.Record{Node: w.node, Incarnation: 1, Sequence: w.sequence, TimeUnixMs: 1000}
	switch b := body.(type) {
	case *pb.ConfigChange:
		r.Body = &pb.Record_ConfigChange{ConfigChange: b}
	case *pb.EngineUp:
		r.Body = &pb.Record_EngineUp{EngineUp: b}
	case *pb.EngineGone:
		r.Body = &pb.Record_EngineGone{EngineGone: b}
	case *pb.EngineDrain:
		r.Body = &pb.Record_EngineDrain{EngineDrain: b}
	case *pb.Load:
		r.Body = &pb.Record_Load{Load: b}
	case *pb.LoadDone:
		r.Body = &pb.Record_LoadDone{LoadDone: b}
	case *pb.LoadFailed:
		r.Body = &pb.Record_LoadFailed{LoadFailed: b}
	case *pb.Takeover:
		r.Body = &pb.Record_Takeover{Takeover: b}
	case *pb.Unload:
		r.Body = &pb.Record_Unload{Unload: b}
	case *pb.UnloadDone:
		r.Body = &pb.Record_UnloadDone{UnloadDone: b}
	case *pb.Claim:
		r.Body = &pb.Record_Claim{Claim: b}
	case *pb.ClaimRelease:
		r.Body = &pb.Record_ClaimRelease{ClaimRelease: b}
	case *pb.ClaimDone:
		r.Body = &pb.Record_ClaimDone{ClaimDone: b}
	default:
		panic(fmt.Sprintf("no record for %T", body))
	}
	return r
}

func testConfig() *pb.Config {
	v := []*pb.Version{{Name: "v1", WeightBytes: 10}}
	return &pb.Config{
		WeightStores: []*pb.WeightStore{{Name: "s", LoadSlots: 1}},
		Models: []*pb.Model{
			{Name: "base", Versions: v, ServingVersion: "v1", MaxReplicas: 1, WeightStore: "s"},
			{Name: "big", Versions: []*pb.Version{{Name: "v1", WeightBytes: 90}}, ServingVersion: "v1", MaxReplicas: 2, WeightStore: "s"},
			{Name: "huge", Versions: []*pb.Version{{Name: "v1", WeightBytes: 900}}, ServingVersion: "v1", MaxReplicas: 1, WeightStore: "s"},
			{Name: "north", Versions: v, ServingVersion: "v1", MaxReplicas: 1, WeightStore: "s", Halls: []string{"n"}},
			{Name: "shut", Versions: v, ServingVersion: "v1", MaxReplicas: 1, WeightStore: "s", Banned: true},
		},
		Adapters: []*pb.Adapter{{Name: "tune", BaseModel: "base", Versions: v, ServingVersion: "v1", MaxReplicas: 1}},
	}
}

func load(unit, engine string, want uint32) *pb.Load {
	return &pb.Load{Unit: unit, Version: "v1", Engine: engine, EngineIncarnation: 1, Want: want}
}

// TestOutcomes applies records to a state with a configuration and two engines of
// 100 bytes, and expects the given reason for each record.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		records []any
		want    []Reason
	}{
		{"first load wins", []any{load("big", "e1", 1), load("big", "e2", 1)}, []Reason{Accepted, EnoughReplicas}},
		{"second replica when wanted", []any{load("big", "e1", 1), load("big", "e2", 2)}, []Reason{Accepted, Accepted}},
		{"never above the configured replicas", []any{load("base", "e1", 1), load("base", "e2", 9)}, []Reason{Accepted, EnoughReplicas}},
		{"one replica an engine", []any{load("big", "e1", 1), load("big", "e1", 2)}, []Reason{Accepted, AlreadyPlaced}},
		{"memory is never overcommitted", []any{load("big", "e1", 1), load("base", "e1", 1), load("north", "e1", 1)}, []Reason{Accepted, Accepted, HallNotAllowed}},
		{"no room", []any{load("huge", "e1", 1)}, []Reason{NoMemory}},
		{"unknown unit", []any{load("none", "e1", 1)}, []Reason{NoSuchUnit}},
		{"unknown engine", []any{load("big", "e9", 1)}, []Reason{NoSuchEngine}},
		{"banned", []any{load("shut", "e1", 1)}, []Reason{UnitBanned}},
		{"other hall", []any{load("north", "e1", 1), load("north", "e2", 1)}, []Reason{HallNotAllowed, Accepted}},
		{"draining", []any{&pb.EngineDrain{Engine: "e1", Draining: true}, load("big", "e1", 1)}, []Reason{Accepted, EngineDraining}},
		{"adapter before its base", []any{load("tune", "e1", 1)}, []Reason{BaseNotReady}},
		{"base under an adapter stays", []any{
			load("base", "e1", 1), &pb.LoadDone{Unit: "base", Version: "v1", Engine: "e1", Fence: 4},
			load("tune", "e1", 1), &pb.Unload{Unit: "base", Version: "v1", Engine: "e1", Fence: 4},
		}, []Reason{Accepted, Accepted, Accepted, AdaptersLoaded}},
		{"outcome under an old fence", []any{
			load("big", "e1", 1), &pb.Takeover{Unit: "big", Version: "v1", Engine: "e1", Fence: 4},
			&pb.LoadDone{Unit: "big", Version: "v1", Engine: "e1", Fence: 4},
			&pb.LoadDone{Unit: "big", Version: "v1", Engine: "e1", Fence: 5},
		}, []Reason{Accepted, Accepted, StaleFence, Accepted}},
		{"two takeovers, one wins", []any{
			load("big", "e1", 1), &pb.Takeover{Unit: "big", Version: "v1", Engine: "e1", Fence: 4},
			&pb.Takeover{Unit: "big", Version: "v1", Engine: "e1", Fence: 4},
		}, []Reason{Accepted, Accepted, StaleFence}},
		{"replaced engine has nothing", []any{
			load("big", "e1", 1), &pb.EngineUp{Engine: "e1", Incarnation: 2, MemoryBytes: 100, Hall: "s"},
			&pb.LoadDone{Unit: "big", Version: "v1", Engine: "e1", Fence: 4}, load("big", "e1", 1),
		}, []Reason{Accepted, Accepted, StaleFence, EngineReplaced}},
		{"engine gone frees its replicas", []any{
			load("big", "e1", 1), &pb.EngineGone{Engine: "e1", Incarnation: 1}, load("big", "e2", 1),
		}, []Reason{Accepted, Accepted, Accepted}},
		{"stale configuration", []any{&pb.ConfigChange{ChangeId: "b", BaseRevision: 0}}, []Reason{RevisionMoved}},
		{"repeated change id", []any{&pb.ConfigChange{ChangeId: "a", BaseRevision: 9}}, []Reason{Accepted}},
		{"faulty configuration", []any{&pb.ConfigChange{ChangeId: "b", BaseRevision: 1, Remove: []string{"weightStores/s"}}}, []Reason{ConfigFaults}},
		{"claim once", []any{&pb.Claim{Id: make([]byte, 32), KeyTimeUnixMs: 1000}, &pb.Claim{Id: make([]byte, 32), KeyTimeUnixMs: 1000}}, []Reason{Accepted, KeyTaken}},
		{"claim again after release", []any{
			&pb.Claim{Id: make([]byte, 32), KeyTimeUnixMs: 1000}, &pb.ClaimRelease{Id: make([]byte, 32)},
			&pb.Claim{Id: make([]byte, 32), KeyTimeUnixMs: 1000},
		}, []Reason{Accepted, Accepted, Accepted}},
		{"no release after the end", []any{
			&pb.Claim{Id: make([]byte, 32), KeyTimeUnixMs: 1000}, &pb.ClaimDone{Id: make([]byte, 32), Ran: true, Status: 200},
			&pb.ClaimRelease{Id: make([]byte, 32)}, &pb.Claim{Id: make([]byte, 32), KeyTimeUnixMs: 1000},
		}, []Reason{Accepted, Accepted, WrongPhase, KeyTaken}},
		{"key older than the window", []any{&pb.Claim{Id: make([]byte, 32), KeyTimeUnixMs: 999 - ClaimWindow.Milliseconds()}}, []Reason{KeyExpired}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s, w := newTestState(t)
			var got []Reason
			for i, body := range tc.records {
				got = append(got, s.Apply(uint64(3+i), w.record(body)).Reason)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("reasons (-want +got):\n%s", diff)
			}
		})
	}
}

// newTestState returns a state with a configuration and two engines, from records
// at offsets 0 to 2, and the writer of these records.
func newTestState(t *testing.T) (*State, *writer) {
	t.Helper()
	s, w := NewState(), &writer{node: "n"}
	for i, body := range []any{
		&pb.ConfigChange{ChangeId: "a", Upsert: testConfig()},
		&pb.EngineUp{Engine: "e1", Incarnation: 1, MemoryBytes: 100, Hall: "s"},
		&pb.EngineUp{Engine: "e2", Incarnation: 1, MemoryBytes: 100, Hall: "n"},
	} {
		if o := s.Apply(uint64(i), w.record(body)); !o.OK() {
			t.Fatalf("record %d: %s", i, o.Reason)
		}
	}
	return s, w
}

// TestSlotsAreGrantedByUrgency queues two loads behind the single load slot of a
// weight store and expects that the more urgent one gets the slot when the first
// load ends, although it was proposed last.
func TestSlotsAreGrantedByUrgency(t *testing.T) {
	s, w := newTestState(t)
	urgent := func(unit, engine string, at int64) *pb.Load {
		l := load(unit, engine, 1)
		l.UrgentUnixMs = at
		return l
	}
	s.Apply(3, w.record(urgent("base", "e1", 30)))
	s.Apply(4, w.record(urgent("big", "e1", 20)))
	s.Apply(5, w.record(urgent("north", "e2", 10)))
	phases := func() []string {
		return []string{
			s.Find(Key{"base", "v1", "e1"}).Phase.String(), s.Find(Key{"big", "v1", "e1"}).Phase.String(),
			s.Find(Key{"north", "v1", "e2"}).Phase.String(),
		}
	}
	if diff := cmp.Diff([]string{"loading", "queued", "queued"}, phases()); diff != "" {
		t.Errorf("before (-want +got):\n%s", diff)
	}
	s.Apply(6, w.record(&pb.LoadDone{Unit: "base", Version: "v1", Engine: "e1", Fence: 4}))
	if diff := cmp.Diff([]string{"ready", "queued", "loading"}, phases()); diff != "" {
		t.Errorf("after (-want +got):\n%s", diff)
	}
	if got := s.Find(Key{"north", "v1", "e2"}).Fence; got != 7 {
		t.Errorf("fence of the granted load = %d, want 7", got)
	}
}

// TestUnknownRecordsAreSkipped applies a record without a known body and an entry
// that is not a protobuf message, as a later release may write them. Later
// records must still be applied.
func TestUnknownRecordsAreSkipped(t *testing.T) {
	s, w := newTestState(t)
	if got := s.Apply(3, &pb.Record{Node: "x", Incarnation: 1, Sequence: 1}).Reason; got != Unsupported {
		t.Errorf("reason = %v, want Unsupported", got)
	}
	if got := s.ApplyEntry(4, []byte("no protobuf at all")); len(got) != 0 || s.NextOffset != 5 {
		t.Errorf("undecodable entry: outcomes %v, next offset %d; want none and 5", got, s.NextOffset)
	}
	if got := s.Apply(5, w.record(load("big", "e1", 1))).Reason; got != Accepted {
		t.Errorf("record after the undecodable entry: reason = %v, want Accepted", got)
	}
}

// TestEveryReasonHasText guards against a new Reason without an entry in
// reasonTexts or reasonNames, which operators would see as an empty string.
func TestEveryReasonHasText(t *testing.T) {
	for r := Accepted; r <= StaleIncarnation; r++ {
		if r.String() == "" || r.Name() == "" {
			t.Errorf("reason %d has no text or name", r)
		}
	}
}
