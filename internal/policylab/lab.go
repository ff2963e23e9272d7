package policylab

import (
	"container/heap"
	"fmt"
	"math"
	"sort"
	"time"

	"olivetiller/core/demand"
	"olivetiller/core/ledger"
	"olivetiller/core/plan"
	pb "olivetiller/proto/olivetiller/v1"
)

// Platform is what the lab models of the deployment.
type Platform struct {
	Engines      int
	EngineMemory uint64
	Halls        int
	// Concurrency is how many requests a replica runs at once.
	Concurrency int
	// StoreBytesPerSecond is the speed of a load from the weight store, and
	// DiskBytesPerSecond that of one from an engine's own disk.
	StoreBytesPerSecond, DiskBytesPerSecond float64
	LoadSlots                               int
	// Timeout is how long a caller waits before it is refused.
	Timeout time.Duration
	// Faults are stretches in which something is out of order.
	Faults []Fault
}

// Fault is one stretch of trouble.
type Fault struct {
	From, To time.Duration
	// SlowStore multiplies load times; 0 leaves them.
	SlowStore float64
	// LogOut stops decisions.
	LogOut bool
}

// DefaultPlatform is the size of either deployment today.
func DefaultPlatform() Platform {
	return Platform{
		Engines: 12, EngineMemory: 80 * gib, Halls: 3, Concurrency: 8,
		StoreBytesPerSecond: 2 * gib, DiskBytesPerSecond: 6 * gib, LoadSlots: 4, Timeout: 2 * time.Minute,
	}
}

// Times of the lab.
const (
	// round is the time between two planner's rounds without an event.
	round = 10 * time.Second
	// decide is the time from a proposal to its outcome.
	decide = 30 * time.Millisecond
	// unloadTime is the time an unload takes.
	unloadTime = 200 * time.Millisecond
)

var epoch = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

// lab is one run of one policy.
type lab struct {
	Platform
	work    *Workload
	planner *plan.Planner
	self    ledger.NodeRef
	state   *ledger.State
	table   *demand.Table
	engines map[string]*plan.Engine
	now     time.Duration
	offset  uint64
	seq     uint64
	events  eventHeap
	order   int
	started map[ledger.Key]uint64
	queues  map[string][]waiting
	running map[string]int
	onUnit  map[ledger.Key]int
	onE     map[string]int
	result  Result
	waits   []float64
	cold    []float64
	lastAt  time.Duration
}

// waiting is a request that has not begun.
type waiting struct {
	Arrival
	cold bool
}

// event is something due.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// Run runs a policy over a workload.
func Run(work *Workload, p Platform, pol plan.Policy) Result {
	l := &lab{
		Platform: p, work: work, self: ledger.NodeRef{Node: "home", Incarnation: 1}, state: ledger.NewState(),
		table: demand.NewTable(), engines: make(map[string]*plan.Engine), started: make(map[ledger.Key]uint64),
		queues: make(map[string][]waiting), running: make(map[string]int), onUnit: make(map[ledger.Key]int), onE: make(map[string]int),
	}
	l.planner = plan.New(l.self, pol, 0)
	// Nothing is lost on the way to the lab's planner, so nothing is renewed.
	l.table.Life = time.Duration(work.Days+1) * 24 * time.Hour
	l.setUp()
	for i := range work.Arrivals {
		a := work.Arrivals[i]
		l.at(a.At, func() { l.arrive(a) })
	}
	end := time.Duration(work.Days) * 24 * time.Hour
	for t := time.Duration(0); t < end; t += round {
		l.at(t, l.plan)
	}
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		if e.at > end {
			break
		}
		l.account(e.at)
		l.now = e.at
		e.run()
	}
	l.account(end)
	return l.summary()
}

func (l *lab) at(t time.Duration, run func()) {
	l.order++
	heap.Push(&l.events, event{at: t, order: l.order, run: run})
}

func (l *lab) time() time.Time { return epoch.Add(l.now) }

// setUp publishes the catalogue and registers the engines.
func (l *lab) setUp() {
	cfg := &pb.Config{WeightStores: []*pb.WeightStore{{Name: "s", LoadSlots: uint32(l.LoadSlots)}}}
	for _, u := range l.work.Units {
		v := []*pb.Version{{Name: "v", WeightBytes: u.Bytes}}
		if u.Base != "" {
			cfg.Adapters = append(cfg.Adapters, &pb.Adapter{Name: u.Name, BaseModel: u.Base, Versions: v, ServingVersion: "v", MaxReplicas: 1})
			continue
		}
		cfg.Models = append(cfg.Models, &pb.Model{
			Name: u.Name, Versions: v, ServingVersion: "v", MaxReplicas: 2, WeightStore: "s", ReplicaConcurrency: uint32(l.Concurrency),
		})
	}
	l.apply(&pb.Record{Body: &pb.Record_ConfigChange{ConfigChange: &pb.ConfigChange{ChangeId: "c", Upsert: cfg}}})
	for i := range l.Engines {
		name := fmt.Sprintf("engine-%02d", i)
		up := &pb.EngineUp{Engine: name, Incarnation: 1, MemoryBytes: l.EngineMemory, Hall: fmt.Sprint("hall-", i%l.Halls), ChecksFences: true}
		l.apply(&pb.Record{Body: &pb.Record_EngineUp{EngineUp: up}})
		l.engines[name] = &plan.Engine{Up: up, Listed: true, Reachable: true, OnDisk: make(map[string]bool)}
	}
}

// apply folds a record and tells the planner.
func (l *lab) apply(r *pb.Record) ledger.Outcome {
	l.seq++
	r.Node, r.Incarnation, r.Sequence = l.self.Node, l.self.Incarnation, l.seq
	r.TimeUnixMs = l.time().UnixMilli()
	o := l.state.Apply(l.offset, r)
	l.offset++
	l.planner.Observe(o, l.time())
	l.planner.Settled(o, l.time())
	return o
}

// fault returns the trouble of this moment.
func (l *lab) fault() Fault {
	for _, f := range l.Faults {
		if l.now >= f.From && l.now < f.To {
			return f
		}
	}
	return Fault{}
}

// plan draws the planner's next steps and sets them going.
func (l *lab) plan() {
	in := &plan.Input{
		Now: l.time(), Live: []string{l.self.Node}, Ledger: l.state, Demand: l.table, Engines: l.engines,
		Alive: func(ledger.NodeRef) bool { return true },
	}
	if l.fault().LogOut {
		return
	}
	for _, a := range l.planner.Plan(in) {
		if a.Propose != nil {
			l.at(l.now+decide, func() {
				l.apply(a.Propose)
				l.plan()
			})
			continue
		}
		if l.started[a.Order.Key] != a.Order.Fence {
			l.started[a.Order.Key] = a.Order.Fence
			l.carryOut(a.Order)
		}
	}
}

// carryOut models an engine that obeys an order.
func (l *lab) carryOut(o *plan.Order) {
	if o.Unload {
		l.unload(o)
		return
	}
	speed := l.StoreBytesPerSecond
	disk := l.engines[o.Engine].OnDisk
	id := o.Unit + "@" + o.Version
	if disk[id] {
		speed = l.DiskBytesPerSecond
	}
	took := float64(o.Bytes) / speed
	if f := l.fault(); f.SlowStore > 0 && !disk[id] {
		took *= f.SlowStore
	}
	l.result.Loads++
	l.result.BytesMoved += float64(o.Bytes)
	l.at(l.now+time.Duration(took*float64(time.Second)), func() {
		disk[id] = true
		l.apply(&pb.Record{Body: &pb.Record_LoadDone{LoadDone: &pb.LoadDone{
			Unit: o.Unit, Version: o.Version, Engine: o.Engine, Fence: o.Fence,
		}}})
		l.pump(o.Unit)
		l.plan()
	})
}

// unload waits for what runs and frees the memory.
func (l *lab) unload(o *plan.Order) {
	if l.onUnit[o.Key] > 0 {
		l.at(l.now+time.Second, func() { l.unload(o) })
		return
	}
	l.at(l.now+unloadTime, func() {
		l.apply(&pb.Record{Body: &pb.Record_UnloadDone{UnloadDone: &pb.UnloadDone{
			Unit: o.Unit, Version: o.Version, Engine: o.Engine, Fence: o.Fence,
		}}})
		l.plan()
	})
}

// arrive takes a request in.
func (l *lab) arrive(a Arrival) {
	l.result.Requests++
	cold := !l.anyReady(a.Unit)
	l.queues[a.Unit] = append(l.queues[a.Unit], waiting{Arrival: a, cold: cold})
	l.used(a.Unit)
	l.report(a.Unit)
	l.pump(a.Unit)
	if len(l.queues[a.Unit]) > 0 {
		l.at(a.At+l.Timeout, func() { l.expire(a) })
		l.plan()
	}
}

// used teaches the policy of a use, and of that of a base model by its adapter.
func (l *lab) used(unit string) {
	l.planner.Policy.Used(unit, l.time())
	if base := l.state.Catalog.Units[unit].Base; base != "" {
		l.planner.Policy.Used(base, l.time())
	}
}

func (l *lab) anyReady(unit string) bool {
	for _, p := range l.state.Replicas[ledger.UnitVersion{Unit: unit, Version: "v"}] {
		if p.Phase == ledger.Ready {
			return true
		}
	}
	return false
}

// expire refuses a request that waited too long.
func (l *lab) expire(a Arrival) {
	q := l.queues[a.Unit]
	for i := range q {
		if q[i].Arrival == a {
			l.queues[a.Unit] = append(q[:i:i], q[i+1:]...)
			l.result.Refused++
			l.waited(l.Timeout, true)
			l.report(a.Unit)
			return
		}
	}
}

// report tells the planner a unit's demand, as a node does.
func (l *lab) report(unit string) {
	r := demand.Report{Unit: unit, Waiting: len(l.queues[unit]), Running: l.running[unit]}
	if r.Waiting > 0 {
		r.Deadline = epoch.Add(l.queues[unit][0].At + l.Timeout)
	}
	l.table.Put(l.self.Node, r, l.time())
	if base := l.state.Catalog.Units[unit].Base; base != "" {
		l.table.Used(base, l.time())
	}
}

// pump starts waiting requests on ready replicas with room.
func (l *lab) pump(unit string) {
	for len(l.queues[unit]) > 0 {
		k, ok := l.room(unit)
		if !ok {
			break
		}
		w := l.queues[unit][0]
		l.queues[unit] = l.queues[unit][1:]
		l.begin(k, w)
	}
	l.report(unit)
}

// room returns the ready replica with the fewest requests, if one has room.
func (l *lab) room(unit string) (ledger.Key, bool) {
	var best ledger.Key
	found := false
	replicas := l.state.Replicas[ledger.UnitVersion{Unit: unit, Version: "v"}]
	names := make([]string, 0, len(replicas))
	for e := range replicas {
		names = append(names, e)
	}
	sort.Strings(names)
	for _, e := range names {
		p := replicas[e]
		if p.Phase != ledger.Ready || l.onUnit[p.Key] >= l.Concurrency {
			continue
		}
		if !found || l.onUnit[p.Key] < l.onUnit[best] {
			best, found = p.Key, true
		}
	}
	return best, found
}

func (l *lab) begin(k ledger.Key, w waiting) {
	l.waited(l.now-w.At, w.cold)
	l.running[k.Unit]++
	l.onUnit[k]++
	l.onE[k.Engine]++
	l.at(l.now+w.Serve, func() {
		l.running[k.Unit]--
		l.onUnit[k]--
		l.onE[k.Engine]--
		l.used(k.Unit)
		l.pump(k.Unit)
	})
}

func (l *lab) waited(d time.Duration, cold bool) {
	l.waits = append(l.waits, d.Seconds())
	if cold {
		l.cold = append(l.cold, d.Seconds())
	}
}

// account adds the idle time up to a moment.
func (l *lab) account(to time.Duration) {
	hours := (to - l.lastAt).Hours()
	l.lastAt = to
	if hours == 0 {
		return
	}
	// Whole numbers are summed over the map, and turned into hours once: a sum of
	// fractions would depend on the map's order in its last digits.
	idle, held := 0, uint64(0)
	for name, e := range l.state.Engines {
		if e.Used > 0 && l.onE[name] == 0 {
			idle++
			held += e.Used
		}
	}
	l.result.IdleHours += hours * float64(idle)
	l.result.IdleHoursByMemory += hours * float64(held) / float64(l.EngineMemory)
}

// summary works the figures out.
func (l *lab) summary() Result {
	r := l.result
	r.ColdStarts = len(l.cold)
	sort.Float64s(l.waits)
	sort.Float64s(l.cold)
	r.WaitP50, r.WaitP95, r.WaitP99, r.WaitP999 = quantile(l.waits, 0.5), quantile(l.waits, 0.95), quantile(l.waits, 0.99), quantile(l.waits, 0.999)
	r.ColdP50, r.ColdP95, r.ColdP99, r.ColdP999 = quantile(l.cold, 0.5), quantile(l.cold, 0.95), quantile(l.cold, 0.99), quantile(l.cold, 0.999)
	for _, c := range l.cold {
		r.ColdSeconds += c
	}
	r.LoadsPerHour = float64(r.Loads) / (float64(l.work.Days) * 24)
	return r
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(math.Floor(q*float64(len(sorted)))))]
}
