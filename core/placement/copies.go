package placement

// copyLimit is the rate of requests up to which a model makes way for one that
// no engine keeps a copy of.
const copyLimit = 0.3

// copies loads models that no engine keeps a copy of, so that the first request
// for them does not wait for the weight store.
func (g *planning) copies() {
	for i := range g.table.Config.Services {
		s := &g.table.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		if !g.allReported(s.Name) {
			continue
		}
		for j := range s.Engine.Models {
			m := g.model(Unit{Service: s.Name, Model: s.Engine.Models[j].Name})
			if m.keepers == 0 && m.loaders == 0 && m.replicas() == 0 && !g.now.Before(m.restUntil) {
				if g.storeBusy+g.reservedFromStore() >= g.copiesAtOnce() {
					return
				}
				if !g.spread(m, spreadOptions{limit: copyLimit, fromStore: true}, "no engine keeps a copy") {
					break
				}
			}
		}
	}
}

// copiesAtOnce is how many such loads may be in progress: all that the store gives
// while nobody asks for anything, and half of that otherwise, since an engine that
// loads cannot load for requests.
func (g *planning) copiesAtOnce() int {
	for _, m := range g.list {
		if g.now.Sub(m.lastUse) < rateTime {
			return max(1, g.store.atOnce/2)
		}
	}
	return g.store.atOnce
}

// reservedFromStore counts the engines that make way for a load from the store.
func (g *planning) reservedFromStore() int {
	n := 0
	for _, e := range g.order {
		if u := e.reserved; u.Model != "" && !e.warm.has(u.Model) && !e.onDisk.has(u.Model) {
			n++
		}
	}
	return n
}

// allReported reports whether all engines of a service have told what they keep that
// should soon.
func (g *planning) allReported(service string) bool {
	for _, e := range g.order {
		if e.service == service && !e.draining && e.reportedAt.IsZero() && g.now.Sub(e.doubtSince) < useLife {
			return false
		}
	}
	return true
}
