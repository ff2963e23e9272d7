package plan

import (
	"google.golang.org/protobuf/proto"

	pb "olivetiller/proto/olivetiller/v1"
)

// engines proposes to register the engines that are there and to remove those
// that the platform no longer lists.
func (p *Planner) engines(in *Input) []Action {
	var acts []Action
	for _, name := range sortedNames(in.Engines) {
		soft := in.Engines[name]
		if p.Home(name) != p.Self.Node || soft.Up == nil || !soft.Reachable {
			continue
		}
		known := in.Ledger.Engines[name]
		if known != nil && known.Incarnation >= soft.Up.GetIncarnation() {
			continue
		}
		up := proto.Clone(soft.Up).(*pb.EngineUp)
		acts = append(acts, p.propose(in, &pb.Record{Body: &pb.Record_EngineUp{EngineUp: up}})...)
	}
	for _, name := range sortedNames(in.Ledger.Engines) {
		soft := in.Engines[name]
		if p.Home(name) != p.Self.Node || soft == nil || soft.Listed || soft.Reachable {
			continue
		}
		acts = append(acts, p.propose(in, &pb.Record{Body: &pb.Record_EngineGone{EngineGone: &pb.EngineGone{
			Engine: name, Incarnation: in.Ledger.Engines[name].Incarnation,
		}}})...)
	}
	return acts
}
