package reach

import (
	"slices"
	"time"

	"olivetiller/core/rendezvous"
)

// Times for which the answer of a gateway is remembered.
const (
	// deadGatewayTTL applies after a gateway gave no answer.
	deadGatewayTTL = time.Second
	// pathlessGatewayTTL applies after a gateway could not connect to an endpoint.
	pathlessGatewayTTL = time.Second
	// goodGatewayTTL applies after a gateway connected this node to an endpoint.
	goodGatewayTTL = 5 * time.Second
)

// Gateway is a node that connects others to endpoints.
type Gateway struct {
	// Address is where the node serves its peers.
	Address string
	Hall    string
}

// answer is the latest answer of a gateway.
type answer uint8

const (
	// reached: it connected this node to an endpoint.
	reached answer = iota
	// pathless: it could not.
	pathless
	// dead: there was no answer.
	dead
)

// note is an answer of a gateway that counts until a time.
type note struct {
	answer answer
	until  time.Time
}

// Gateways chooses the nodes to ask for tunnels. It is not safe for concurrent use.
type Gateways struct {
	// self is the name of this node. It determines the order, so that the tunnels of many nodes are spread over all
	// gateways.
	self string
	// notes holds the latest answers of gateways: about any endpoint, and about single ones.
	notes map[gatewayPath]note
	// expiredAt is when notes was last purged.
	expiredAt time.Time
}

// gatewayPath names a gateway's path to an endpoint, or to any endpoint if that is "".
type gatewayPath struct{ gateway, endpoint string }

// NewGateways returns the choice of gateways of a node.
func NewGateways(self string) *Gateways {
	return &Gateways{self: self, notes: make(map[gatewayPath]note)}
}

// Order returns the gateways in the order in which to ask them for a tunnel to an endpoint: first those that reached it,
// then those that reached other ones. A gateway that is cut off itself comes after those that are not known, and is found
// out by one endpoint for all. Gateways of the same rank are in an order that differs between nodes and endpoints.
func (g *Gateways) Order(endpoint string, gateways []Gateway, now time.Time) []string {
	g.expire(now)
	addresses := make([]string, 0, len(gateways))
	ranks := make(map[string]int, len(gateways))
	for _, w := range gateways {
		addresses = append(addresses, w.Address)
		ranks[w.Address] = g.rank(w.Address, endpoint, now)
	}
	out := rendezvous.Rank(g.self+" "+endpoint, addresses)
	slices.SortStableFunc(out, func(a, b string) int { return ranks[a] - ranks[b] })
	return out
}

// rank is lower for gateways that are asked earlier.
func (g *Gateways) rank(gateway, endpoint string, now time.Time) int {
	toAny, knownAny := g.note(gatewayPath{gateway, ""}, now)
	toThis, knownThis := g.note(gatewayPath{gateway, endpoint}, now)
	switch {
	case knownAny && toAny == dead:
		return 5
	case knownThis && toThis == pathless:
		return 4
	case knownThis:
		return 0
	case knownAny && toAny == reached:
		return 1
	case knownAny:
		return 3
	}
	return 2
}

func (g *Gateways) note(p gatewayPath, now time.Time) (answer, bool) {
	n, ok := g.notes[p]
	return n.answer, ok && now.Before(n.until)
}

// Reached records that a gateway connected this node to an endpoint.
func (g *Gateways) Reached(gateway, endpoint string, now time.Time) {
	n := note{reached, now.Add(goodGatewayTTL)}
	g.notes[gatewayPath{gateway, endpoint}], g.notes[gatewayPath{gateway, ""}] = n, n
}

// Pathless records that a gateway answered that it cannot connect to an endpoint.
func (g *Gateways) Pathless(gateway, endpoint string, now time.Time) {
	n := note{pathless, now.Add(pathlessGatewayTTL)}
	g.notes[gatewayPath{gateway, endpoint}], g.notes[gatewayPath{gateway, ""}] = n, n
}

// Dead records that a gateway gave no answer.
func (g *Gateways) Dead(gateway string, now time.Time) {
	g.notes[gatewayPath{gateway, ""}] = note{dead, now.Add(deadGatewayTTL)}
}

// expire drops what has no effect any more.
func (g *Gateways) expire(now time.Time) {
	if now.Sub(g.expiredAt) < unusedTTL {
		return
	}
	g.expiredAt = now
	for k, n := range g.notes {
		if !now.Before(n.until) {
			delete(g.notes, k)
		}
	}
}
