// Package control is the control plane of a node: the [Controller] applies the
// records of the log, tracks engines, peers and demand, plans loads and unloads,
// and publishes the view by which requests are routed. The process entry point
// (package entry) starts it; the operators' API and the request handlers call it.
//
// Records, demand reports, probes and order results arrive concurrently, and
// decisions must be made on one consistent state. One goroutine, the control
// goroutine, therefore owns the state. It receives typed messages from an inbox,
// updates the ledger and the observed state, asks the planner for the next steps
// and publishes a new [view.View]. The loops (log tail, instance list, engine
// status, peer probes, demand) each do one kind of I/O and send messages; orders
// to engines run in goroutines of their own and report by message. Request
// handlers never wait for the control goroutine: they read the view.
package control
