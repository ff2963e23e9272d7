package plan

import (
	"sort"

	"google.golang.org/protobuf/proto"

	pb "olivetiller/proto/olivetiller/v1"
)

// engines proposes to register the engines that are there and to remove those
// that the platform no longer lists.
func (p *Planner) engines(in *Input) []Action {
	var acts []Action
	for _, name := range p.ownNames(in) {
		soft := in.Engines[name]
		if soft.Up == nil || !soft.Reachable {
			continue
		}
		known := in.Ledger.Engines[name]
		if known != nil && known.Incarnation >= soft.Up.GetIncarnation() {
			continue
		}
		up := proto.Clone(soft.Up).(*pb.EngineUp)
		acts = append(acts, p.propose(in, &pb.Record{Body: &pb.Record_EngineUp{EngineUp: up}})...)
	}
	for _, name := range p.ownNames(in) {
		soft, known := in.Engines[name], in.Ledger.Engines[name]
		if known == nil || soft.Listed || soft.Reachable {
			continue
		}
		acts = append(acts, p.propose(in, &pb.Record{Body: &pb.Record_EngineGone{EngineGone: &pb.EngineGone{
			Engine: name, Incarnation: known.Incarnation,
		}}})...)
	}
	return acts
}

// ownNames returns, in order, the engines whose home this node is. Most are not:
// they are passed over before anything is done with them.
func (p *Planner) ownNames(in *Input) []string {
	var out []string
	for name := range in.Engines {
		if p.Home(name) == p.Self.Node {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
