package plan

import (
	"olivetiller/core/ledger"
	pb "olivetiller/proto/olivetiller/v1"
)

// subject returns the key by which pending proposals are deduplicated: a node has
// at most one undecided proposal per subject. It is empty for records that the
// planner does not propose.
func subject(r *pb.Record) string {
	if l := r.GetLoad(); l != nil {
		// The engine is left out: one load of a unit is proposed at a time.
		return "load " + l.GetUnit() + "@" + l.GetVersion()
	}
	if k, ok := placementKey(r); ok {
		return k.Unit + "@" + k.Version + " on " + k.Engine
	}
	switch b := r.GetBody().(type) {
	case *pb.Record_EngineUp:
		return "engine " + b.EngineUp.GetEngine()
	case *pb.Record_EngineGone:
		return "engine " + b.EngineGone.GetEngine()
	}
	return ""
}

// placementKey returns the key of the placement that a proposal changes, and false
// if it changes none.
func placementKey(r *pb.Record) (ledger.Key, bool) {
	var body interface {
		GetUnit() string
		GetVersion() string
		GetEngine() string
	}
	switch b := r.GetBody().(type) {
	case *pb.Record_Load:
		body = b.Load
	case *pb.Record_Takeover:
		body = b.Takeover
	case *pb.Record_Unload:
		body = b.Unload
	case *pb.Record_QuarantineEnd:
		body = b.QuarantineEnd
	default:
		return ledger.Key{}, false
	}
	return ledger.Key{Unit: body.GetUnit(), Version: body.GetVersion(), Engine: body.GetEngine()}, true
}
