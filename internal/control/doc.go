// Package control is the control side of a node: one goroutine that owns what
// is decided and known, and the loops that feed it.
//
// The problem: records, demand, probes and orders arrive from many sides at
// once, and the decisions must be made on one consistent state. The model: the
// [Controller] takes typed messages from one channel, folds them into the
// ledger and the soft state, lets the planner draw the next steps, and
// publishes a view. The loops (log tail, instance list, engine status, peer
// probes, demand) each do one kind of I/O and send messages; orders to engines
// run in goroutines of their own and report back by message. Traffic never
// waits for this goroutine: it reads the view.
package control
