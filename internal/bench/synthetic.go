package bench

import (
	"fmt"

	"olivetiller/core/ledger"
	pb "olivetiller/proto/olivetiller/v1"
)

// The target size that the system is designed for.
const (
	targetNodes    = 420
	targetEngines  = 12000
	targetModels   = 1800
	targetAdapters = 9500
	targetHalls    = 15
)

// synthetic is a ledger at a fraction of the target size.
type synthetic struct {
	models, adapters, engines int
	state                     *ledger.State
	nextOffset                uint64
	sequence                  uint64
}

// newSynthetic applies the configuration and the registrations of the engines; no model is loaded
// yet. Share 1 is the target size.
func newSynthetic(share float64) *synthetic {
	s := &synthetic{
		models: int(targetModels * share), adapters: int(targetAdapters * share), engines: int(targetEngines * share),
		state: ledger.NewState(),
	}
	s.apply(&pb.Record{Body: &pb.Record_ConfigChange{ConfigChange: &pb.ConfigChange{ChangeId: "a", Upsert: s.config()}}})
	for i := range s.engines {
		s.apply(&pb.Record{Body: &pb.Record_EngineUp{EngineUp: &pb.EngineUp{
			Engine: engineName(i), Incarnation: 1, Address: "10.0.0.1:8000", Hall: fmt.Sprint("hall-", i%targetHalls),
			MemoryBytes: 80 << 30, ChecksFences: true,
		}}})
	}
	return s
}

func engineName(i int) string { return fmt.Sprintf("engine-%05d", i) }

func unitName(i int) string { return fmt.Sprintf("model-%05d", i) }

// config returns the configuration with all models and adapters.
func (s *synthetic) config() *pb.Config {
	cfg := &pb.Config{WeightStores: []*pb.WeightStore{{Name: "store", LoadSlots: 1 << 20}}}
	v := []*pb.Version{{Name: "v1", WeightBytes: 8 << 30}}
	for i := range s.models {
		cfg.Models = append(cfg.Models, &pb.Model{
			Name: unitName(i), Versions: v, ServingVersion: "v1", MaxReplicas: 8, WeightStore: "store", ReplicaConcurrency: 16,
		})
	}
	for i := range s.adapters {
		cfg.Adapters = append(cfg.Adapters, &pb.Adapter{
			Name: fmt.Sprintf("adapter-%05d", i), BaseModel: unitName(i % max(1, s.models)),
			Versions: []*pb.Version{{Name: "v1", WeightBytes: 1 << 28}}, ServingVersion: "v1", MaxReplicas: 4,
		})
	}
	return cfg
}

// apply applies a record and returns its outcome.
func (s *synthetic) apply(r *pb.Record) ledger.Outcome {
	s.sequence++
	r.Node, r.Incarnation, r.Sequence = "n", 1, s.sequence
	o := s.state.Apply(s.nextOffset, r)
	s.nextOffset++
	s.state.NextOffset = s.nextOffset
	return o
}

// load loads model i on an engine and confirms the load.
func (s *synthetic) load(i int) {
	u, e := unitName(i%s.models), engineName(i%s.engines)
	o := s.apply(&pb.Record{Body: &pb.Record_Load{Load: &pb.Load{Unit: u, Version: "v1", Engine: e, EngineIncarnation: 1, Want: 8}}})
	if o.OK() {
		s.apply(&pb.Record{Body: &pb.Record_LoadDone{LoadDone: &pb.LoadDone{Unit: u, Version: "v1", Engine: e, Fence: o.Fence}}})
	}
}

// unload unloads model i and confirms the unload.
func (s *synthetic) unload(i int) {
	k := ledger.Key{Unit: unitName(i % s.models), Version: "v1", Engine: engineName(i % s.engines)}
	p := s.state.Find(k)
	if p == nil {
		return
	}
	o := s.apply(&pb.Record{Body: &pb.Record_Unload{Unload: &pb.Unload{Unit: k.Unit, Version: k.Version, Engine: k.Engine, Fence: p.Fence}}})
	s.apply(&pb.Record{Body: &pb.Record_UnloadDone{UnloadDone: &pb.UnloadDone{Unit: k.Unit, Version: k.Version, Engine: k.Engine, Fence: o.Fence}}})
}

// claim appends a claim of key i.
func (s *synthetic) claim(i int) ledger.Outcome {
	id := make([]byte, len(ledger.ClaimID{}))
	id[0], id[1], id[2], id[3] = byte(i), byte(i>>8), byte(i>>16), byte(i>>24)
	return s.apply(&pb.Record{Body: &pb.Record_Claim{Claim: &pb.Claim{Id: id, KeyTimeUnixMs: 1}}})
}
