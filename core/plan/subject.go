package plan

import (
	"olivetiller/core/ledger"
	pb "olivetiller/proto/olivetiller/v1"
)

// subject names what a proposal is about: a node has at most one proposal on a
// subject under way.
func subject(r *pb.Record) string {
	if l := r.GetLoad(); l != nil {
		// Whatever engine it names, one load of a unit is proposed at a time.
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

// placementKey returns the placement that a proposal is about, if it is about one.
func placementKey(r *pb.Record) (ledger.Key, bool) {
	var about interface {
		GetUnit() string
		GetVersion() string
		GetEngine() string
	}
	switch b := r.GetBody().(type) {
	case *pb.Record_Load:
		about = b.Load
	case *pb.Record_Takeover:
		about = b.Takeover
	case *pb.Record_Unload:
		about = b.Unload
	case *pb.Record_QuarantineEnd:
		about = b.QuarantineEnd
	default:
		return ledger.Key{}, false
	}
	return ledger.Key{Unit: about.GetUnit(), Version: about.GetVersion(), Engine: about.GetEngine()}, true
}
