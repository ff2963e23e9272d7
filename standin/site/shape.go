package site

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	pb "olivetiller/proto/olivetiller/v1"
)

// Shape is the size and speed of a deployment's platform and endpoints.
type Shape struct {
	Name  string
	Halls []string
	// Engines of the two pools, spread evenly over the data halls.
	Engines, OtherEngines int
	// EngineMemory is the accelerator memory of each engine, in bytes.
	EngineMemory uint64
	// FencedEvery makes every n-th engine ignore fences; 0 makes all check them.
	UnfencedEvery                    int
	Concurrency                      int
	FirstToken, BetweenTokens        time.Duration
	Models, Adapters                 int
	ModelBytes, AdapterBytes         uint64
	LoadsPerSecond, StoreBytesPerSec float64
	LoadSlots                        int
	// Services are the names of the plain services; each has an instance a hall.
	Services    []string
	ServiceWork time.Duration
	// ListLag is how far the instance list lags.
	ListLag time.Duration
	// AppendsPerSecond bounds the log; Retain bounds its streams' records.
	AppendsPerSecond float64
	Retain           int
	Seed             uint64
}

// Sizes of the stand-in checkpoints. Only their ratio to the memory and the
// store's speed matters.
const (
	gib          = 1 << 30
	modelBytes   = 8 * gib
	adapterBytes = gib / 4
)

// Krautwerk is the shape of Krautwerk Herbarscan's deployment.
func Krautwerk() Shape {
	s := common()
	s.Name = "krautwerk"
	s.Halls = []string{"bayern-a", "bayern-b", "bayern-c"}
	s.Adapters = 60
	s.Services = []string{"catalogue-entry", "specimen-queue"}
	return s
}

// Suva is the shape of Suva Civic Print Works' deployment.
func Suva() Shape {
	s := common()
	s.Name = "suva"
	s.Halls = []string{"suva-a", "suva-b", "suva-c"}
	s.Adapters = 55
	s.UnfencedEvery = 4
	s.Services = []string{"print-ticket", "receipt-stub"}
	return s
}

func common() Shape {
	return Shape{
		Engines: 9, OtherEngines: 3, EngineMemory: 48 * gib, Concurrency: 8,
		FirstToken: 10 * time.Millisecond, BetweenTokens: 2 * time.Millisecond,
		Models: 50, ModelBytes: modelBytes, AdapterBytes: adapterBytes,
		LoadsPerSecond: 3, StoreBytesPerSec: 20 * gib, LoadSlots: 4,
		ServiceWork: 5 * time.Millisecond, ListLag: 500 * time.Millisecond, Seed: 1,
	}
}

// CallerToken returns the bearer token of a stand-in caller.
func CallerToken(caller string) string { return "token-of-" + caller }

// ModelName returns the name of model i.
func ModelName(i int) string { return fmt.Sprintf("model-%02d", i) }

// AdapterName returns the name of adapter i.
func AdapterName(i int) string { return fmt.Sprintf("adapter-%02d", i) }

// Callers are the names of the stand-in callers.
var Callers = []string{"curator", "museum", "clerk"}

// Config returns a configuration for the shape.
func (s Shape) Config() *pb.Config {
	const store = "weights"
	cfg := &pb.Config{
		WeightStores: []*pb.WeightStore{{Name: store, LoadSlots: uint32(s.LoadSlots)}},
		Weights:      &pb.MeasureWeights{ColdStartSecond: 1, IdleHour: 100},
		Objectives: []*pb.Objective{
			{Name: "coldStart", ThresholdMs: 20000, Target: 0.99},
			{Name: "firstToken", ThresholdMs: 320, Target: 0.95},
			{Name: "betweenTokens", ThresholdMs: 67, Target: 0.95},
			{Name: "refusals", Target: 0.99},
			{Name: "configSpread", ThresholdMs: 10000, Target: 0.999},
		},
	}
	for i := range s.Models {
		cfg.Models = append(cfg.Models, &pb.Model{
			Name: ModelName(i), Versions: []*pb.Version{{Name: "v1", WeightBytes: s.ModelBytes}}, ServingVersion: "v1",
			MaxReplicas: 2, WeightStore: store, ReplicaConcurrency: uint32(s.Concurrency),
		})
	}
	for i := range s.Adapters {
		cfg.Adapters = append(cfg.Adapters, &pb.Adapter{
			Name: AdapterName(i), BaseModel: ModelName(i % s.Models),
			Versions: []*pb.Version{{Name: "v1", WeightBytes: s.AdapterBytes}}, ServingVersion: "v1", MaxReplicas: 1,
		})
	}
	for i, name := range s.Services {
		cfg.Services = append(cfg.Services, &pb.Service{Name: name, Concurrency: 32, OnceOnly: i == 0})
	}
	for _, name := range Callers {
		sum := sha256.Sum256([]byte(CallerToken(name)))
		cfg.Callers = append(cfg.Callers, &pb.Caller{Name: name, TokenSha256: hex.EncodeToString(sum[:]), Concurrency: 20000})
	}
	return cfg
}
