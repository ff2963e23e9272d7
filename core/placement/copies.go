package placement

// maxCopyLoss is the greatest loss, in late requests a second, for which models are evicted to
// load one that no engine keeps a copy of.
const maxCopyLoss = 0.3

// ensureCopies loads models that no engine keeps a copy of, so that their first request does
// not wait for the weight store.
func (g *planning) ensureCopies() {
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
			if m.copyCount == 0 && m.pendingReplicas == 0 && m.replicaCount() == 0 && !g.now.Before(m.backoffUntil) {
				if g.storeBusy+g.reservedFromStore() >= g.maxCopyLoads() {
					return
				}
				if !g.addReplica(m, replicaOptions{maxLoss: maxCopyLoss, fromStore: true}, "no engine keeps a copy") {
					break
				}
			}
		}
	}
}

// maxCopyLoads returns how many of these loads may be in progress: the whole concurrency of the
// store while there are no requests, and half of it otherwise, since an engine that loads a
// copy cannot load for requests.
func (g *planning) maxCopyLoads() int {
	for _, m := range g.modelList {
		if g.now.Sub(m.lastUse) < rateTimeConstant {
			return max(1, g.store.estimate/2)
		}
	}
	return g.store.estimate
}

// reservedFromStore counts the engines that evict models for a load from the store.
func (g *planning) reservedFromStore() int {
	n := 0
	for _, e := range g.engineList {
		if u := e.reserved; u.Model != "" && !e.warm.has(u.Model) && !e.onDisk.has(u.Model) {
			n++
		}
	}
	return n
}

// allReported reports whether all engines of a service have sent a report. It ignores draining
// engines and those that have sent none within usageTTL.
func (g *planning) allReported(service string) bool {
	for _, e := range g.engineList {
		if e.service == service && !e.draining && e.reportedAt.IsZero() && g.now.Sub(e.invalidSince) < usageTTL {
			return false
		}
	}
	return true
}
