// Package plan decides the next steps of one node: the records that it proposes
// on the log and the orders that it sends to engines.
//
// [Planner.Plan] is a function of the decided state ([ledger.State]), the
// observed state of engines and peers, the demand and the time; the controller
// calls it after every event. Many nodes see the same demand, and any of them may
// be paused, dead or wrong about the others; a node must neither wait forever for
// another nor act twice. Each unit and engine therefore has a home node, chosen by
// rendezvous hashing among the live nodes, that proposes its records. Another node
// proposes a load only if requests wait at that node and the home has not acted for
// [HomeSilence] or longer. An order is returned only for a placement whose accepted
// record names this node incarnation as its executor. No guarantee depends on the
// plan: a wrong proposal is rejected when it is applied, and planning well only
// saves work.
//
// Leases are measured with monotonic clocks only. An executor sends an order only
// within [Lease] after proposing it. Another node takes an unfinished order over
// only after it has itself observed the order for [TakeoverAfter], which is
// longer than a lease, or, if the engine checks fences, as soon as it considers
// the executor dead.
package plan
