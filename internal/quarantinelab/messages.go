package quarantinelab

import (
	"olivetiller/core/quarantine"
)

func (l *lab) lost() bool { return l.rnd.Float64() < l.cfg.Drop }

// setHolder makes a node the one that unites all blames; nil for none.
func (l *lab) setHolder(n *node) {
	if l.holder != nil {
		l.holder.registry.SetWhole(false)
	}
	l.holder = n
	if n == nil {
		return
	}
	n.registry.SetWhole(true)
	n.reporting = false
	for _, o := range l.nodes {
		o.reportedTo, o.toldTo = 0, 0
		l.report(o)
	}
	l.judge(n)
}

// loseHolder has the holder fall silent, and another one take over.
func (l *lab) loseHolder() {
	if l.holder == nil {
		return
	}
	old := l.holder
	l.setHolder(nil)
	// Without one, each node judges by what it knows.
	for _, n := range l.nodes {
		n.registry.SetWhole(true)
		l.judge(n)
	}
	old.frozenUntil = l.now + l.cfg.HolderGap
	old.wellSince = old.frozenUntil
	l.after(l.cfg.HolderGap, func() {
		for _, n := range l.nodes {
			n.registry.SetWhole(false)
		}
		l.setHolder(l.nodes[(old.index+1)%len(l.nodes)])
	})
}

// freeze has a node stand still.
func (l *lab) freeze() {
	n := l.nodes[l.rnd.IntN(len(l.nodes))]
	if n == l.holder {
		return
	}
	n.frozenUntil = l.now + l.cfg.FrozenFor
	n.wellSince = n.frozenUntil
}

// replace puts a node that knows what the store keeps in the place of another.
func (l *lab) replace() {
	i := l.rnd.IntN(len(l.nodes))
	if l.nodes[i] == l.holder {
		return
	}
	n := l.newNode(i)
	n.wellSince = l.now
	for _, e := range l.kept {
		n.registry.Merge([]quarantine.Entry{e}, l.time())
	}
	l.nodes[i] = n
	l.report(n)
}

// report has a node tell the holder what it knows by itself.
func (l *lab) report(n *node) {
	if n.reporting || n == l.holder {
		l.told(n)
		return
	}
	n.reporting = true
	l.after(l.about(reportTime), func() { l.deliver(n) })
}

// deliver brings a report to the holder.
func (l *lab) deliver(n *node) {
	n.reporting = false
	h := l.holder
	if h == nil || h.frozenUntil > l.now || n.frozenUntil > l.now || l.lost() {
		n.reporting = true
		l.after(reportEvery, func() { l.deliver(n) })
		return
	}
	entries, to := n.registry.Since(n.reportedTo, quarantine.Own)
	n.reportedTo = to
	if len(entries) == 0 {
		return
	}
	l.size(entries)
	h.registry.Merge(entries, l.time())
	l.settle(h)
	l.told(h)
}

// told has the holder tell all nodes what concerns them, and the store keep verdicts.
func (l *lab) told(h *node) {
	l.noteVerdicts(h)
	if h != l.holder {
		return
	}
	for _, n := range l.nodes {
		if n != h {
			l.after(l.about(pushTime), func() { l.push(h, n) })
		}
	}
	l.after(keepTime, func() { l.keep(h) })
}

func (l *lab) push(h, n *node) {
	if h != l.holder || n.toldTo >= h.registry.ToldVersion() {
		return
	}
	if n.frozenUntil > l.now || l.lost() {
		l.after(max(reportEvery, n.frozenUntil-l.now), func() { l.push(h, n) })
		return
	}
	entries, to := h.registry.Since(n.toldTo, quarantine.Concerning)
	n.toldTo = to
	if len(entries) == 0 {
		return
	}
	l.size(entries)
	n.registry.Merge(entries, l.time())
	l.settle(n)
	l.noteVerdicts(n)
}

// keep has the store keep the verdicts of a node.
func (l *lab) keep(h *node) {
	entries, _ := h.registry.Since(0, quarantine.Concerning)
	for _, e := range entries {
		if e.Verdict != nil {
			e.Blames = nil
			l.kept[e.Request] = e
		}
	}
}

// noteVerdicts notes when deadly requests are convicted, and known to be by the last node in reach.
func (l *lab) noteVerdicts(n *node) {
	for i, r := range l.deadly {
		if n.registry.State(r.f) != quarantine.Quarantined {
			continue
		}
		if l.knownTo[i] == nil {
			l.knownTo[i], l.verdictAt[i] = make(map[*node]bool), l.now
		}
		if !l.knownTo[i][n] && n.wellSince <= l.verdictAt[i] {
			l.result.Everywhere[i] = max(l.result.Everywhere[i], l.now-l.verdictAt[i])
		}
		l.knownTo[i][n] = true
	}
}

// exchange has nodes without a holder tell others all that they know.
func (l *lab) exchange() {
	if l.holder == nil && !l.cfg.Off {
		for _, n := range l.nodes {
			for range exchangePeers {
				l.exchangeWith(n, l.nodes[l.rnd.IntN(min(hubs, len(l.nodes)))])
			}
		}
	}
	l.after(exchangeEvery, l.exchange)
}

func (l *lab) exchangeWith(n, o *node) {
	if n == o || n.frozenUntil > l.now || o.frozenUntil > l.now || l.lost() {
		return
	}
	for _, way := range [][2]*node{{n, o}, {o, n}} {
		from, to := way[0], way[1]
		entries, version := from.registry.Since(from.marks[to], quarantine.All)
		from.marks[to] = version
		if len(entries) == 0 {
			continue
		}
		l.size(entries)
		to.registry.Merge(entries, l.time())
		l.settle(to)
		l.noteVerdicts(to)
	}
}
