package modelcheck

import (
	"fmt"
	"strings"

	"olivetiller/core/ledger"
	"olivetiller/internal/explore"
	pb "olivetiller/proto/olivetiller/v1"
)

// PlacementGuards are the guards of the placement protocol.
type PlacementGuards struct {
	// FoldOff are the fold's guards that are switched off.
	FoldOff ledger.Guard
	// NoLease lets an executor write an order after its lease has ended.
	NoLease bool
	// HideRetry reports an order as sure though an attempt got no answer.
	HideRetry bool
	// ManyCleanups lets every node write the last unload of a quarantine.
	ManyCleanups bool
	// NoCleanup ends a quarantine without a last unload at the engine.
	NoCleanup bool
	// ChecksFences says which kind of engine the model has.
	ChecksFences bool
	Bounds
}

// Bounds keep the model finite: how often each thing may happen.
type Bounds struct {
	// Units are the units there are, one letter each.
	Units                                        string
	Loads, Takeovers, Unloads, Retries, Cleanups int
}

// Names of the model's parts.
const (
	modelEngine  = "e"
	modelVersion = "v"
	wiresPerNode = 2
)

// order is an order in a node's hand or on its way to the engine.
type order struct {
	unit   byte
	fence  uint64
	unload bool
	// cleanup is the unload at the end of a quarantine.
	cleanup bool
	// unsure is set on a second attempt.
	unsure bool
}

// executor is one node.
type executor struct {
	// folded is how many records it has folded.
	folded int
	// hand is the order it is about to write, if has is set.
	hand order
	has  bool
	// lapsed is set when the lease of the order in hand has ended.
	lapsed bool
	// answer is the confirmed order it has yet to report.
	answer  order
	replied bool
	// expired is the highest fence whose lease is over, written or not.
	expired uint64
	// wrote is the order it wrote last: only its answer is waited for.
	wrote order
}

// placementWorld is one state of the model. It is a value: steps copy it.
type placementWorld struct {
	log   string // records, one a line
	nodes [2]executor
	// wire holds orders that were written and have not arrived, two a node.
	wire [4]order
	sent [4]bool
	// loaded is what the engine holds; fence the highest it saw.
	loaded                    string
	fence                     uint64
	loads, takeovers, unloads int
	retries, cleanups         int
	overcommitted             bool
}

// Placement returns the model. The engine has room for one of two units, so two
// loaded at once overcommit it.
func Placement(g PlacementGuards) explore.Model[placementWorld] {
	m := &placementModel{guards: g, folds: make(map[string]*ledger.State)}
	return explore.Model[placementWorld]{
		Next: m.next, Check: m.check, MaxStates: 3_000_000,
		Key: func(w placementWorld) string { return fmt.Sprintf("%v", w) },
	}
}

type placementModel struct {
	guards PlacementGuards
	// folds caches the folded state of each prefix of a log.
	folds map[string]*ledger.State
}

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

// fold returns the state after the first n records of a log.
func (m *placementModel) fold(log string, n int) *ledger.State {
	lines := strings.Split(strings.TrimSuffix(log, "\n"), "\n")
	if log == "" {
		lines = nil
	}
	key := strings.Join(lines[:n], "\n")
	if s := m.folds[key]; s != nil {
		return s
	}
	s := ledger.NewState()
	s.Off = m.guards.FoldOff
	offset := uint64(0)
	for _, r := range placementPreamble(m.guards) {
		s.Apply(offset, r)
		offset++
	}
	for i, line := range lines[:n] {
		s.Apply(offset, parseRecord(line, uint64(i+1)))
		offset++
	}
	m.folds[key] = s
	return s
}

// Records of the model are lines such as "load x 0": kind, unit, node, fence.
func parseRecord(line string, sequence uint64) *pb.Record {
	var kind, unit string
	var node int
	var fence uint64
	_, _ = fmt.Sscan(line, &kind, &unit, &node, &fence)
	kind, unsure := strings.CutSuffix(kind, "?")
	r := &pb.Record{Node: fmt.Sprint(node), Incarnation: 1, Sequence: sequence}
	switch kind {
	case "load":
		r.Body = &pb.Record_Load{Load: &pb.Load{Unit: unit, Version: modelVersion, Engine: modelEngine, EngineIncarnation: 1, Want: 1}}
	case "loaded":
		r.Body = &pb.Record_LoadDone{LoadDone: &pb.LoadDone{Unit: unit, Version: modelVersion, Engine: modelEngine, Fence: fence, Unsure: unsure}}
	case "takeover":
		r.Body = &pb.Record_Takeover{Takeover: &pb.Takeover{Unit: unit, Version: modelVersion, Engine: modelEngine, Fence: fence}}
	case "unload":
		r.Body = &pb.Record_Unload{Unload: &pb.Unload{Unit: unit, Version: modelVersion, Engine: modelEngine, Fence: fence}}
	case "unloaded":
		r.Body = &pb.Record_UnloadDone{UnloadDone: &pb.UnloadDone{Unit: unit, Version: modelVersion, Engine: modelEngine, Fence: fence, Unsure: unsure}}
	case "clean":
		r.Body = &pb.Record_QuarantineEnd{QuarantineEnd: &pb.QuarantineEnd{Unit: unit, Version: modelVersion, Engine: modelEngine, Fence: fence}}
	}
	return r
}

func count(log string) int { return strings.Count(log, "\n") }

func (w placementWorld) append(kind string, unit byte, node int, fence uint64) placementWorld {
	w.log += fmt.Sprintf("%s %c %d %d\n", kind, unit, node, fence)
	return w
}

// next returns every step from a world.
func (m *placementModel) next(w placementWorld) []explore.Step[placementWorld] {
	var out []explore.Step[placementWorld]
	add := func(name string, to placementWorld) {
		out = append(out, explore.Step[placementWorld]{Name: name, To: to})
	}
	for i := range w.nodes {
		m.nodeSteps(w, i, add)
	}
	for i := range w.wire {
		if w.sent[i] {
			add(fmt.Sprintf("order of %d arrives", i/wiresPerNode), m.arrive(w, i))
		}
	}
	return out
}

// nodeSteps returns the steps of one node.
func (m *placementModel) nodeSteps(w placementWorld, i int, add func(string, placementWorld)) {
	n := &w.nodes[i]
	if n.folded < count(w.log) {
		to := w
		to.nodes[i].folded++
		add(fmt.Sprintf("%d folds", i), to)
	}
	s := m.fold(w.log, n.folded)
	m.proposals(w, i, s, add)
	if n.has {
		m.write(w, i, add)
	}
	if n.replied {
		to := w
		kind := map[bool]string{false: "loaded", true: "unloaded"}[n.answer.unload]
		if n.answer.cleanup {
			kind = "clean"
			if n.answer.unsure && !m.guards.HideRetry {
				// An attempt without an answer may still arrive: the quarantine
				// begins anew.
				to.nodes[i].replied = false
				add(fmt.Sprintf("%d begins the quarantine anew", i), to)
				return
			}
		}
		if n.answer.unsure && !m.guards.HideRetry {
			kind += "?"
		}
		to = to.append(kind, n.answer.unit, i, n.answer.fence)
		to.nodes[i].replied = false
		add(fmt.Sprintf("%d reports", i), to)
	}
}

// proposals returns what a node may propose or pick up by its own fold.
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
			m.cleanup(w, i, u, p, add)
		}
	}
}

func (m *placementModel) orderSteps(w placementWorld, i int, u byte, p *ledger.Placement, add func(string, placementWorld)) {
	n := &w.nodes[i]
	o := order{unit: u, fence: p.Fence, unload: p.Phase == ledger.Unloading}
	if p.Executor.Node == fmt.Sprint(i) {
		if !n.has && !n.replied && n.wrote.fence != o.fence {
			to := w
			to.nodes[i].hand, to.nodes[i].has, to.nodes[i].lapsed = o, true, o.fence <= n.expired
			add(fmt.Sprintf("%d picks up %c", i, u), to)
		}
		return
	}
	other := &w.nodes[1-i]
	// A fenced engine's order is taken over at any suspicion; another's only
	// after the lease of whoever holds it has surely ended.
	leaseOver := !other.has || other.hand.unit != u || other.lapsed
	if w.takeovers < m.guards.Takeovers && (m.guards.ChecksFences || leaseOver) {
		to := w.append("takeover", u, i, p.Fence)
		to.takeovers++
		if !m.guards.ChecksFences {
			to.nodes[1-i].expired = p.Fence
		}
		add(fmt.Sprintf("%d takes %c over", i, u), to)
	}
}

// quarantineOver holds when no late order can be under way any more: that is
// what the length of a quarantine is chosen for.
func (m *placementModel) quarantineOver(w placementWorld) bool {
	for _, sent := range w.sent {
		if sent {
			return false
		}
	}
	return !w.nodes[0].has && !w.nodes[1].has
}

// cleanup returns the steps that end a quarantine: a takeover once it is over,
// and the last unload by whoever took it over.
func (m *placementModel) cleanup(w placementWorld, i int, u byte, p *ledger.Placement, add func(string, placementWorld)) {
	n := &w.nodes[i]
	if m.guards.NoCleanup {
		if m.quarantineOver(w) {
			add(fmt.Sprintf("%d ends quarantine of %c", i, u), w.append("clean", u, i, p.Fence))
		}
		return
	}
	o := order{unit: u, fence: p.Fence, unload: true, cleanup: true}
	mine := p.Executor.Node == fmt.Sprint(i)
	if m.guards.ManyCleanups {
		mine = m.quarantineOver(w)
	}
	if mine && !n.has && !n.replied && (n.wrote != o || m.guards.ManyCleanups) {
		to := w
		to.nodes[i].hand, to.nodes[i].has, to.nodes[i].lapsed = o, true, o.fence <= n.expired
		add(fmt.Sprintf("%d cleans %c up", i, u), to)
	}
	if !m.guards.ManyCleanups && w.cleanups < m.guards.Cleanups && m.quarantineOver(w) {
		to := w.append("takeover", u, i, p.Fence)
		to.cleanups++
		to.nodes[0].expired, to.nodes[1].expired = p.Fence, p.Fence
		add(fmt.Sprintf("%d takes the quarantine of %c over", i, u), to)
	}
}

// write returns the steps of a node with an order in hand.
func (m *placementModel) write(w placementWorld, i int, add func(string, placementWorld)) {
	n := &w.nodes[i]
	if !n.lapsed {
		to := w
		to.nodes[i].lapsed = true
		add(fmt.Sprintf("%d pauses past its lease", i), to)
	}
	if n.lapsed && !m.guards.NoLease {
		to := w
		to.nodes[i].has = false
		to.nodes[i].hand = order{}
		add(fmt.Sprintf("%d drops its order", i), to)
		return
	}
	for slot := i * wiresPerNode; slot < (i+1)*wiresPerNode; slot++ {
		if w.sent[slot] {
			continue
		}
		to := w
		to.wire[slot], to.sent[slot] = n.hand, true
		to.nodes[i].wrote = n.hand
		to.nodes[i].has = false
		to.nodes[i].hand = order{}
		add(fmt.Sprintf("%d writes %c", i, n.hand.unit), to)
		if !n.lapsed && !n.hand.unsure && !m.guards.ChecksFences && w.retries < m.guards.Retries {
			// No answer comes in time: the node keeps the order to write again.
			again := to
			again.retries++
			again.nodes[i].has = true
			again.nodes[i].hand = n.hand
			again.nodes[i].hand.unsure = true
			add(fmt.Sprintf("%d writes %c and will again", i, n.hand.unit), again)
		}
		return
	}
}

// arrive lets the engine act on an order.
func (m *placementModel) arrive(w placementWorld, i int) placementWorld {
	o := w.wire[i]
	w.sent[i] = false
	w.wire[i] = order{}
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
	n := &w.nodes[i/wiresPerNode]
	if n.wrote == o && !n.has {
		n.answer, n.replied = o, true
	}
	return w
}

// check says what is wrong with a world: the engine overcommitted, holding a
// replica that the ledger does not account for, or lacking one that is ready.
func (m *placementModel) check(w placementWorld) error {
	if w.overcommitted {
		return fmt.Errorf("the engine is overcommitted")
	}
	s := m.fold(w.log, count(w.log))
	for _, u := range w.loaded {
		if s.Find(ledger.Key{Unit: string(u), Version: modelVersion, Engine: modelEngine}) == nil {
			return fmt.Errorf("the engine holds %c, which the ledger does not account for", u)
		}
	}
	for _, p := range s.Engines[modelEngine].Placements {
		if p.Phase == ledger.Ready && !strings.Contains(w.loaded, p.Unit) {
			return fmt.Errorf("the ledger holds %s for ready, which the engine does not hold", p.Unit)
		}
	}
	if e := s.Engines[modelEngine]; e.Used > e.MemoryBytes {
		return fmt.Errorf("the ledger overcommits the engine")
	}
	return nil
}
