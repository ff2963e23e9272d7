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
		kept := g.kept(s.Name)
		if kept == nil {
			continue
		}
		for j := range s.Engine.Models {
			if g.storeBusy+g.reservedFromStore() >= g.copiesAtOnce() {
				return
			}
			unit := Unit{Service: s.Name, Model: s.Engine.Models[j].Name}
			if !kept[unit.Model] && g.loaders[unit] == 0 && g.holders[unit] == 0 {
				if !g.spread(unit, spreadOptions{limit: copyLimit, fromStore: true}, "no engine keeps a copy") {
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
	for _, m := range g.models {
		if g.now.Sub(m.lastUse) < rateTime {
			return storeLoadsAtOnce / 2
		}
	}
	return storeLoadsAtOnce
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

// kept returns the models that an engine of a service holds or keeps a copy of.
// It is nil while an engine has not reported yet that should soon: what that keeps is
// not known.
func (g *planning) kept(service string) map[string]bool {
	kept := make(map[string]bool)
	for _, e := range g.order {
		if e.service != service || e.draining {
			continue
		}
		if !e.reported && g.now.Sub(e.doubtSince) < useLife {
			return nil
		}
		for _, name := range e.keeps() {
			kept[name] = true
		}
	}
	return kept
}
