package plan

import (
	"sort"

	"google.golang.org/protobuf/proto"

	pb "olivetiller/proto/olivetiller/v1"
)

// engineActions proposes to register reachable engines with a new incarnation, and
// to remove registered ones that are neither listed by the platform nor reachable.
// It covers the engines whose home is this node.
func (p *Planner) engineActions(in *Input) []Action {
	var acts []Action
	for _, name := range p.ownedEngines(in) {
		observed := in.Engines[name]
		if observed.Up == nil || !observed.Reachable {
			continue
		}
		known := in.Ledger.Engines[name]
		if known != nil && known.Incarnation >= observed.Up.GetIncarnation() {
			continue
		}
		up := proto.Clone(observed.Up).(*pb.EngineUp)
		acts = append(acts, p.propose(in, &pb.Record{Body: &pb.Record_EngineUp{EngineUp: up}})...)
	}
	for _, name := range p.ownedEngines(in) {
		observed, known := in.Engines[name], in.Ledger.Engines[name]
		if known == nil || observed.Listed || observed.Reachable {
			continue
		}
		acts = append(acts, p.propose(in, &pb.Record{Body: &pb.Record_EngineGone{EngineGone: &pb.EngineGone{
			Engine: name, Incarnation: known.Incarnation,
		}}})...)
	}
	return acts
}

// ownedEngines returns the sorted names of the engines whose home is this node. In
// a large fleet these are few, so the names are filtered before sorting.
func (p *Planner) ownedEngines(in *Input) []string {
	var out []string
	for name := range in.Engines {
		if p.Home(name) == p.Self.Node {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
