package bench

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"olivetiller/core/demand"
	"olivetiller/core/ledger"
	"olivetiller/core/plan"
	"olivetiller/core/policy"
	"olivetiller/core/rendezvous"
	"olivetiller/core/view"
	pb "olivetiller/proto/olivetiller/v1"
)

// scales are the fractions of the target size at which the code is measured.
var scales = []float64{0.125, 0.25, 0.5, 1}

// codeAlone is the setting of slopes measured without nodes, as in Slope.How.
const codeAlone = "the code alone, one goroutine, median of runs"

// Slopes measures how the cost of the main operations grows with the size of the deployment: on the
// code alone and, if FleetSizes is set, on idle fleets of real nodes.
type Slopes struct {
	// FleetSizes are the numbers of in-process nodes to measure; empty for none.
	FleetSizes []int
	// Settle is how long each fleet settles before it is measured, and how long it is measured.
	Settle  time.Duration
	Verbose bool
}

// SlopesResult holds all slopes measured.
type SlopesResult struct {
	Slopes []*Slope `json:"slopes"`
}

// Run measures all slopes.
func (s Slopes) Run(ctx context.Context) (*SlopesResult, error) {
	r := &SlopesResult{}
	for _, measure := range []func() *Slope{
		applyCost, recordBytes, viewCost, viewChangeCost, planCost, idlePlanCost, snapshotCost, snapshotBytes, stateMemory,
		claimMemory, publishCost, homeNodeCost, learnerCost, restoreCost,
	} {
		sl := measure()
		sl.fit()
		r.Slopes = append(r.Slopes, sl)
		runtime.GC()
	}
	if len(s.FleetSizes) > 0 {
		fleetSlopes, err := s.fleetSlopes(ctx)
		if err != nil {
			return nil, err
		}
		r.Slopes = append(r.Slopes, fleetSlopes...)
	}
	return r, nil
}

// medianTime returns the median time of the given number of calls of f.
func medianTime(runs int, f func(i int)) time.Duration {
	samples := make([]time.Duration, 0, runs)
	for i := range runs {
		begin := time.Now()
		f(i)
		samples = append(samples, time.Since(begin))
	}
	return time.Duration(latencyOf(samples).P50 * float64(time.Millisecond))
}

// meanTime returns the mean time of n calls of f.
func meanTime(n int, f func(i int)) time.Duration {
	begin := time.Now()
	for i := range n {
		f(i)
	}
	return time.Since(begin) / time.Duration(n)
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

// measureScales adds a point for each of scales, at which all models are loaded.
func measureScales(s *Slope, y func(*synthetic) float64, x func(*synthetic) float64) *Slope {
	for _, share := range scales {
		syn := newSynthetic(share)
		for i := range syn.models {
			syn.load(i)
		}
		s.Points = append(s.Points, Point{X: x(syn), Y: y(syn)})
	}
	return s
}

func byModels(s *synthetic) float64  { return float64(s.models) }
func byEngines(s *synthetic) float64 { return float64(s.engines) }

func applyCost() *Slope {
	s := &Slope{Name: "foldRecord", XUnit: "engines", YUnit: "microseconds a record (load, done, unload, done)", How: codeAlone}
	return measureScales(s, func(syn *synthetic) float64 {
		const n = 4000
		return micros(meanTime(n, func(i int) {
			syn.unload(i)
			syn.load(i)
		})) / 4
	}, byEngines)
}

func recordBytes() *Slope {
	s := &Slope{Name: "batchBytes", XUnit: "claims in a batch", YUnit: "bytes", How: "encoded batches"}
	for _, n := range []int{1, 10, 100, 500} {
		b := &pb.Batch{}
		for i := range n {
			b.Records = append(b.Records, &pb.Record{
				Node: "node-001", Incarnation: 1764000000000000000, Sequence: uint64(1000 + i), TimeUnixMs: 1764000000000,
				Body: &pb.Record_Claim{Claim: &pb.Claim{Id: make([]byte, 32), KeyTimeUnixMs: 1764000000000}},
			})
		}
		s.Points = append(s.Points, Point{X: float64(n), Y: float64(proto.Size(b))})
	}
	return s
}

func viewCost() *Slope {
	s := &Slope{Name: "buildViewWhole", XUnit: "loaded models", YUnit: "microseconds a view", How: codeAlone}
	return measureScales(s, func(syn *synthetic) float64 {
		in := &view.Input{Ledger: syn.state, Engines: syn.observedEngines(), Ready: true}
		return micros(medianTime(31, func(int) { view.NewBuilder().Build(in) }))
	}, byModels)
}

func viewChangeCost() *Slope {
	s := &Slope{Name: "buildViewChange", XUnit: "loaded models", YUnit: "microseconds a view in which one unit changed", How: codeAlone}
	return measureScales(s, func(syn *synthetic) float64 {
		in := &view.Input{Ledger: syn.state, Engines: syn.observedEngines(), Ready: true}
		b := view.NewBuilder()
		b.Build(in)
		return micros(medianTime(101, func(i int) {
			b.Touch(unitName(i % syn.models))
			b.Build(in)
		}))
	}, byModels)
}

// observedEngines returns the observed state of every engine, all of them reachable.
func (s *synthetic) observedEngines() map[string]*plan.Engine {
	out := make(map[string]*plan.Engine, s.engines)
	for name, e := range s.state.Engines {
		out[name] = &plan.Engine{Up: &pb.EngineUp{Engine: name, Incarnation: e.Incarnation}, Listed: true, Reachable: true}
	}
	return out
}

// liveNodes returns the names of as many nodes as the target size has.
func liveNodes() []string {
	out := make([]string, targetNodes)
	for i := range out {
		out[i] = fmt.Sprintf("node-%03d", i)
	}
	return out
}

// planRound measures a planning round at one of the 420 nodes of the target size, in microseconds,
// with demand for the given number of units.
func planRound(syn *synthetic, waiting int) float64 {
	p := plan.New(ledger.NodeRef{Node: "node-007", Incarnation: 1}, policy.NewCosted(policy.DefaultWeights), 0)
	table := demand.NewTable()
	now := time.Unix(1764000000, 0)
	in := &plan.Input{
		Live: liveNodes(), Ledger: syn.state, Demand: table, Engines: syn.observedEngines(),
		Alive: func(ledger.NodeRef) bool { return true },
	}
	for i := range waiting {
		// The units have a replica. The node plans only for those of them that it is the home node
		// of.
		table.Put("node-001", demand.Report{Unit: unitName(i), Waiting: 1, Deadline: now.Add(time.Minute)}, now)
	}
	in.Now = now
	p.Plan(in)
	return micros(medianTime(15, func(i int) {
		in.Now = now.Add(time.Duration(i+1) * time.Second)
		p.Plan(in)
	}))
}

func planCost() *Slope {
	s := &Slope{Name: "planRoundBusy", XUnit: "units with demand", YUnit: "microseconds a round, with the scan of all that is loaded", How: codeAlone}
	syn := newSynthetic(1)
	for i := range syn.models {
		syn.load(i)
	}
	for _, n := range []int{5, 20, 80, 320} {
		s.Points = append(s.Points, Point{X: float64(n), Y: planRound(syn, n)})
	}
	return s
}

func idlePlanCost() *Slope {
	s := &Slope{Name: "planRoundQuiet", XUnit: "engines", YUnit: "microseconds a round, with the scan of all that is loaded", How: codeAlone}
	return measureScales(s, func(syn *synthetic) float64 { return planRound(syn, 0) }, byEngines)
}

func snapshotCost() *Slope {
	s := &Slope{Name: "encodeSnapshot", XUnit: "engines", YUnit: "milliseconds a snapshot with its hash", How: codeAlone}
	return measureScales(s, func(syn *synthetic) float64 {
		return millis(medianTime(5, func(int) { _, _, _ = ledger.Encode(syn.state.Snapshot()) }))
	}, byEngines)
}

func snapshotBytes() *Slope {
	s := &Slope{Name: "snapshotBytes", XUnit: "engines", YUnit: "bytes", How: "encoded snapshots, models and adapters in the letter's proportion"}
	return measureScales(s, func(syn *synthetic) float64 {
		data, _, err := ledger.Encode(syn.state.Snapshot())
		if err != nil {
			return 0
		}
		return float64(len(data))
	}, byEngines)
}

// heapInUse returns the bytes of heap in use after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func stateMemory() *Slope {
	s := &Slope{Name: "ledgerHeap", XUnit: "engines", YUnit: "bytes of heap", How: "the heap before and after, models and adapters in the letter's proportion"}
	for _, share := range scales {
		before := heapInUse()
		syn := newSynthetic(share)
		for i := range syn.models {
			syn.load(i)
		}
		s.Points = append(s.Points, Point{X: float64(syn.engines), Y: heapInUse() - before})
		runtime.KeepAlive(syn)
	}
	return s
}

func claimMemory() *Slope {
	s := &Slope{Name: "claimHeap", XUnit: "claims held", YUnit: "bytes of heap", How: "the heap before and after"}
	for _, n := range []int{10000, 40000, 80000, 160000} {
		before := heapInUse()
		syn := &synthetic{state: ledger.NewState()}
		for i := range n {
			syn.claim(i)
		}
		s.Points = append(s.Points, Point{X: float64(n), Y: heapInUse() - before})
		runtime.KeepAlive(syn)
	}
	return s
}

func publishCost() *Slope {
	s := &Slope{Name: "foldPublish", XUnit: "models and adapters", YUnit: "milliseconds a publish of one changed model", How: codeAlone}
	return measureScales(s, func(syn *synthetic) float64 {
		return millis(medianTime(9, func(i int) {
			m := proto.Clone(syn.state.Catalog.Config.GetModels()[0]).(*pb.Model)
			m.MaxReplicas = uint32(i + 1)
			syn.apply(&pb.Record{Body: &pb.Record_ConfigChange{ConfigChange: &pb.ConfigChange{
				ChangeId: fmt.Sprint("c", i), BaseRevision: syn.state.Revision, Upsert: &pb.Config{Models: []*pb.Model{m}},
			}}})
		}))
	}, func(syn *synthetic) float64 { return float64(syn.models + syn.adapters) })
}

func homeNodeCost() *Slope {
	s := &Slope{Name: "home", XUnit: "nodes", YUnit: "microseconds a home", How: codeAlone}
	all := liveNodes()
	for _, n := range []int{7, 70, 210, 420} {
		s.Points = append(s.Points, Point{X: float64(n), Y: micros(meanTime(2000, func(i int) {
			rendezvous.Home(unitName(i), all[:n])
		}))})
	}
	return s
}

func learnerCost() *Slope {
	s := &Slope{Name: "learnerHeap", XUnit: "units with a history", YUnit: "bytes of heap", How: "the heap before and after"}
	for _, n := range []int{500, 1000, 4000, 11300} {
		before := heapInUse()
		l := policy.NewLearner()
		for i := range n {
			l.Used(unitName(i), time.Unix(int64(i), 0))
			l.Used(unitName(i), time.Unix(int64(i)+100, 0))
		}
		s.Points = append(s.Points, Point{X: float64(n), Y: heapInUse() - before})
		runtime.KeepAlive(l)
	}
	return s
}

func restoreCost() *Slope {
	s := &Slope{Name: "restoreSnapshot", XUnit: "engines", YUnit: "milliseconds to decode, check and index", How: codeAlone}
	return measureScales(s, func(syn *synthetic) float64 {
		data, hash, err := ledger.Encode(syn.state.Snapshot())
		if err != nil {
			return 0
		}
		return millis(medianTime(5, func(int) { _, _ = ledger.Decode(data, hash[:]) }))
	}, byEngines)
}
