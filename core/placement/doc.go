// Package placement decides which engines hold which models and adapters.
//
// The catalogue is many times larger than what the engines can hold. A load takes from
// milliseconds (an adapter, a copy in host memory) to many seconds (the weight store, which
// limits its loads). An engine carries out one model order at a time, and the sender of an
// order may never learn its outcome.
//
// The node that holds the placement lease keeps a [Planner]. Its controller passes in the live
// engines ([Planner.SetEngines]), the usage reports of all nodes ([Planner.RecordUsage]), and the
// replies and reports of the engines ([Planner.HandleReply], [Planner.HandleReport]); [Planner.Plan]
// returns the orders and probes that are due. The package does no I/O and reads no clock: the
// caller passes the time to every method.
//
// The planner derives what an engine holds from the engine's reports and the orders it has
// taken since. After a change of lease holder or an unanswered order the engine's state is
// unknown, and it gets no order until it has reported. Every order names the number of orders
// that the engine must have taken before it, so that an engine refuses an order that arrives
// after newer ones.
package placement
