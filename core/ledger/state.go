package ledger

import (
	"time"

	"olivetiller/core/catalog"
	pb "olivetiller/proto/olivetiller/v1"
)

// Windows of the fold. All nodes of a deployment must agree on them, so they
// are constants and no settings.
const (
	// ClaimWindow is how long a request key may be used, counted from the time
	// inside it.
	ClaimWindow = time.Hour
	// SenderWindow is how long the last sequence of a silent node is kept.
	// No append may linger that long.
	SenderWindow = time.Hour
	// MaxTimeStep bounds how far one record moves the fold's time forward, so
	// that one wrong clock cannot expire every key at once.
	MaxTimeStep = time.Minute
	// sweepEvery is the fold time between two sweeps of what has expired.
	sweepEvery = 10 * time.Second
	// MaxQueued bounds the loads that wait for a slot of one weight store.
	MaxQueued = 64
)

// Phase is the phase of a placement.
type Phase uint8

// Phases of a placement. Every phase counts against replicas and memory.
const (
	// Loading: the order to load is out, or about to be.
	Loading Phase = iota + 1
	// Ready: the engine confirmed the load; requests may go there.
	Ready
	// Unloading: no new request goes there; the order to unload is out.
	Unloading
	// Quarantined: the replica is gone, but a late order could bring it back.
	Quarantined
	// Queued: decided, and waiting for a load slot of the weight store.
	Queued
)

var phaseNames = map[Phase]string{
	Loading: "loading", Ready: "ready", Unloading: "unloading", Quarantined: "quarantined", Queued: "queued",
}

// String implements fmt.Stringer.
func (p Phase) String() string { return phaseNames[p] }

// Key names a placement. A unit has at most one placement of a version on an engine.
type Key struct {
	Unit, Version, Engine string
}

// UnitVersion names what replicas are counted by.
type UnitVersion struct {
	Unit, Version string
}

// Placement is one decided replica.
type Placement struct {
	Key
	Phase Phase
	// Fence is the fencing number of the order in force, above any earlier one
	// of this placement.
	Fence uint64
	// Executor is the node incarnation that carries the order out.
	Executor NodeRef
	// LateOrders says that an order of an earlier executor may still reach an
	// engine that does not check fences.
	LateOrders bool
	// Bytes is what the placement takes of the engine's memory, fixed when it
	// was decided.
	Bytes uint64
	// Store is the weight store whose slot the load holds.
	Store string
	// Urgent orders Queued placements, in Unix milliseconds.
	Urgent int64
}

// NodeRef is one incarnation of a node.
type NodeRef struct {
	Node        string
	Incarnation uint64
}

// Engine is a registered engine.
type Engine struct {
	Name        string
	Incarnation uint64
	Address     string
	Hall        string
	// MemoryBytes is the capacity; Used never exceeds it.
	MemoryBytes uint64
	// Used is the sum of Bytes of the engine's placements.
	Used uint64
	// ChecksFences says that the engine refuses orders with an older fence.
	ChecksFences bool
	// Draining engines receive no new placement or request.
	Draining bool
	// Placements holds the placements on this engine.
	Placements map[UnitVersion]*Placement
}

// ClaimPhase is the phase of a claim.
type ClaimPhase uint8

// Phases of a claim.
const (
	// Claimed: the owner may have sent the request.
	Claimed ClaimPhase = iota + 1
	// Answered: the endpoint answered the owner.
	Answered
	// Lost: the request was sent and nobody can know whether it ran.
	Lost
)

// ClaimID is the digest of caller and request key.
type ClaimID [32]byte

// Claim is the right to run a once-only request.
type Claim struct {
	ID ClaimID
	// KeyTime is the time inside the request key, in Unix milliseconds.
	KeyTime int64
	Owner   NodeRef
	Phase   ClaimPhase
	// Status is the HTTP status of the answer, once answered.
	Status uint32
}

type sender struct {
	sequence uint64
	seen     int64
}

type change struct {
	revision uint64
	seen     int64
}

// Guard is a set of rules of the fold.
type Guard uint16

// The guards, for model checking only.
const (
	GuardRepeat Guard = 1 << iota
	GuardReplicas
	GuardMemory
	GuardSlots
	GuardFence
	GuardQuarantine
	GuardClaim
	GuardRevision
)

// State is what has been decided up to NextOffset. It is owned by one
// goroutine; traffic reads views made of it.
type State struct {
	// NextOffset is the first offset not folded in.
	NextOffset uint64
	// FoldTime is the time of the fold in Unix milliseconds. It never falls.
	FoldTime int64
	// Revision counts the accepted configurations.
	Revision uint64
	// Catalog indexes the configuration in force; never nil.
	Catalog *catalog.Catalog
	Engines map[string]*Engine
	// Replicas holds the placements of each version of a unit by engine.
	Replicas map[UnitVersion]map[string]*Placement
	Claims   map[ClaimID]*Claim
	// Open holds the placements that are not Ready: those with something to do.
	Open map[Key]*Placement
	// Off holds the guards that are switched off; only model checking sets it.
	Off Guard

	senders   map[NodeRef]sender
	changes   map[string]change
	loading   map[string]int
	queued    map[string]map[Key]*Placement
	lastSweep int64
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Catalog:  catalog.New(&pb.Config{}),
		Engines:  make(map[string]*Engine),
		Replicas: make(map[UnitVersion]map[string]*Placement),
		Claims:   make(map[ClaimID]*Claim),
		Open:     make(map[Key]*Placement),
		senders:  make(map[NodeRef]sender),
		changes:  make(map[string]change),
		loading:  make(map[string]int),
		queued:   make(map[string]map[Key]*Placement),
	}
}

// Loading returns the load slots of a weight store that are taken.
func (s *State) Loading(store string) int { return s.loading[store] }

// Queued returns how many loads wait for a slot of a weight store.
func (s *State) Queued(store string) int { return len(s.queued[store]) }

// Find returns the placement of key, or nil.
func (s *State) Find(k Key) *Placement {
	return s.Replicas[UnitVersion{k.Unit, k.Version}][k.Engine]
}

func (s *State) guards(g Guard) bool { return s.Off&g == 0 }

// add enters a placement into every index.
func (s *State) add(p *Placement) {
	uv := UnitVersion{p.Unit, p.Version}
	if s.Replicas[uv] == nil {
		s.Replicas[uv] = make(map[string]*Placement)
	}
	s.Replicas[uv][p.Engine] = p
	e := s.Engines[p.Engine]
	e.Placements[uv] = p
	e.Used += p.Bytes
	s.enter(p)
}

// drop removes a placement from every index.
func (s *State) drop(p *Placement) {
	uv := UnitVersion{p.Unit, p.Version}
	s.exit(p)
	delete(s.Replicas[uv], p.Engine)
	if len(s.Replicas[uv]) == 0 {
		delete(s.Replicas, uv)
	}
	e := s.Engines[p.Engine]
	delete(e.Placements, uv)
	e.Used -= p.Bytes
}

// setPhase moves a placement and keeps the indexes of its phase.
func (s *State) setPhase(p *Placement, to Phase) {
	s.exit(p)
	p.Phase = to
	s.enter(p)
}

// enter counts a placement into the indexes of its phase.
func (s *State) enter(p *Placement) {
	switch p.Phase {
	case Loading:
		s.loading[p.Store]++
	case Queued:
		if s.queued[p.Store] == nil {
			s.queued[p.Store] = make(map[Key]*Placement)
		}
		s.queued[p.Store][p.Key] = p
	}
	if p.Phase != Ready {
		s.Open[p.Key] = p
	}
}

// exit counts a placement out of the indexes of its phase.
func (s *State) exit(p *Placement) {
	switch p.Phase {
	case Loading:
		s.loading[p.Store]--
		if s.loading[p.Store] == 0 {
			delete(s.loading, p.Store)
		}
	case Queued:
		delete(s.queued[p.Store], p.Key)
		if len(s.queued[p.Store]) == 0 {
			delete(s.queued, p.Store)
		}
	}
	delete(s.Open, p.Key)
}
