package quarantinelab

import (
	"olivetiller/core/quarantine"
)

// drawLoss reports whether the next message is lost.
func (s *simulation) drawLoss() bool { return s.rnd.Float64() < s.cfg.LossRate }

// setHolder makes a node the lease holder, or nil for none. All nodes report to a new lease holder
// from the beginning.
func (s *simulation) setHolder(n *node) {
	if s.holder != nil {
		s.holder.registry.SetComplete(false)
	}
	s.holder = n
	if n == nil {
		return
	}
	n.registry.SetComplete(true)
	n.reportDue = false
	for _, o := range s.nodes {
		o.reportedVersion, o.receivedVersion = 0, 0
		s.report(o)
	}
	s.decide(n)
}

// loseHolder pauses the lease holder; another node takes over after HolderGap.
func (s *simulation) loseHolder() {
	if s.holder == nil {
		return
	}
	old := s.holder
	s.setHolder(nil)
	// Without a lease holder, each node decides by what it knows.
	for _, n := range s.nodes {
		n.registry.SetComplete(true)
		s.decide(n)
	}
	old.pausedUntil = s.Now + s.cfg.HolderGap
	old.healthySince = old.pausedUntil
	s.After(s.cfg.HolderGap, func() {
		for _, n := range s.nodes {
			n.registry.SetComplete(false)
		}
		s.setHolder(s.nodes[(old.index+1)%len(s.nodes)])
	})
}

// pause pauses a random node, unless it is the lease holder.
func (s *simulation) pause() {
	n := s.nodes[s.rnd.IntN(len(s.nodes))]
	if n == s.holder {
		return
	}
	n.pausedUntil = s.Now + s.cfg.PauseTime
	n.healthySince = n.pausedUntil
}

// replace replaces a random node, unless it is the lease holder, by a new one that knows only the
// stored verdicts.
func (s *simulation) replace() {
	i := s.rnd.IntN(len(s.nodes))
	if s.nodes[i] == s.holder {
		return
	}
	n := s.newNode(i)
	n.healthySince = s.Now
	for _, e := range s.stored {
		s.merge(n, []quarantine.Entry{e})
	}
	s.nodes[i] = n
	s.report(n)
}

// report schedules a report of the node's own suspicions to the lease holder. On the lease holder
// itself it publishes.
func (s *simulation) report(n *node) {
	if n.reportDue || n == s.holder {
		s.publish(n)
		return
	}
	n.reportDue = true
	s.After(s.between(reportLatency), func() { s.deliver(n) })
}

// deliver delivers a report to the lease holder, or schedules a retry if it cannot arrive.
func (s *simulation) deliver(n *node) {
	n.reportDue = false
	h := s.holder
	if h == nil || h.pausedUntil > s.Now || n.pausedUntil > s.Now || s.drawLoss() {
		n.reportDue = true
		s.After(retryInterval, func() { s.deliver(n) })
		return
	}
	entries, to := n.registry.Since(n.reportedVersion, quarantine.LocalRecords)
	n.reportedVersion = to
	if len(entries) == 0 {
		return
	}
	s.countMessage(entries)
	s.merge(h, entries)
	s.scheduleDecision(h)
	s.publish(h)
}

// merge merges entries of another node, as the guard of a node does.
func (s *simulation) merge(n *node, entries []quarantine.Entry) {
	n.registry.Merge(entries, s.time())
	n.tracker.MergeCrashes(entries, s.time())
	if cleared := n.registry.ClearAnsweredParts(entries, n.tracker, s.time()); len(cleared) > 0 {
		s.report(n)
	}
}

// publish sends the lease holder's updates to all nodes and stores its verdicts. On any other node
// it only records verdicts for the figures.
func (s *simulation) publish(h *node) {
	s.recordVerdicts(h)
	if h != s.holder {
		return
	}
	for _, n := range s.nodes {
		if n != h {
			s.After(s.between(pushLatency), func() { s.push(h, n) })
		}
	}
	s.After(storeWriteTime, func() { s.storeVerdicts(h) })
}

// push delivers an update from lease holder h to node n, or schedules a retry if it cannot arrive.
func (s *simulation) push(h, n *node) {
	if h != s.holder || n.receivedVersion >= h.registry.SharedVersion() {
		return
	}
	if n.pausedUntil > s.Now || s.drawLoss() {
		s.After(max(retryInterval, n.pausedUntil-s.Now), func() { s.push(h, n) })
		return
	}
	entries, to := h.registry.Since(n.receivedVersion, quarantine.SharedRecords)
	n.receivedVersion = to
	if len(entries) == 0 {
		return
	}
	s.countMessage(entries)
	s.merge(n, entries)
	s.scheduleDecision(n)
	s.recordVerdicts(n)
}

// storeVerdicts writes the verdicts of a node to the store, without the suspicions behind them.
func (s *simulation) storeVerdicts(h *node) {
	entries, _ := h.registry.Since(0, quarantine.SharedRecords)
	for _, e := range entries {
		if e.Verdict != nil {
			e.Suspicions = nil
			s.stored[e.Request] = e
		}
	}
}

// recordVerdicts records for the figures when crashing requests are quarantined first, and when the
// nodes that were running at that moment have received the verdict.
func (s *simulation) recordVerdicts(n *node) {
	for i := range s.crashing {
		if n.registry.State(s.culprit(i)) != quarantine.Quarantined {
			continue
		}
		if s.receivedBy[i] == nil {
			s.receivedBy[i], s.verdictAt[i] = make(map[*node]bool), s.Now
		}
		if !s.receivedBy[i][n] && n.healthySince <= s.verdictAt[i] {
			s.result.Everywhere[i] = max(s.result.Everywhere[i], s.Now-s.verdictAt[i])
		}
		s.receivedBy[i][n] = true
	}
}

// exchange runs a round in which nodes without a lease holder exchange all that they know, and
// schedules the next one.
func (s *simulation) exchange() {
	if s.holder == nil && !s.cfg.Disabled {
		for _, n := range s.nodes {
			for range exchangePeers {
				s.exchangeWith(n, s.nodes[s.rnd.IntN(min(exchangeTargets, len(s.nodes)))])
			}
		}
	}
	s.After(exchangeInterval, s.exchange)
}

// exchangeWith sends what n knows to o, and the reverse.
func (s *simulation) exchangeWith(n, o *node) {
	if n == o || n.pausedUntil > s.Now || o.pausedUntil > s.Now || s.drawLoss() {
		return
	}
	for _, way := range [][2]*node{{n, o}, {o, n}} {
		from, to := way[0], way[1]
		entries, version := from.registry.Since(from.exchangedVersions[to], quarantine.AllRecords)
		from.exchangedVersions[to] = version
		if len(entries) == 0 {
			continue
		}
		s.countMessage(entries)
		s.merge(to, entries)
		s.scheduleDecision(to)
		s.recordVerdicts(to)
	}
}
