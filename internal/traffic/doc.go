// Package traffic admits requests, queues them and assigns them to endpoints.
//
// Requests of many callers wait for few replicas, some of which are still loading, and several units may share the
// capacity of one engine. Each request must get a slot or a refusal before its deadline, and a request whose caller
// has gone away must leave the queue at once.
//
// Each unit or plain service has a pool with a fair queue. Each endpoint has an endpointState, shared by all pools
// that use the endpoint, which records what this node knows of its capacity, health and reported limits.
// [Dispatcher.Acquire] checks the deadline and the retry budget, waits in the pool's queue and returns a [Slot].
// [Slot.Release] returns the slot and grants it to the next request. Queues are served when a slot is released, when
// a new view adds an endpoint, and by a timer when an endpoint becomes available again; nothing polls.
//
// The caller-facing server (package caller) acquires slots; the control side publishes views with
// [Dispatcher.Update], exchanges endpoint signals with other nodes, and reads demand with [Dispatcher.Reports] and
// [Dispatcher.Usage].
//
// One mutex guards all pools and endpoint states. A node of the largest fleet that the design covers handles some
// tens of requests a second, and each holds the mutex for microseconds.
package traffic
