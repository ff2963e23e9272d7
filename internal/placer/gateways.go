package placer

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivetiller/core/directory"
	"olivetiller/core/reach"
)

// Paths tells which endpoints this node reaches directly.
type Paths interface {
	// Unreached returns how many endpoints the node reaches only by way of other nodes, and how many of those that it
	// uses can be reached at all.
	Unreached() (unreached, reachable int)
	// Check checks the direct path to the endpoint at an address, which did not answer.
	Check(address string)
}

// maxGateways is how many gateways the lease holder publishes to all nodes: enough to share the tunnels of a data hall
// that is cut off, and some 6 KB. Each node prefers other ones.
const maxGateways = 128

// The lease holder chooses the peers and gateways that it publishes every peersPerNode for each node, up to
// maxPeersInterval: while many nodes start or end, each choice goes to all of them.
const (
	peersPerNode     = 8 * time.Millisecond
	maxPeersInterval = time.Second
)

// gatewayState holds what this node knows of gateways, and what it needs to be one. It is safe for concurrent use.
type gatewayState struct {
	mu       sync.Mutex
	gateways []reach.Gateway
	// halls holds the data hall of each endpoint that takes requests, by address, and addresses the address by id.
	halls, addresses map[string]string
}

// reset forgets all endpoints.
func (g *gatewayState) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.halls, g.addresses = make(map[string]string), make(map[string]string)
}

// setEndpoint records an endpoint that takes requests.
func (g *gatewayState) setEndpoint(e *directory.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old, ok := g.addresses[e.ID]; ok && old != e.Address {
		delete(g.halls, old)
	}
	g.addresses[e.ID], g.halls[e.Address] = e.Address, e.Hall
}

// removeEndpoint records that an endpoint takes no requests any more.
func (g *gatewayState) removeEndpoint(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.halls, g.addresses[id])
	delete(g.addresses, id)
}

func (g *gatewayState) setGateways(gateways []reach.Gateway) {
	if len(gateways) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gateways = gateways
}

// Nodes returns the nodes that all nodes know of, which include this one if it is among them. A node that has heard of none
// yet knows the lease holder from the log.
func (c *Controller) Nodes() []reach.Gateway {
	g := &c.gateways
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := c.LeaseMark(); len(g.gateways) == 0 && m != nil {
		return []reach.Gateway{{Address: m.Record.Address}}
	}
	return g.gateways
}

// TakesRequests reports whether the address is that of an endpoint that takes requests.
func (c *Controller) TakesRequests(address string) bool {
	g := &c.gateways
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.halls[address]
	return ok
}

// Gateways returns the nodes that may connect this one to the endpoint at an address. Requests leave this node's region
// only for that of the endpoint, since their callers may not allow any other one.
func (c *Controller) Gateways(address string) []reach.Gateway {
	g := &c.gateways
	g.mu.Lock()
	defer g.mu.Unlock()
	hall, known := g.halls[address]
	var out []reach.Gateway
	for _, w := range g.gateways {
		region := c.o.Regions[w.Hall]
		if w.Address != c.o.Self.Address && (region == c.o.Regions[c.o.Hall] || known && region == c.o.Regions[hall]) {
			out = append(out, w)
		}
	}
	return out
}

// chooseGateways returns the gateways to publish, spread evenly over the data halls. The choice hardly changes when nodes
// come and go, since it follows the hashes of their addresses.
func chooseGateways(nodes []reach.Gateway) []reach.Gateway {
	halls := make(map[string][]reach.Gateway)
	for _, n := range nodes {
		halls[n.Hall] = append(halls[n.Hall], n)
	}
	each := (maxGateways + len(halls) - 1) / max(1, len(halls))
	var out []reach.Gateway
	for _, in := range halls {
		sortByHash(in)
		out = append(out, in[:min(len(in), each)]...)
	}
	sortByHash(out)
	return out
}

// sortByHash sorts gateways by the hashes of their addresses.
func sortByHash(gateways []reach.Gateway) {
	hashes := make(map[string]uint64, len(gateways))
	for _, w := range gateways {
		hashes[w.Address] = xxhash.Sum64String(w.Address)
	}
	slices.SortFunc(gateways, func(a, b reach.Gateway) int {
		if hashes[a.Address] < hashes[b.Address] {
			return -1
		}
		return 1
	})
}
