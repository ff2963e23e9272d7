package rendezvous

// Table caches the homes of keys while nodes join and leave. A node that joins costs one score per key, and one that
// leaves costs only the keys whose home it was, so that a fleet in which a node is replaced every few seconds does
// not recompute all homes each time. It is not safe for concurrent use; one goroutine owns it.
type Table struct {
	nodes []string
	homes map[string]home
}

// home is the home of a key with its score.
type home struct {
	node  string
	score uint64
}

// NewTable returns a table without nodes and keys.
func NewTable() *Table { return &Table{homes: make(map[string]home)} }

// Update replaces the set of nodes and adapts the cached homes.
func (t *Table) Update(nodes []string) {
	joined, left := diff(t.nodes, nodes)
	if len(joined)+len(left) == 0 {
		return
	}
	t.nodes = append([]string(nil), nodes...)
	for key, h := range t.homes {
		if left[h.node] {
			delete(t.homes, key)
			continue
		}
		for _, n := range joined {
			if s := Score(key, n); s > h.score || (s == h.score && n < h.node) {
				h = home{n, s}
				t.homes[key] = h
			}
		}
	}
}

// diff returns the nodes that are only in now, and those that are only in old.
func diff(old, now []string) (joined []string, left map[string]bool) {
	left = make(map[string]bool)
	for _, n := range old {
		left[n] = true
	}
	for _, n := range now {
		if left[n] {
			delete(left, n)
		} else {
			joined = append(joined, n)
		}
	}
	return joined, left
}

// Home returns the home of a key, or "" if there are no nodes.
func (t *Table) Home(key string) string {
	h, ok := t.homes[key]
	if !ok && len(t.nodes) > 0 {
		node := Home(key, t.nodes)
		h = home{node, Score(key, node)}
		t.homes[key] = h
	}
	return h.node
}
