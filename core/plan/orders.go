package plan

import (
	"time"

	"olivetiller/core/ledger"
	pb "olivetiller/proto/olivetiller/v1"
)

// orderActions returns the actions for all placements that are not ready: the
// orders that this node executes, and takeovers of unfinished orders and of
// placements whose quarantine has ended.
func (p *Planner) orderActions(in *Input) []Action {
	var acts []Action
	for _, k := range sortedKeys(in.Ledger.Open) {
		pl := in.Ledger.Open[k]
		o := p.observe(in, pl)
		switch {
		case pl.Phase == ledger.Queued:
		case pl.Phase == ledger.Quarantined:
			acts = append(acts, p.quarantineActions(in, pl, o)...)
		case pl.Executor == p.Self:
			acts = append(acts, p.ownOrder(in, pl)...)
		case p.shouldTakeOver(in, pl, o):
			acts = append(acts, p.proposeTakeover(in, pl)...)
		}
	}
	return acts
}

// observe returns when this node first saw the current order of a placement, and
// records the time if it sees the order for the first time.
func (p *Planner) observe(in *Input, pl *ledger.Placement) observedOrder {
	o, ok := p.observed[pl.Key]
	if !ok || o.fence != pl.Fence {
		o = observedOrder{fence: pl.Fence, since: in.Now}
		p.observed[pl.Key] = o
	}
	if pl.Phase == ledger.Loading {
		if _, ok := p.loadSince[pl.Key]; !ok {
			p.loadSince[pl.Key] = in.Now
		}
	}
	return o
}

// ownOrder returns an order that this node executes, while its lease lasts. After
// that it proposes a takeover of the order by the node itself, which gives the
// order a new fence and a new lease.
func (p *Planner) ownOrder(in *Input, pl *ledger.Placement) []Action {
	l, ok := p.leases[pl.Key]
	if e := in.Ledger.Engines[pl.Engine]; pl.Phase == ledger.Loading && e.ChecksFences && l.fence != pl.Fence {
		// A queued load was granted a slot, and with it a new fence. If the engine
		// refuses old fences itself, the lease may start when this node sees the grant.
		l, ok = lease{fence: pl.Fence, end: in.Now.Add(Lease)}, true
		p.leases[pl.Key] = l
	}
	if !ok || l.fence != pl.Fence || l.end.IsZero() || in.Now.Sub(p.observed[pl.Key].since) > OrderLimit {
		return p.proposeTakeover(in, pl)
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

// proposeTakeover proposes this node as the executor of an order. If it is the
// executor already, the takeover renews its lease.
func (p *Planner) proposeTakeover(in *Input, pl *ledger.Placement) []Action {
	return p.propose(in, &pb.Record{Body: &pb.Record_Takeover{Takeover: &pb.Takeover{
		Unit: pl.Unit, Version: pl.Version, Engine: pl.Engine, Fence: pl.Fence,
	}}})
}

// ExpireLease ends the lease of an order that this node executes, so that the next
// plan renews it by a takeover. The controller calls it if the lease ran out, the
// engine reported a higher fence or the engine refused an unload.
func (p *Planner) ExpireLease(k ledger.Key) {
	l := p.leases[k]
	l.end = time.Time{}
	p.leases[k] = l
}

// shouldTakeOver reports whether this node should propose itself as the executor
// of an order: as the home of the unit, if the order has been open for OrderLimit,
// or if the executor is dead and can no longer send the order with effect.
func (p *Planner) shouldTakeOver(in *Input, pl *ledger.Placement, o observedOrder) bool {
	if !p.isHome(in, pl.Unit) {
		return false
	}
	age := in.Now.Sub(o.since)
	if age > OrderLimit {
		return true
	}
	if in.Alive(pl.Executor) {
		return false
	}
	return in.Ledger.Engines[pl.Engine].ChecksFences || age > TakeoverAfter
}

// isHome reports whether this node is the home of a unit.
func (p *Planner) isHome(in *Input, unit string) bool {
	key := unit
	if u := in.Ledger.Catalog.Units[unit]; u != nil {
		key = HomeKey(u)
	}
	return p.Home(key) == p.Self.Node
}

// quarantineActions returns the actions for a quarantined placement. After the
// time Quarantine no earlier order can be in transit any more, but one may have
// reached the engine: the home takes the placement over and sends an unload, so
// that the engine confirms that it does not hold the replica. If that fails, the
// quarantine starts again with the fence of the takeover.
func (p *Planner) quarantineActions(in *Input, pl *ledger.Placement, observed observedOrder) []Action {
	if pl.Executor == p.Self {
		l := p.leases[pl.Key]
		if l.fence != pl.Fence || in.Now.After(l.end) {
			return nil
		}
		o := p.order(in, pl, l)
		o.Unload, o.Cleanup = true, true
		return []Action{{Order: o}}
	}
	if !p.isHome(in, pl.Unit) || in.Now.Sub(observed.since) < Quarantine {
		return nil
	}
	return p.proposeTakeover(in, pl)
}
