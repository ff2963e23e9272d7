package ledger

import (
	"time"

	"olivetiller/core/catalog"
	pb "olivetiller/proto/olivetiller/v1"
)

// Windows and limits of the state machine. All nodes of a deployment must agree
// on them, so they are constants and not settings.
const (
	// ClaimWindow is how long a request key may be claimed, counted from the
	// timestamp that the key contains.
	ClaimWindow = time.Hour
	// SenderWindow is how long the last sequence number of a node incarnation and
	// the id of a configuration change are kept after their last record. No append
	// may reach the log later than that, or it would be applied a second time.
	SenderWindow = time.Hour
	// MaxTimeStep bounds how far one record moves LogicalTime forward, so that one
	// wrong clock cannot expire every key at once.
	MaxTimeStep = time.Minute
	// sweepInterval is the time, by LogicalTime, between two deletions of expired
	// entries.
	sweepInterval = 10 * time.Second
	// MaxQueuedLoads bounds the loads that wait for a load slot of one weight store.
	MaxQueuedLoads = 64
)

// Phase is the phase of a placement in its life cycle.
type Phase uint8

// Phases of a placement. A placement in any of them counts against the replica
// limit and the engine's memory.
const (
	// Loading means that the executor sends, or is about to send, the load order.
	Loading Phase = iota + 1
	// Ready means that the engine confirmed the load; it receives requests.
	Ready
	// Unloading means that the executor sends the unload order; the replica
	// receives no new requests.
	Unloading
	// Quarantined means that the replica was removed, but that an earlier order
	// may still reach the engine and load it again.
	Quarantined
	// Queued means that the load was accepted and waits for a load slot of the
	// weight store.
	Queued
)

var phaseNames = map[Phase]string{
	Loading: "loading", Ready: "ready", Unloading: "unloading", Quarantined: "quarantined", Queued: "queued",
}

// String implements fmt.Stringer.
func (p Phase) String() string { return phaseNames[p] }

// Key identifies a placement: a version of a unit has at most one on an engine.
type Key struct {
	Unit, Version, Engine string
}

// UnitVersion identifies one version of a unit. Replicas are counted per version.
type UnitVersion struct {
	Unit, Version string
}

// Placement is one replica of a unit on an engine, from its accepted load to its
// removal.
type Placement struct {
	Key
	Phase Phase
	// Fence is the fencing number of the current order, higher than that of any
	// earlier order of this placement.
	Fence uint64
	// Executor is the node incarnation that sends the current order to the engine.
	Executor NodeRef
	// LateOrders is true if an unanswered order of an earlier executor or attempt
	// may still reach the engine, which does not check fences.
	LateOrders bool
	// Bytes is the engine memory accounted for the placement, fixed when the load
	// was accepted.
	Bytes uint64
	// Store is the weight store whose load slot the placement waits for or uses.
	Store string
	// Deadline is the time by which the replica is wanted, in Unix milliseconds; the
	// earliest of the Queued placements gets the next load slot.
	Deadline int64
}

// NodeRef identifies one incarnation of a node. A restarted node has a higher
// incarnation.
type NodeRef struct {
	Node        string
	Incarnation uint64
}

// Engine is a registered engine: an inference server that loads units.
type Engine struct {
	Name string
	// Incarnation rises with every restart of the engine, which loses all replicas.
	Incarnation uint64
	Address     string
	// Hall is the engine's data hall.
	Hall string
	// MemoryBytes is the engine's memory capacity; Used never exceeds it.
	MemoryBytes uint64
	// Used is the sum of Bytes of the engine's placements.
	Used uint64
	// ChecksFences is true if the engine refuses orders with a lower fence than that
	// of an order it has received before.
	ChecksFences bool
	// Draining is true if the engine receives no new placements or requests.
	Draining bool
	// Placements holds the engine's placements in any phase.
	Placements map[UnitVersion]*Placement
}

// ClaimPhase is the phase of a claim.
type ClaimPhase uint8

// Phases of a claim.
const (
	// Claimed means that the owner may have sent the request to the endpoint.
	Claimed ClaimPhase = iota + 1
	// Answered means that the endpoint answered the owner.
	Answered
	// Lost means that the request was sent and it cannot be known whether it ran.
	Lost
)

// ClaimID is the digest of caller and request key.
type ClaimID [32]byte

// Claim is the exclusive right of a node to run a once-only request.
type Claim struct {
	ID ClaimID
	// KeyTime is the timestamp that the request key contains, in Unix milliseconds.
	KeyTime int64
	// Owner is the node incarnation that may run the request.
	Owner NodeRef
	Phase ClaimPhase
	// Status is the HTTP status of the answer in phase Answered; else 0.
	Status uint32
}

// lastSequence is the last sequence number applied of a node incarnation, and the
// LogicalTime of that record in Unix milliseconds.
type lastSequence struct {
	sequence uint64
	lastSeen int64
}

// appliedChange is the revision that a configuration change created, and the
// LogicalTime of that record in Unix milliseconds.
type appliedChange struct {
	revision  uint64
	appliedAt int64
}

// Guard is a bit set of rules that [State.Apply] enforces.
type Guard uint16

// The guards; the package documentation gives the rule of each.
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

// State is the result of applying the log entries below NextOffset. It is owned by one
// goroutine, the control goroutine; request handlers read immutable views of it.
type State struct {
	// NextOffset is the offset of the next log entry to apply.
	NextOffset uint64
	// LogicalTime is the logical clock, in Unix milliseconds: the highest time of an
	// applied record, limited by MaxTimeStep per record. It never decreases.
	LogicalTime int64
	// Revision counts the accepted configuration changes.
	Revision uint64
	// Catalog indexes the configuration in force; never nil.
	Catalog *catalog.Catalog
	// Engines holds the registered engines by name.
	Engines map[string]*Engine
	// Replicas holds the placements of each version of a unit, by engine name.
	Replicas map[UnitVersion]map[string]*Placement
	Claims   map[ClaimID]*Claim
	// Open holds the placements in any phase but Ready: those for which a node has
	// still to send an order, report an outcome or end the quarantine.
	Open map[Key]*Placement
	// DisabledGuards holds the guards that are switched off; only model checking sets it.
	DisabledGuards Guard

	lastSequences  map[NodeRef]lastSequence
	appliedChanges map[string]appliedChange
	usedSlots      map[string]int
	queued         map[string]map[Key]*Placement
	lastSweep      int64
}

// NewState returns the state before the first record: no engines, no placements
// and an empty configuration at revision 0.
func NewState() *State {
	return &State{
		Catalog:        catalog.New(&pb.Config{}),
		Engines:        make(map[string]*Engine),
		Replicas:       make(map[UnitVersion]map[string]*Placement),
		Claims:         make(map[ClaimID]*Claim),
		Open:           make(map[Key]*Placement),
		lastSequences:  make(map[NodeRef]lastSequence),
		appliedChanges: make(map[string]appliedChange),
		usedSlots:      make(map[string]int),
		queued:         make(map[string]map[Key]*Placement),
	}
}

// UsedSlots returns the number of load slots in use at a weight store.
func (s *State) UsedSlots(store string) int { return s.usedSlots[store] }

// QueuedLoads returns the number of loads that wait for a load slot of a weight store.
func (s *State) QueuedLoads(store string) int { return len(s.queued[store]) }

// Find returns the placement with key k, or nil.
func (s *State) Find(k Key) *Placement {
	return s.Replicas[UnitVersion{k.Unit, k.Version}][k.Engine]
}

func (s *State) enforces(g Guard) bool { return s.DisabledGuards&g == 0 }

// add inserts a placement into all indexes and accounts its memory.
func (s *State) add(p *Placement) {
	uv := UnitVersion{p.Unit, p.Version}
	if s.Replicas[uv] == nil {
		s.Replicas[uv] = make(map[string]*Placement)
	}
	s.Replicas[uv][p.Engine] = p
	e := s.Engines[p.Engine]
	e.Placements[uv] = p
	e.Used += p.Bytes
	s.indexPhase(p)
}

// drop deletes a placement from all indexes and releases its memory.
func (s *State) drop(p *Placement) {
	uv := UnitVersion{p.Unit, p.Version}
	s.unindexPhase(p)
	delete(s.Replicas[uv], p.Engine)
	if len(s.Replicas[uv]) == 0 {
		delete(s.Replicas, uv)
	}
	e := s.Engines[p.Engine]
	delete(e.Placements, uv)
	e.Used -= p.Bytes
}

// setPhase changes the phase of a placement and updates the indexes by phase.
func (s *State) setPhase(p *Placement, to Phase) {
	s.unindexPhase(p)
	p.Phase = to
	s.indexPhase(p)
}

// indexPhase inserts a placement into the indexes of its current phase.
func (s *State) indexPhase(p *Placement) {
	switch p.Phase {
	case Loading:
		s.usedSlots[p.Store]++
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

// unindexPhase removes a placement from the indexes of its current phase.
func (s *State) unindexPhase(p *Placement) {
	switch p.Phase {
	case Loading:
		s.usedSlots[p.Store]--
		if s.usedSlots[p.Store] == 0 {
			delete(s.usedSlots, p.Store)
		}
	case Queued:
		delete(s.queued[p.Store], p.Key)
		if len(s.queued[p.Store]) == 0 {
			delete(s.queued, p.Store)
		}
	}
	delete(s.Open, p.Key)
}
