package ledger

import pb "olivetiller/proto/olivetiller/v1"

// engineUp registers an engine, or a new incarnation of it. A new incarnation has
// nothing loaded, so all placements are dropped, quarantined ones included: no
// order for the old incarnation can still take effect, because every order names
// the incarnation.
func (s *State) engineUp(up *pb.EngineUp) Reason {
	old := s.Engines[up.GetEngine()]
	if old != nil && up.GetIncarnation() <= old.Incarnation {
		return StaleIncarnation
	}
	if old != nil {
		s.dropPlacements(old)
	}
	s.Engines[up.GetEngine()] = newEngine(up)
	return Accepted
}

func newEngine(up *pb.EngineUp) *Engine {
	return &Engine{
		Name:         up.GetEngine(),
		Incarnation:  up.GetIncarnation(),
		Address:      up.GetAddress(),
		Hall:         up.GetHall(),
		MemoryBytes:  up.GetMemoryBytes(),
		ChecksFences: up.GetChecksFences(),
		Placements:   make(map[UnitVersion]*Placement),
	}
}

func (s *State) engineGone(gone *pb.EngineGone) Reason {
	e := s.Engines[gone.GetEngine()]
	if e == nil {
		return NoSuchEngine
	}
	if e.Incarnation != gone.GetIncarnation() {
		return EngineReplaced
	}
	s.dropPlacements(e)
	delete(s.Engines, e.Name)
	return Accepted
}

func (s *State) engineDrain(d *pb.EngineDrain) Reason {
	e := s.Engines[d.GetEngine()]
	if e == nil {
		return NoSuchEngine
	}
	e.Draining = d.GetDraining()
	return Accepted
}

func (s *State) dropPlacements(e *Engine) {
	for _, p := range e.Placements {
		s.drop(p)
	}
}
