// Package traffic holds the waiting requests and hands out the endpoints.
//
// The problem: requests of many callers wait for few replicas, some of which
// are only loading, and several units share one engine's room; each request
// must get its turn or a refusal in time, and one whose caller went away must
// leave at once. The model: each unit or plain service has a pool with a fair
// queue; each endpoint has a gate, shared by the pools that use it, with what
// this node knows of its room and health. [Dispatcher.Acquire] admits, waits and
// returns a [Slot]; [Slot.Release] gives the place back and lets the next in.
// Queues are pumped when a place comes free, a view shows a new endpoint, or a
// closed gate opens: nothing polls.
//
// One lock guards pools and gates. A node of the largest fleet we design for
// sees some tens of requests a second, and each holds the lock for microseconds.
package traffic
