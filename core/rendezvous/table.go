package rendezvous

// Table keeps the homes of keys while nodes come and go. A node that comes costs
// one score a key, and one that goes only the keys it had, so that a fleet in
// which some node is replaced every few seconds does not work all homes out anew
// each time. It is owned by one goroutine.
type Table struct {
	nodes []string
	homes map[string]home
}

// home is the winner of a key with its score.
type home struct {
	node  string
	score uint64
}

// NewTable returns a table without nodes.
func NewTable() *Table { return &Table{homes: make(map[string]home)} }

// Update puts another set of nodes in force, in order.
func (t *Table) Update(nodes []string) {
	came, gone := diff(t.nodes, nodes)
	if len(came)+len(gone) == 0 {
		return
	}
	t.nodes = append([]string(nil), nodes...)
	for key, h := range t.homes {
		if gone[h.node] {
			delete(t.homes, key)
			continue
		}
		for _, n := range came {
			if s := Score(key, n); s > h.score || (s == h.score && n < h.node) {
				h = home{n, s}
				t.homes[key] = h
			}
		}
	}
}

// diff returns the nodes that came and those that are gone.
func diff(old, now []string) (came []string, gone map[string]bool) {
	gone = make(map[string]bool)
	for _, n := range old {
		gone[n] = true
	}
	for _, n := range now {
		if gone[n] {
			delete(gone, n)
		} else {
			came = append(came, n)
		}
	}
	return came, gone
}

// Home returns the home of a key, or "" without nodes.
func (t *Table) Home(key string) string {
	h, ok := t.homes[key]
	if !ok && len(t.nodes) > 0 {
		node := Home(key, t.nodes)
		h = home{node, Score(key, node)}
		t.homes[key] = h
	}
	return h.node
}
