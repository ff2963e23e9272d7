package plan

import (
	"time"

	"olivetiller/core/ledger"
	pb "olivetiller/proto/olivetiller/v1"
)

// openOrders returns what the placements that are not ready ask for: the orders
// of which this node is the executor, takeovers, and ends of quarantine.
func (p *Planner) openOrders(in *Input) []Action {
	var acts []Action
	for _, k := range sortedKeys(in.Ledger.Open) {
		pl := in.Ledger.Open[k]
		w := p.watch(in, pl)
		switch {
		case pl.Phase == ledger.Queued:
		case pl.Phase == ledger.Quarantined:
			acts = append(acts, p.quarantined(in, pl, w)...)
		case pl.Executor == p.Self:
			acts = append(acts, p.ownOrder(in, pl)...)
		case p.mayTakeOver(in, pl, w):
			acts = append(acts, p.takeover(in, pl)...)
		}
	}
	return acts
}

func (p *Planner) watch(in *Input, pl *ledger.Placement) watch {
	w, ok := p.watched[pl.Key]
	if !ok || w.fence != pl.Fence {
		w = watch{fence: pl.Fence, since: in.Now}
		p.watched[pl.Key] = w
	}
	if pl.Phase == ledger.Loading {
		if _, ok := p.loadSince[pl.Key]; !ok {
			p.loadSince[pl.Key] = in.Now
		}
	}
	return w
}

// ownOrder returns the order while its lease holds. After that the node takes
// its own order over, which gives it a new fence and a new lease.
func (p *Planner) ownOrder(in *Input, pl *ledger.Placement) []Action {
	l, ok := p.leases[pl.Key]
	if e := in.Ledger.Engines[pl.Engine]; pl.Phase == ledger.Loading && e.ChecksFences && l.fence != pl.Fence {
		// A slot came free for a load that was queued. Where the engine itself
		// refuses old fences, the lease may run from when this node saw that.
		l, ok = lease{fence: pl.Fence, end: in.Now.Add(Lease)}, true
		p.leases[pl.Key] = l
	}
	if !ok || l.fence != pl.Fence || l.end.IsZero() || in.Now.Sub(p.watched[pl.Key].since) > OrderLimit {
		return p.takeover(in, pl)
	}
	return []Action{{Order: p.order(in, pl, l)}}
}

func (p *Planner) order(in *Input, pl *ledger.Placement, l lease) *Order {
	e := in.Ledger.Engines[pl.Engine]
	o := &Order{
		Key: pl.Key, Fence: pl.Fence, Unload: pl.Phase == ledger.Unloading,
		LeaseEnd: l.end, Address: e.Address, Incarnation: e.Incarnation,
		Bytes: pl.Bytes, Store: pl.Store,
	}
	if u := in.Ledger.Catalog.Units[pl.Unit]; u != nil {
		o.Base = u.Base
	}
	return o
}

// takeover proposes to become the executor, or to renew an own lease.
func (p *Planner) takeover(in *Input, pl *ledger.Placement) []Action {
	return p.propose(in, &pb.Record{Body: &pb.Record_Takeover{Takeover: &pb.Takeover{
		Unit: pl.Unit, Version: pl.Version, Engine: pl.Engine, Fence: pl.Fence,
	}}})
}

// Lapse makes the next plan renew the lease of an own order, because it ended,
// or the engine holds a higher fence, before the order took effect.
func (p *Planner) Lapse(k ledger.Key) {
	l := p.leases[k]
	l.end = time.Time{}
	p.leases[k] = l
}

// mayTakeOver reports whether this node should become the executor.
func (p *Planner) mayTakeOver(in *Input, pl *ledger.Placement, w watch) bool {
	if !p.isHome(in, pl.Unit) {
		return false
	}
	watched := in.Now.Sub(w.since)
	if watched > OrderLimit {
		return true
	}
	if in.Alive(pl.Executor) {
		return false
	}
	return in.Ledger.Engines[pl.Engine].ChecksFences || watched > TakeoverAfter
}

func (p *Planner) isHome(in *Input, unit string) bool {
	key := unit
	if u := in.Ledger.Catalog.Units[unit]; u != nil {
		key = HomeKey(u)
	}
	return p.Home(key) == p.Self.Node
}

// quarantined returns what a placement in quarantine asks for. Once it has been
// watched long enough no late order is under way any more, but one may have
// arrived: a node takes the placement over and makes the engine confirm that it
// does not hold the replica. If that fails, the quarantine begins anew with the
// fence of the takeover.
func (p *Planner) quarantined(in *Input, pl *ledger.Placement, w watch) []Action {
	if pl.Executor == p.Self {
		l := p.leases[pl.Key]
		if l.fence != pl.Fence || in.Now.After(l.end) {
			return nil
		}
		o := p.order(in, pl, l)
		o.Unload, o.Cleanup = true, true
		return []Action{{Order: o}}
	}
	if !p.isHome(in, pl.Unit) || in.Now.Sub(w.since) < Quarantine {
		return nil
	}
	return p.takeover(in, pl)
}
