// Package traffic holds the waiting requests and hands out the endpoints.
//
// The problem: requests of many callers wait for few replicas, some of which
// are only loading; each must get its turn or a refusal in time, and a request
// whose caller went away must leave at once. The model: each unit or plain
// service has a [pool] with a fair queue and the node's view of its endpoints.
// [Dispatcher.Acquire] admits, waits and returns a [Slot]; [Slot.Release] gives
// the place back and lets the next in. The queue is pumped whenever a place
// comes free or a new view shows a new endpoint: nothing polls.
package traffic
