package ledger

import pb "olivetiller/proto/olivetiller/v1"

// Reason is the verdict on a record: Accepted, or why it was rejected.
type Reason uint8

// The reasons; [Reason.String] explains each. Accepted is the zero value.
const (
	Accepted Reason = iota
	Repeated
	Unsupported
	NoSuchUnit
	UnitBanned
	NoSuchEngine
	EngineReplaced
	EngineDraining
	HallNotAllowed
	EnoughReplicas
	AlreadyPlaced
	NoMemory
	NoLoadSlot
	BaseNotReady
	AdaptersLoaded
	StaleFence
	WrongPhase
	KeyTaken
	KeyExpired
	NotOwner
	RevisionMoved
	ConfigFaults
	StaleIncarnation
)

var reasonTexts = [...]string{
	Accepted:         "accepted",
	Repeated:         "the record was folded before",
	Unsupported:      "this release does not know the kind of record; update the node",
	NoSuchUnit:       "the configuration has no such unit or version; publish it first",
	UnitBanned:       "the unit is banned; clear banned to load it",
	NoSuchEngine:     "the engine is not registered; wait until the instance list shows it",
	EngineReplaced:   "the engine was replaced; propose again for its new incarnation",
	EngineDraining:   "the engine is draining; choose another",
	HallNotAllowed:   "the unit may not run in the engine's data hall; choose another",
	EnoughReplicas:   "as many replicas exist as are wanted",
	AlreadyPlaced:    "the engine holds a replica already",
	NoMemory:         "the engine's memory would be overcommitted; unload something first",
	NoLoadSlot:       "every load slot of the weight store is taken; wait for a load to end",
	BaseNotReady:     "the base model is not loaded on the engine; load it first",
	AdaptersLoaded:   "adapters of the model are loaded on the engine; unload them first",
	StaleFence:       "another order has replaced this one",
	WrongPhase:       "the replica is not in the phase the record is for",
	KeyTaken:         "the request key is claimed already",
	KeyExpired:       "the request key is older than the window; make a new request with a new key",
	NotOwner:         "the claim belongs to another node",
	RevisionMoved:    "another configuration was published first; read it and publish on top of it",
	ConfigFaults:     "the configuration has faults; run config check",
	StaleIncarnation: "a newer incarnation is registered",
}

var reasonNames = [...]string{
	Accepted:         "accepted",
	Repeated:         "repeated",
	Unsupported:      "unsupported",
	NoSuchUnit:       "noSuchUnit",
	UnitBanned:       "unitBanned",
	NoSuchEngine:     "noSuchEngine",
	EngineReplaced:   "engineReplaced",
	EngineDraining:   "engineDraining",
	HallNotAllowed:   "hallNotAllowed",
	EnoughReplicas:   "enoughReplicas",
	AlreadyPlaced:    "alreadyPlaced",
	NoMemory:         "noMemory",
	NoLoadSlot:       "noLoadSlot",
	BaseNotReady:     "baseNotReady",
	AdaptersLoaded:   "adaptersLoaded",
	StaleFence:       "staleFence",
	WrongPhase:       "wrongPhase",
	KeyTaken:         "keyTaken",
	KeyExpired:       "keyExpired",
	NotOwner:         "notOwner",
	RevisionMoved:    "revisionMoved",
	ConfigFaults:     "configFaults",
	StaleIncarnation: "staleIncarnation",
}

// Name returns the short name under which metrics and logs show the reason.
func (r Reason) Name() string { return reasonNames[r] }

// String returns the reason in words, with the remedy where there is one.
func (r Reason) String() string { return reasonTexts[r] }

// Outcome is the result of applying one record.
type Outcome struct {
	// Offset is the offset of the log entry that holds the record.
	Offset uint64
	Record *pb.Record
	Reason Reason
	// Fence is the record's fencing number, Offset+1, if it was accepted; else 0.
	Fence uint64
	// Revision is the revision that an accepted ConfigChange created, or the one in
	// force when it was rejected; 0 for other records.
	Revision uint64
	// Claim is the claim that a Claim record created, or the existing one that
	// caused KeyTaken; else nil.
	Claim *Claim
}

// OK reports whether the record was accepted.
func (o Outcome) OK() bool { return o.Reason == Accepted }
