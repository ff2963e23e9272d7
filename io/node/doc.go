// Package node speaks to the other nodes of the fleet.
//
// The problem: nodes pass on evidence, demand, records of the log and answers,
// over links that break, and a stranger must get nothing. The model: one QUIC
// connection to a peer, kept while used; each request and its answer take one
// stream, so that a slow answer holds up no other. Both sides prove by a
// certificate of the fleet's authority which node they are, and a request in
// another node's name is refused.
package node
