// Package plan turns what is decided and what is known into the next steps of
// one node: records to propose and orders to carry out.
//
// The problem: many nodes see the same demand, any of them may be paused, dead
// or wrong about the others, and each must neither wait for ever nor act twice.
// The model: [Planner.Plan] is a function of the folded ledger, the soft state
// and the time. It proposes only for units whose home the node is, or whose
// home has been silent too long; it returns an order only for a placement whose
// accepted record names this node incarnation the executor. Whatever the
// planner gets wrong, the fold rejects; planning only saves work.
//
// Leases are judged by monotonic clocks alone. An executor writes an order only
// within [Lease] of proposing it. Any other node takes an order over only after
// it has itself watched the order for longer than that, or, where the engine
// checks fences, as soon as it holds the executor for dead.
package plan
