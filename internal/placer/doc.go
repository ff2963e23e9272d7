// Package placer is the control side of a node that runs on the users' platform.
//
// The problem: every node must know the configuration, the endpoints and what
// each engine holds, and one of them must order the engines. The model: one
// goroutine, [Controller.Run], owns all that is known; readers of the store,
// peers and replies send it typed messages, and it publishes an immutable view.
// A node that holds the lease (core/lease) feeds the planner (core/placement)
// with the reports of all nodes and sends its orders; the others report to the
// holder and are told what the engines serve.
//
// What is believed, and from whom, in this order: that an engine is there, or
// leaves, is the store's word, or the engine's own when it refuses work as
// leaving; what it serves is the holder's word while that is fresh
// ([holderFresh]), else the engine's own entry in the store; that it lacks a unit
// is its own word for [missLife]. While the store is away all of that stands, and
// only the lease runs out.
package placer
