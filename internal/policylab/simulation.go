package policylab

import (
	"fmt"
	"math"
	"sort"
	"time"

	"olivetiller/core/demand"
	"olivetiller/core/ledger"
	"olivetiller/core/plan"
	"olivetiller/internal/eventqueue"
	pb "olivetiller/proto/olivetiller/v1"
)

// Platform describes the simulated deployment.
type Platform struct {
	Engines int
	// EngineMemory is the accelerator memory of each engine, in bytes.
	EngineMemory uint64
	// Halls is the number of data halls over which the engines are spread.
	Halls int
	// Concurrency is how many requests a replica runs at once.
	Concurrency int
	// StoreBytesPerSecond is the speed of a load from the weight store, and DiskBytesPerSecond that
	// of a load from the engine's own disk.
	StoreBytesPerSecond, DiskBytesPerSecond float64
	// LoadSlots is how many loads the weight store serves at once.
	LoadSlots int
	// Timeout is how long a request waits for a replica before it is refused.
	Timeout time.Duration
	// Faults are the periods in which the log or the weight store is impaired; where they overlap,
	// the first one applies.
	Faults []Fault
}

// Fault is one period of impairment; From and To are times from the start of the run.
type Fault struct {
	From, To time.Duration
	// SlowStore multiplies the time of loads from the weight store; 0 leaves it unchanged.
	SlowStore float64
	// LogOutage stops all planning, as when the log is unavailable.
	LogOutage bool
}

// DefaultPlatform returns the platform that both workloads run on, without faults.
func DefaultPlatform() Platform {
	return Platform{
		Engines: 12, EngineMemory: 80 * gib, Halls: 3, Concurrency: 8,
		StoreBytesPerSecond: 2 * gib, DiskBytesPerSecond: 6 * gib, LoadSlots: 4, Timeout: 2 * time.Minute,
	}
}

// Times used by the simulation.
const (
	// planInterval is the time between two planning rounds that no event triggers.
	planInterval = 10 * time.Second
	// commitDelay is the time from the proposal of a record to its outcome.
	commitDelay = 30 * time.Millisecond
	// unloadTime is the time an unload takes.
	unloadTime = 200 * time.Millisecond
)

// epoch is the start of each run.
var epoch = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

// simulation is the run of one policy.
type simulation struct {
	Platform
	eventqueue.Queue
	work    *Workload
	planner *plan.Planner
	self    ledger.NodeRef
	state   *ledger.State
	table   *demand.Table
	engines map[string]*plan.Engine
	// offset is that of the next record, and recordSeq the sequence number of the last one.
	offset    uint64
	recordSeq uint64
	// executedFence is the fence of the last order executed for each replica.
	executedFence    map[ledger.Key]uint64
	queues           map[string][]queuedRequest
	runningByUnit    map[string]int
	runningByReplica map[ledger.Key]int
	runningByEngine  map[string]int
	result           Result
	// waits and coldWaits are the waits of all requests and of the cold starts, in seconds.
	waits     []float64
	coldWaits []float64
	// accountedTo is the time up to which idle time has been added.
	accountedTo time.Duration
}

// queuedRequest is a request that has not started; cold is set if it found no replica ready on
// arrival.
type queuedRequest struct {
	Arrival
	cold bool
}

// Run simulates a policy on a workload and returns its figures.
func Run(work *Workload, p Platform, pol plan.Policy) Result {
	s := &simulation{
		Platform: p, work: work, self: ledger.NodeRef{Node: "home", Incarnation: 1}, state: ledger.NewState(),
		table: demand.NewTable(), engines: make(map[string]*plan.Engine), executedFence: make(map[ledger.Key]uint64),
		queues: make(map[string][]queuedRequest), runningByUnit: make(map[string]int), runningByReplica: make(map[ledger.Key]int), runningByEngine: make(map[string]int),
	}
	s.planner = plan.New(s.self, pol, 0)
	// Demand reports are never lost here and so never renewed; they must not expire during the run.
	s.table.ReportTTL = time.Duration(work.Days+1) * 24 * time.Hour
	s.setUp()
	for i := range work.Arrivals {
		a := work.Arrivals[i]
		s.At(a.At, func() { s.arrive(a) })
	}
	end := time.Duration(work.Days) * 24 * time.Hour
	for t := time.Duration(0); t < end; t += planInterval {
		s.At(t, s.plan)
	}
	for run, ok := s.Next(end); ok; run, ok = s.Next(end) {
		s.addIdleTime(s.Now)
		run()
	}
	s.addIdleTime(end)
	return s.summary()
}

func (s *simulation) time() time.Time { return epoch.Add(s.Now) }

// setUp publishes the catalogue and registers the engines.
func (s *simulation) setUp() {
	cfg := &pb.Config{WeightStores: []*pb.WeightStore{{Name: "s", LoadSlots: uint32(s.LoadSlots)}}}
	for _, u := range s.work.Units {
		v := []*pb.Version{{Name: "v", WeightBytes: u.Bytes}}
		if u.Base != "" {
			cfg.Adapters = append(cfg.Adapters, &pb.Adapter{Name: u.Name, BaseModel: u.Base, Versions: v, ServingVersion: "v", MaxReplicas: 1})
			continue
		}
		cfg.Models = append(cfg.Models, &pb.Model{
			Name: u.Name, Versions: v, ServingVersion: "v", MaxReplicas: 2, WeightStore: "s", ReplicaConcurrency: uint32(s.Concurrency),
		})
	}
	s.apply(&pb.Record{Body: &pb.Record_ConfigChange{ConfigChange: &pb.ConfigChange{ChangeId: "c", Upsert: cfg}}})
	for i := range s.Engines {
		name := fmt.Sprintf("engine-%02d", i)
		up := &pb.EngineUp{Engine: name, Incarnation: 1, MemoryBytes: s.EngineMemory, Hall: fmt.Sprint("hall-", i%s.Halls), ChecksFences: true}
		s.apply(&pb.Record{Body: &pb.Record_EngineUp{EngineUp: up}})
		s.engines[name] = &plan.Engine{Up: up, Listed: true, Reachable: true, OnDisk: make(map[string]bool)}
	}
}

// apply applies a record to the ledger and passes the outcome to the planner.
func (s *simulation) apply(r *pb.Record) ledger.Outcome {
	s.recordSeq++
	r.Node, r.Incarnation, r.Sequence = s.self.Node, s.self.Incarnation, s.recordSeq
	r.TimeUnixMs = s.time().UnixMilli()
	o := s.state.Apply(s.offset, r)
	s.offset++
	s.planner.Observe(o, s.time())
	s.planner.ResolveProposal(o, s.time())
	return o
}

// fault returns the fault in effect at the present time, or the zero Fault.
func (s *simulation) fault() Fault {
	for _, f := range s.Faults {
		if s.Now >= f.From && s.Now < f.To {
			return f
		}
	}
	return Fault{}
}

// plan runs a planning round and schedules its actions: a proposal takes effect after commitDelay,
// and an order is executed once per fence.
func (s *simulation) plan() {
	in := &plan.Input{
		Now: s.time(), Live: []string{s.self.Node}, Ledger: s.state, Demand: s.table, Engines: s.engines,
		Alive: func(ledger.NodeRef) bool { return true },
	}
	if s.fault().LogOutage {
		return
	}
	for _, a := range s.planner.Plan(in) {
		if a.Propose != nil {
			s.After(commitDelay, func() {
				s.apply(a.Propose)
				s.plan()
			})
			continue
		}
		if s.executedFence[a.Order.Key] != a.Order.Fence {
			s.executedFence[a.Order.Key] = a.Order.Fence
			s.execute(a.Order)
		}
	}
}

// execute simulates an engine that executes an order: a load takes the size of the weights over the
// speed of the store or disk.
func (s *simulation) execute(o *plan.Order) {
	if o.Unload {
		s.unload(o)
		return
	}
	speed := s.StoreBytesPerSecond
	disk := s.engines[o.Engine].OnDisk
	id := o.Unit + "@" + o.Version
	if disk[id] {
		speed = s.DiskBytesPerSecond
	}
	took := float64(o.Bytes) / speed
	if f := s.fault(); f.SlowStore > 0 && !disk[id] {
		took *= f.SlowStore
	}
	s.result.Loads++
	s.result.BytesMoved += float64(o.Bytes)
	s.After(time.Duration(took*float64(time.Second)), func() {
		disk[id] = true
		s.apply(&pb.Record{Body: &pb.Record_LoadDone{LoadDone: &pb.LoadDone{
			Unit: o.Unit, Version: o.Version, Engine: o.Engine, Fence: o.Fence,
		}}})
		s.startQueued(o.Unit)
		s.plan()
	})
}

// unload waits until the replica runs no request and then frees its memory.
func (s *simulation) unload(o *plan.Order) {
	if s.runningByReplica[o.Key] > 0 {
		s.After(time.Second, func() { s.unload(o) })
		return
	}
	s.After(unloadTime, func() {
		s.apply(&pb.Record{Body: &pb.Record_UnloadDone{UnloadDone: &pb.UnloadDone{
			Unit: o.Unit, Version: o.Version, Engine: o.Engine, Fence: o.Fence,
		}}})
		s.plan()
	})
}

// arrive queues a request and starts it if a replica has a free slot; otherwise it schedules the
// timeout and a planning round.
func (s *simulation) arrive(a Arrival) {
	s.result.Requests++
	cold := !s.anyReady(a.Unit)
	s.queues[a.Unit] = append(s.queues[a.Unit], queuedRequest{Arrival: a, cold: cold})
	s.recordUse(a.Unit)
	s.report(a.Unit)
	s.startQueued(a.Unit)
	if len(s.queues[a.Unit]) > 0 {
		s.At(a.At+s.Timeout, func() { s.expire(a) })
		s.plan()
	}
}

// recordUse reports a use to the policy, and for an adapter also a use of its base model.
func (s *simulation) recordUse(unit string) {
	s.planner.Policy.Used(unit, s.time())
	if base := s.state.Catalog.Units[unit].Base; base != "" {
		s.planner.Policy.Used(base, s.time())
	}
}

// anyReady reports whether a unit has a ready replica.
func (s *simulation) anyReady(unit string) bool {
	for _, p := range s.state.Replicas[ledger.UnitVersion{Unit: unit, Version: "v"}] {
		if p.Phase == ledger.Ready {
			return true
		}
	}
	return false
}

// expire refuses a request that is still queued after the timeout.
func (s *simulation) expire(a Arrival) {
	q := s.queues[a.Unit]
	for i := range q {
		if q[i].Arrival == a {
			s.queues[a.Unit] = append(q[:i:i], q[i+1:]...)
			s.result.Refused++
			s.recordWait(s.Timeout, true)
			s.report(a.Unit)
			return
		}
	}
}

// report passes the demand of a unit to the planner, as a node does with a demand report.
func (s *simulation) report(unit string) {
	r := demand.Report{Unit: unit, Waiting: len(s.queues[unit]), Running: s.runningByUnit[unit]}
	if r.Waiting > 0 {
		r.Deadline = epoch.Add(s.queues[unit][0].At + s.Timeout)
	}
	s.table.Put(s.self.Node, r, s.time())
	if base := s.state.Catalog.Units[unit].Base; base != "" {
		s.table.MarkUsed(base, s.time())
	}
}

// startQueued starts queued requests of a unit on ready replicas with a free slot.
func (s *simulation) startQueued(unit string) {
	for len(s.queues[unit]) > 0 {
		k, ok := s.freeReplica(unit)
		if !ok {
			break
		}
		w := s.queues[unit][0]
		s.queues[unit] = s.queues[unit][1:]
		s.start(k, w)
	}
	s.report(unit)
}

// freeReplica returns the ready replica with the fewest running requests, and whether any has a
// free slot.
func (s *simulation) freeReplica(unit string) (ledger.Key, bool) {
	var best ledger.Key
	found := false
	replicas := s.state.Replicas[ledger.UnitVersion{Unit: unit, Version: "v"}]
	names := make([]string, 0, len(replicas))
	for e := range replicas {
		names = append(names, e)
	}
	sort.Strings(names)
	for _, e := range names {
		p := replicas[e]
		if p.Phase != ledger.Ready || s.runningByReplica[p.Key] >= s.Concurrency {
			continue
		}
		if !found || s.runningByReplica[p.Key] < s.runningByReplica[best] {
			best, found = p.Key, true
		}
	}
	return best, found
}

// start runs a queued request on a replica.
func (s *simulation) start(k ledger.Key, w queuedRequest) {
	s.recordWait(s.Now-w.At, w.cold)
	s.runningByUnit[k.Unit]++
	s.runningByReplica[k]++
	s.runningByEngine[k.Engine]++
	s.After(w.Serve, func() {
		s.runningByUnit[k.Unit]--
		s.runningByReplica[k]--
		s.runningByEngine[k.Engine]--
		s.recordUse(k.Unit)
		s.startQueued(k.Unit)
	})
}

// recordWait adds a wait to the figures; cold marks a cold start.
func (s *simulation) recordWait(d time.Duration, cold bool) {
	s.waits = append(s.waits, d.Seconds())
	if cold {
		s.coldWaits = append(s.coldWaits, d.Seconds())
	}
}

// addIdleTime adds the idle accelerator time from the last call up to the given time.
func (s *simulation) addIdleTime(to time.Duration) {
	hours := (to - s.accountedTo).Hours()
	s.accountedTo = to
	if hours == 0 {
		return
	}
	// Integers are summed over the map and converted to hours once: the last digits of a
	// floating-point sum would depend on the iteration order of the map.
	idle, usedBytes := 0, uint64(0)
	for name, e := range s.state.Engines {
		if e.Used > 0 && s.runningByEngine[name] == 0 {
			idle++
			usedBytes += e.Used
		}
	}
	s.result.IdleHours += hours * float64(idle)
	s.result.IdleHoursByMemory += hours * float64(usedBytes) / float64(s.EngineMemory)
}

// summary returns the result with its quantiles and totals.
func (s *simulation) summary() Result {
	r := s.result
	r.ColdStarts = len(s.coldWaits)
	sort.Float64s(s.waits)
	sort.Float64s(s.coldWaits)
	r.WaitP50, r.WaitP95, r.WaitP99, r.WaitP999 = quantile(s.waits, 0.5), quantile(s.waits, 0.95), quantile(s.waits, 0.99), quantile(s.waits, 0.999)
	r.ColdP50, r.ColdP95, r.ColdP99, r.ColdP999 = quantile(s.coldWaits, 0.5), quantile(s.coldWaits, 0.95), quantile(s.coldWaits, 0.99), quantile(s.coldWaits, 0.999)
	for _, c := range s.coldWaits {
		r.ColdSeconds += c
	}
	r.LoadsPerHour = float64(r.Loads) / (float64(s.work.Days) * 24)
	return r
}

// quantile returns the q-quantile of sorted values, 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(math.Floor(q*float64(len(sorted)))))]
}
