package ledger

import (
	"olivetiller/core/catalog"
	pb "olivetiller/proto/olivetiller/v1"
)

func (s *State) load(l *pb.Load, from NodeRef, fence uint64) Reason {
	u := s.Catalog.Units[l.GetUnit()]
	if u == nil || u.Versions[l.GetVersion()] == 0 {
		return NoSuchUnit
	}
	e := s.Engines[l.GetEngine()]
	if r := s.checkPlacement(u, e, l); r != Accepted {
		return r
	}
	bytes := u.Bytes(l.GetVersion())
	if e.Used+bytes > e.MemoryBytes && s.enforces(GuardMemory) {
		return NoMemory
	}
	if s.QueuedLoads(u.Store) >= MaxQueuedLoads {
		return NoLoadSlot
	}
	// grantSlots, which runs after each record, moves the placement to Loading at
	// once if a slot is free and no queued load is more urgent.
	s.add(&Placement{
		Key:      Key{l.GetUnit(), l.GetVersion(), l.GetEngine()},
		Phase:    Queued,
		Fence:    fence,
		Executor: from,
		Bytes:    bytes,
		Store:    u.Store,
		Deadline: l.GetUrgentUnixMs(),
	})
	return Accepted
}

// grantSlots gives the free load slots of each weight store to its most urgent
// queued loads, with the given fence. A grant needs no record of its own: the
// record that freed the slot implies it. A burst of loads thus costs the log one
// proposal each, however many home nodes compete.
func (s *State) grantSlots(fence uint64) {
	for store := range s.queued {
		for s.QueuedLoads(store) > 0 && (s.usedSlots[store] < s.Catalog.StoreSlots[store] || !s.enforces(GuardSlots)) {
			p := s.mostUrgent(store)
			s.setPhase(p, Loading)
			p.Fence = fence
		}
	}
}

func (s *State) mostUrgent(store string) *Placement {
	var best *Placement
	for _, p := range s.queued[store] {
		if best == nil || p.precedes(best) {
			best = p
		}
	}
	return best
}

// precedes reports whether p is granted a load slot before o. It is a total order
// and therefore the same on every node.
func (p *Placement) precedes(o *Placement) bool {
	if p.Deadline != o.Deadline {
		return p.Deadline < o.Deadline
	}
	if p.Fence != o.Fence {
		return p.Fence < o.Fence
	}
	if p.Engine != o.Engine {
		return p.Engine < o.Engine
	}
	return p.Unit+"@"+p.Version < o.Unit+"@"+o.Version
}

// checkPlacement checks all conditions of a load except memory and queue length.
func (s *State) checkPlacement(u *catalog.Unit, e *Engine, l *pb.Load) Reason {
	switch {
	case u.Banned:
		return UnitBanned
	case e == nil:
		return NoSuchEngine
	case e.Incarnation != l.GetEngineIncarnation():
		return EngineReplaced
	case e.Draining:
		return EngineDraining
	case !u.AllowsHall(e.Hall):
		return HallNotAllowed
	}
	uv := UnitVersion{l.GetUnit(), l.GetVersion()}
	replicas := s.Replicas[uv]
	if replicas[e.Name] != nil {
		return AlreadyPlaced
	}
	limit := min(int(l.GetWant()), u.MaxReplicas)
	if len(replicas) >= limit && s.enforces(GuardReplicas) {
		return EnoughReplicas
	}
	if u.Base != "" && !s.baseReady(u, e) {
		return BaseNotReady
	}
	return Accepted
}

func (s *State) baseReady(u *catalog.Unit, e *Engine) bool {
	base := s.Catalog.Units[u.Base]
	if base == nil {
		return false
	}
	p := e.Placements[UnitVersion{u.Base, base.Serving}]
	return p != nil && p.Phase == Ready
}

// findByFence returns the placement with key k if its current fence is the given
// one; otherwise nil and StaleFence.
func (s *State) findByFence(k Key, fence uint64) (*Placement, Reason) {
	p := s.Find(k)
	if p == nil {
		return nil, StaleFence
	}
	if p.Fence != fence && s.enforces(GuardFence) {
		return nil, StaleFence
	}
	return p, Accepted
}

func (s *State) loadDone(d *pb.LoadDone) Reason {
	p, r := s.findByFence(Key{d.GetUnit(), d.GetVersion(), d.GetEngine()}, d.GetFence())
	if r != Accepted {
		return r
	}
	if p.Phase != Loading {
		return WrongPhase
	}
	if d.GetUnsure() && !s.Engines[p.Engine].ChecksFences {
		// An unanswered attempt may still reach the engine after a later unload.
		p.LateOrders = true
	}
	s.setPhase(p, Ready)
	return Accepted
}

func (s *State) loadFailed(f *pb.LoadFailed, fence uint64) Reason {
	p, r := s.findByFence(Key{f.GetUnit(), f.GetVersion(), f.GetEngine()}, f.GetFence())
	if r != Accepted {
		return r
	}
	if p.Phase != Loading {
		return WrongPhase
	}
	s.remove(p, f.GetUnsure(), fence)
	return Accepted
}

// takeover gives an unfinished order a new executor and a higher fence. The
// planner decides which node proposes a takeover and when; the fence ensures that
// only one proposal is accepted. An engine that ignores fences may still receive
// the order of the previous executor, hence LateOrders. The takeover of a
// quarantined placement makes a single node send the unload that ends the
// quarantine: with two such unloads, one could arrive after the quarantine and
// remove a later replica.
func (s *State) takeover(t *pb.Takeover, from NodeRef, fence uint64) Reason {
	p, r := s.findByFence(Key{t.GetUnit(), t.GetVersion(), t.GetEngine()}, t.GetFence())
	if r != Accepted {
		return r
	}
	if p.Phase != Loading && p.Phase != Unloading && p.Phase != Quarantined {
		return WrongPhase
	}
	if !s.Engines[p.Engine].ChecksFences {
		p.LateOrders = true
	}
	p.Fence = fence
	p.Executor = from
	return Accepted
}

func (s *State) unload(u *pb.Unload, from NodeRef, fence uint64) Reason {
	p, r := s.findByFence(Key{u.GetUnit(), u.GetVersion(), u.GetEngine()}, u.GetFence())
	if r != Accepted {
		return r
	}
	if p.Phase == Queued {
		// No order has been sent to the engine yet.
		s.drop(p)
		return Accepted
	}
	if p.Phase != Ready {
		return WrongPhase
	}
	if s.hasAdapters(p) {
		return AdaptersLoaded
	}
	s.setPhase(p, Unloading)
	p.Fence = fence
	p.Executor = from
	return Accepted
}

// hasAdapters reports whether the engine of p has placements of adapters whose
// base model is p.
func (s *State) hasAdapters(p *Placement) bool {
	for uv := range s.Engines[p.Engine].Placements {
		u := s.Catalog.Units[uv.Unit]
		if u != nil && u.Base == p.Unit {
			return true
		}
	}
	return false
}

func (s *State) unloadDone(d *pb.UnloadDone, fence uint64) Reason {
	p, r := s.findByFence(Key{d.GetUnit(), d.GetVersion(), d.GetEngine()}, d.GetFence())
	if r != Accepted {
		return r
	}
	if p.Phase != Unloading {
		return WrongPhase
	}
	s.remove(p, d.GetUnsure(), fence)
	return Accepted
}

// remove drops a placement, or quarantines it if an earlier order could still
// reach the engine and load the replica again, because the engine ignores fences.
func (s *State) remove(p *Placement, unsure bool, fence uint64) {
	late := p.LateOrders || (unsure && !s.Engines[p.Engine].ChecksFences)
	if late && s.enforces(GuardQuarantine) {
		s.setPhase(p, Quarantined)
		// Clearing Executor prevents orders until a node takes the placement over.
		// The new fence rejects takeovers that were meant for the previous order.
		p.Executor = NodeRef{}
		p.Fence = fence
		return
	}
	s.drop(p)
}

func (s *State) quarantineEnd(q *pb.QuarantineEnd) Reason {
	p, r := s.findByFence(Key{q.GetUnit(), q.GetVersion(), q.GetEngine()}, q.GetFence())
	if r != Accepted {
		return r
	}
	if p.Phase != Quarantined {
		return WrongPhase
	}
	s.drop(p)
	return Accepted
}
