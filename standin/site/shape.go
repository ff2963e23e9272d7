package site

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	pb "olivetiller/proto/olivetiller/v1"
)

// Shape describes the size and speed of a deployment's stand-ins.
type Shape struct {
	Name  string
	Halls []string
	// Engines and OtherEngines are the numbers of engines in the two pools. All engines are spread
	// evenly over the data halls.
	Engines, OtherEngines int
	// EngineMemory is the accelerator memory of each engine, in bytes.
	EngineMemory uint64
	// UnfencedEvery makes every n-th engine ignore fencing numbers; with 0 all engines check them.
	UnfencedEvery int
	// Concurrency is how many requests each engine runs at once.
	Concurrency int
	// FirstToken is an engine's time to the first token, and BetweenTokens that between two tokens.
	FirstToken, BetweenTokens time.Duration
	// Models and Adapters are the numbers of models and adapters, and ModelBytes and AdapterBytes
	// the size of each checkpoint.
	Models, Adapters         int
	ModelBytes, AdapterBytes uint64
	// LoadsPerSecond limits how many loads the weight store starts, and LoadSlots how many it runs
	// at once, each at StoreBytesPerSec.
	LoadsPerSecond, StoreBytesPerSec float64
	LoadSlots                        int
	// Services are the names of the plain services; each has one instance in each data hall.
	Services []string
	// ServiceWork is how long a request to a plain service takes.
	ServiceWork time.Duration
	// ListLag is the delay after which the instance list shows a change.
	ListLag time.Duration
	// AppendsPerSecond limits the appends to the log, and Retain the number of records of each
	// stream; 0 means no limit.
	AppendsPerSecond float64
	Retain           int
	// Seed determines the random draws of all stand-ins.
	Seed uint64
}

// Sizes of the stand-in checkpoints, in bytes. Only their ratio to the engines' memory and to the
// store's speed matters.
const (
	gib          = 1 << 30
	modelBytes   = 8 * gib
	adapterBytes = gib / 4
)

// Krautwerk returns the shape of Krautwerk Herbarscan's deployment.
func Krautwerk() Shape {
	s := common()
	s.Name = "krautwerk"
	s.Halls = []string{"bayern-a", "bayern-b", "bayern-c"}
	s.Adapters = 60
	s.Services = []string{"catalogue-entry", "specimen-queue"}
	return s
}

// Suva returns the shape of Suva Civic Print Works' deployment, in which some engines ignore
// fencing numbers.
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

// CallerToken returns the bearer token of a caller of Callers.
func CallerToken(caller string) string { return "token-of-" + caller }

// ModelName returns the name of model i.
func ModelName(i int) string { return fmt.Sprintf("model-%02d", i) }

// AdapterName returns the name of adapter i.
func AdapterName(i int) string { return fmt.Sprintf("adapter-%02d", i) }

// Callers are the names of the callers in the configuration.
var Callers = []string{"curator", "museum", "clerk"}

// Config returns a configuration of the platform for the shape: its models, adapters, services and
// callers.
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
