package modelcheck

import (
	"fmt"
	"strings"

	"olivetiller/core/ledger"
	"olivetiller/internal/explore"
	pb "olivetiller/proto/olivetiller/v1"
)

// PlacementGuards selects the guards of the placement protocol that the model runs without, and the
// kind of its engine.
type PlacementGuards struct {
	// DisabledGuards are the guards of the ledger that are switched off.
	DisabledGuards ledger.Guard
	// NoLease lets an executor send an order after its lease has expired.
	NoLease bool
	// HideRetry reports an order as confirmed although an earlier attempt got no answer and may
	// still arrive.
	HideRetry bool
	// AnyNodeCleanup lets every node send the final unload of a quarantine, not only the executor
	// that took it over.
	AnyNodeCleanup bool
	// NoCleanup ends a quarantine without a final unload at the engine.
	NoCleanup bool
	// ChecksFences makes the engine reject orders with a fence lower than the highest that it has
	// seen.
	ChecksFences bool
	Bounds
}

// Bounds keeps the model finite: it limits how often each kind of step may happen in one history.
type Bounds struct {
	// Units are the units (models or adapters), one letter each.
	Units                                        string
	Loads, Takeovers, Unloads, Retries, Cleanups int
}

// Names and sizes used by the placement model.
const (
	modelEngine  = "e"
	modelVersion = "v"
	// inFlightPerNode is how many orders of one node can be in flight at once.
	inFlightPerNode = 2
)

// order is a load or unload order to the engine, pending at a node or in flight.
type order struct {
	unit   byte
	fence  uint64
	unload bool
	// cleanup marks the unload at the end of a quarantine.
	cleanup bool
	// unconfirmed marks a second attempt, sent because the first got no answer.
	unconfirmed bool
}

// executor is one node, which proposes records and sends orders to the engine.
type executor struct {
	// applied is the number of log records that the node has applied.
	applied int
	// pending is the order that the node is about to send; it is valid only if hasPending is set.
	pending    order
	hasPending bool
	// leaseExpired is set when the lease under which the pending order may be sent has expired.
	leaseExpired bool
	// answer is the confirmed order that the node has yet to report to the log; it is valid only if
	// hasAnswer is set.
	answer    order
	hasAnswer bool
	// expiredFence is the highest fence whose lease has expired, whether or not its order was sent.
	expiredFence uint64
	// lastSent is the order that the node sent last; the node waits for the answer to this one
	// only.
	lastSent order
}

// placementWorld is one state of the model. It is a value type: each step copies it.
type placementWorld struct {
	log   string // one record per line
	nodes [2]executor
	// inFlight holds the orders that were sent and have not arrived, inFlightPerNode for each node;
	// occupied marks the slots in use.
	inFlight [4]order
	occupied [4]bool
	// loaded holds the letters of the units that the engine has loaded; fence is the highest that
	// the engine has seen.
	loaded                    string
	fence                     uint64
	loads, takeovers, unloads int
	retries, cleanups         int
	overcommitted             bool
}

// Placement returns the model of two nodes and one engine. The engine has memory for one unit, so
// two units loaded at once overcommit it.
func Placement(g PlacementGuards) explore.Model[placementWorld] {
	m := &placementModel{guards: g, replays: make(map[string]*ledger.State)}
	return explore.Model[placementWorld]{
		Next: m.next, Check: m.check, MaxStates: 3_000_000,
		Key: func(w placementWorld) string { return fmt.Sprintf("%v", w) },
	}
}

type placementModel struct {
	guards PlacementGuards
	// replays caches the state after each prefix of a log.
	replays map[string]*ledger.State
}

// placementPreamble returns the records at the start of every log: the configuration with all units
// and the registration of the engine.
func placementPreamble(g PlacementGuards) []*pb.Record {
	cfg := &pb.Config{WeightStores: []*pb.WeightStore{{Name: "s", LoadSlots: 2}}}
	for _, u := range g.Units {
		cfg.Models = append(cfg.Models, &pb.Model{
			Name: string(u), Versions: []*pb.Version{{Name: modelVersion, WeightBytes: 1}}, ServingVersion: modelVersion,
			MaxReplicas: 1, WeightStore: "s",
		})
	}
	return []*pb.Record{
		{Node: "o", Incarnation: 1, Sequence: 1, Body: &pb.Record_ConfigChange{ConfigChange: &pb.ConfigChange{ChangeId: "1", Upsert: cfg}}},
		{Node: "o", Incarnation: 1, Sequence: 2, Body: &pb.Record_EngineUp{EngineUp: &pb.EngineUp{
			Engine: modelEngine, Incarnation: 1, MemoryBytes: 1, ChecksFences: g.ChecksFences,
		}}},
	}
}

// replay returns the state after the first n records of a log.
func (m *placementModel) replay(log string, n int) *ledger.State {
	lines := strings.Split(strings.TrimSuffix(log, "\n"), "\n")
	if log == "" {
		lines = nil
	}
	key := strings.Join(lines[:n], "\n")
	if s := m.replays[key]; s != nil {
		return s
	}
	s := ledger.NewState()
	s.DisabledGuards = m.guards.DisabledGuards
	offset := uint64(0)
	for _, r := range placementPreamble(m.guards) {
		s.Apply(offset, r)
		offset++
	}
	for i, line := range lines[:n] {
		s.Apply(offset, parseRecord(line, uint64(i+1)))
		offset++
	}
	m.replays[key] = s
	return s
}

// parseRecord parses a line such as "load x 0 1" (kind, unit, node, fence) into a record with the
// given sequence number. A "?" after the kind marks the outcome as unconfirmed.
func parseRecord(line string, sequence uint64) *pb.Record {
	var kind, unit string
	var node int
	var fence uint64
	_, _ = fmt.Sscan(line, &kind, &unit, &node, &fence)
	kind, unconfirmed := strings.CutSuffix(kind, "?")
	r := &pb.Record{Node: fmt.Sprint(node), Incarnation: 1, Sequence: sequence}
	switch kind {
	case "load":
		r.Body = &pb.Record_Load{Load: &pb.Load{Unit: unit, Version: modelVersion, Engine: modelEngine, EngineIncarnation: 1, Want: 1}}
	case "loaded":
		r.Body = &pb.Record_LoadDone{LoadDone: &pb.LoadDone{Unit: unit, Version: modelVersion, Engine: modelEngine, Fence: fence, Unsure: unconfirmed}}
	case "takeover":
		r.Body = &pb.Record_Takeover{Takeover: &pb.Takeover{Unit: unit, Version: modelVersion, Engine: modelEngine, Fence: fence}}
	case "unload":
		r.Body = &pb.Record_Unload{Unload: &pb.Unload{Unit: unit, Version: modelVersion, Engine: modelEngine, Fence: fence}}
	case "unloaded":
		r.Body = &pb.Record_UnloadDone{UnloadDone: &pb.UnloadDone{Unit: unit, Version: modelVersion, Engine: modelEngine, Fence: fence, Unsure: unconfirmed}}
	case "clean":
		r.Body = &pb.Record_QuarantineEnd{QuarantineEnd: &pb.QuarantineEnd{Unit: unit, Version: modelVersion, Engine: modelEngine, Fence: fence}}
	}
	return r
}

// countRecords returns the number of records in a log.
func countRecords(log string) int { return strings.Count(log, "\n") }

// append returns the world with one more record in its log.
func (w placementWorld) append(kind string, unit byte, node int, fence uint64) placementWorld {
	w.log += fmt.Sprintf("%s %c %d %d\n", kind, unit, node, fence)
	return w
}

// next returns every step that is possible in a world.
func (m *placementModel) next(w placementWorld) []explore.Step[placementWorld] {
	var out []explore.Step[placementWorld]
	add := func(name string, to placementWorld) {
		out = append(out, explore.Step[placementWorld]{Name: name, To: to})
	}
	for i := range w.nodes {
		m.nodeSteps(w, i, add)
	}
	for i := range w.inFlight {
		if w.occupied[i] {
			add(fmt.Sprintf("order of %d arrives", i/inFlightPerNode), m.arrive(w, i))
		}
	}
	return out
}

// nodeSteps adds the steps of node i: applying a record, proposing, sending a pending order and
// reporting an answer.
func (m *placementModel) nodeSteps(w placementWorld, i int, add func(string, placementWorld)) {
	n := &w.nodes[i]
	if n.applied < countRecords(w.log) {
		to := w
		to.nodes[i].applied++
		add(fmt.Sprintf("%d folds", i), to)
	}
	s := m.replay(w.log, n.applied)
	m.proposals(w, i, s, add)
	if n.hasPending {
		m.sendSteps(w, i, add)
	}
	if n.hasAnswer {
		to := w
		kind := map[bool]string{false: "loaded", true: "unloaded"}[n.answer.unload]
		if n.answer.cleanup {
			kind = "clean"
			if n.answer.unconfirmed && !m.guards.HideRetry {
				// An attempt without an answer may still arrive, so the quarantine starts over.
				to.nodes[i].hasAnswer = false
				add(fmt.Sprintf("%d begins the quarantine anew", i), to)
				return
			}
		}
		if n.answer.unconfirmed && !m.guards.HideRetry {
			kind += "?"
		}
		to = to.append(kind, n.answer.unit, i, n.answer.fence)
		to.nodes[i].hasAnswer = false
		add(fmt.Sprintf("%d reports", i), to)
	}
}

// proposals adds the loads, unloads and takeovers that node i may propose and the orders that it may
// make pending, given the state s that it has applied.
func (m *placementModel) proposals(w placementWorld, i int, s *ledger.State, add func(string, placementWorld)) {
	e := s.Engines[modelEngine]
	for _, u := range []byte(m.guards.Units) {
		p := s.Find(ledger.Key{Unit: string(u), Version: modelVersion, Engine: modelEngine})
		switch {
		case p == nil && w.loads < m.guards.Loads && e.Used < e.MemoryBytes:
			to := w.append("load", u, i, 0)
			to.loads++
			add(fmt.Sprintf("%d proposes load %c", i, u), to)
		case p == nil:
		case p.Phase == ledger.Ready && w.unloads < m.guards.Unloads:
			to := w.append("unload", u, i, p.Fence)
			to.unloads++
			add(fmt.Sprintf("%d proposes unload %c", i, u), to)
		case p.Phase == ledger.Loading || p.Phase == ledger.Unloading:
			m.orderSteps(w, i, u, p, add)
		case p.Phase == ledger.Quarantined:
			m.cleanupSteps(w, i, u, p, add)
		}
	}
}

// orderSteps adds the step in which node i, as the executor of placement p, makes the placement's
// order pending, or in which it takes the placement over from the other node.
func (m *placementModel) orderSteps(w placementWorld, i int, u byte, p *ledger.Placement, add func(string, placementWorld)) {
	n := &w.nodes[i]
	o := order{unit: u, fence: p.Fence, unload: p.Phase == ledger.Unloading}
	if p.Executor.Node == fmt.Sprint(i) {
		if !n.hasPending && !n.hasAnswer && n.lastSent.fence != o.fence {
			to := w
			to.nodes[i].pending, to.nodes[i].hasPending, to.nodes[i].leaseExpired = o, true, o.fence <= n.expiredFence
			add(fmt.Sprintf("%d picks up %c", i, u), to)
		}
		return
	}
	other := &w.nodes[1-i]
	// If the engine checks fences, any suspicion is enough for a takeover. If not, the takeover
	// waits until the lease of the present executor has expired for certain.
	leaseOver := !other.hasPending || other.pending.unit != u || other.leaseExpired
	if w.takeovers < m.guards.Takeovers && (m.guards.ChecksFences || leaseOver) {
		to := w.append("takeover", u, i, p.Fence)
		to.takeovers++
		if !m.guards.ChecksFences {
			to.nodes[1-i].expiredFence = p.Fence
		}
		add(fmt.Sprintf("%d takes %c over", i, u), to)
	}
}

// quarantineOver reports whether no order is pending or in flight any more. A quarantine is made
// long enough for this to hold at its end.
func (m *placementModel) quarantineOver(w placementWorld) bool {
	for _, sent := range w.occupied {
		if sent {
			return false
		}
	}
	return !w.nodes[0].hasPending && !w.nodes[1].hasPending
}

// cleanupSteps adds the steps that end a quarantine: a takeover once it is over, then the final
// unload by the node that took it over.
func (m *placementModel) cleanupSteps(w placementWorld, i int, u byte, p *ledger.Placement, add func(string, placementWorld)) {
	n := &w.nodes[i]
	if m.guards.NoCleanup {
		if m.quarantineOver(w) {
			add(fmt.Sprintf("%d ends quarantine of %c", i, u), w.append("clean", u, i, p.Fence))
		}
		return
	}
	o := order{unit: u, fence: p.Fence, unload: true, cleanup: true}
	allowed := p.Executor.Node == fmt.Sprint(i)
	if m.guards.AnyNodeCleanup {
		allowed = m.quarantineOver(w)
	}
	if allowed && !n.hasPending && !n.hasAnswer && (n.lastSent != o || m.guards.AnyNodeCleanup) {
		to := w
		to.nodes[i].pending, to.nodes[i].hasPending, to.nodes[i].leaseExpired = o, true, o.fence <= n.expiredFence
		add(fmt.Sprintf("%d cleans %c up", i, u), to)
	}
	if !m.guards.AnyNodeCleanup && w.cleanups < m.guards.Cleanups && m.quarantineOver(w) {
		to := w.append("takeover", u, i, p.Fence)
		to.cleanups++
		to.nodes[0].expiredFence, to.nodes[1].expiredFence = p.Fence, p.Fence
		add(fmt.Sprintf("%d takes the quarantine of %c over", i, u), to)
	}
}

// sendSteps adds the steps of a node with a pending order: its lease expires, the order is dropped,
// or the order is sent.
func (m *placementModel) sendSteps(w placementWorld, i int, add func(string, placementWorld)) {
	n := &w.nodes[i]
	if !n.leaseExpired {
		to := w
		to.nodes[i].leaseExpired = true
		add(fmt.Sprintf("%d pauses past its lease", i), to)
	}
	if n.leaseExpired && !m.guards.NoLease {
		to := w
		to.nodes[i].hasPending = false
		to.nodes[i].pending = order{}
		add(fmt.Sprintf("%d drops its order", i), to)
		return
	}
	for slot := i * inFlightPerNode; slot < (i+1)*inFlightPerNode; slot++ {
		if w.occupied[slot] {
			continue
		}
		to := w
		to.inFlight[slot], to.occupied[slot] = n.pending, true
		to.nodes[i].lastSent = n.pending
		to.nodes[i].hasPending = false
		to.nodes[i].pending = order{}
		add(fmt.Sprintf("%d writes %c", i, n.pending.unit), to)
		if !n.leaseExpired && !n.pending.unconfirmed && !m.guards.ChecksFences && w.retries < m.guards.Retries {
			// The answer does not come in time, so the node keeps the order to send it again.
			again := to
			again.retries++
			again.nodes[i].hasPending = true
			again.nodes[i].pending = n.pending
			again.nodes[i].pending.unconfirmed = true
			add(fmt.Sprintf("%d writes %c and will again", i, n.pending.unit), again)
		}
		return
	}
}

// arrive returns the world after the engine has received the order in slot i and acted on it.
func (m *placementModel) arrive(w placementWorld, i int) placementWorld {
	o := w.inFlight[i]
	w.occupied[i] = false
	w.inFlight[i] = order{}
	if m.guards.ChecksFences && o.fence < w.fence {
		return w
	}
	w.fence = max(w.fence, o.fence)
	unit := string(o.unit)
	switch {
	case o.unload:
		w.loaded = strings.ReplaceAll(w.loaded, unit, "")
	case !strings.Contains(w.loaded, unit):
		w.loaded += unit
		w.overcommitted = w.overcommitted || len(w.loaded) > 1
	}
	n := &w.nodes[i/inFlightPerNode]
	if n.lastSent == o && !n.hasPending {
		n.answer, n.hasAnswer = o, true
	}
	return w
}

// check returns an error if the engine is overcommitted, if it holds a replica that is missing from
// the ledger, or if it lacks one that the ledger has as ready.
func (m *placementModel) check(w placementWorld) error {
	if w.overcommitted {
		return fmt.Errorf("the engine is overcommitted: it holds more than one unit")
	}
	s := m.replay(w.log, countRecords(w.log))
	for _, u := range w.loaded {
		if s.Find(ledger.Key{Unit: string(u), Version: modelVersion, Engine: modelEngine}) == nil {
			return fmt.Errorf("the engine holds %c, which has no placement in the ledger", u)
		}
	}
	for _, p := range s.Engines[modelEngine].Placements {
		if p.Phase == ledger.Ready && !strings.Contains(w.loaded, p.Unit) {
			return fmt.Errorf("the ledger has %s as ready, but the engine has not loaded it", p.Unit)
		}
	}
	if e := s.Engines[modelEngine]; e.Used > e.MemoryBytes {
		return fmt.Errorf("the ledger commits more memory than the engine has")
	}
	return nil
}
