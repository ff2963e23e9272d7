// Package placement decides which engine holds which models and adapters.
//
// The problem: the catalogue is many times larger than what the engines hold, a
// load takes from some milliseconds (an adapter, a copy in memory) to many
// seconds (the weight store, which bounds its loads), an engine carries out one
// order at a time, and what an order came to may never be told. The model: the
// one node that holds the lease keeps a [Planner]. It folds in the list of
// engines, the nodes' reports of use, and the engines' replies and reports, and
// [Planner.Plan] returns the orders that are due. Nothing here does I/O or reads
// a clock.
//
// What an engine holds is known from its reports and the orders that it took
// since; an engine whose state is in doubt (a new holder, an order without an
// answer) gets no order until it has reported. Every order names the number of
// orders that the engine must have taken before, so that one carried out late,
// after newer ones, is refused by the engine.
package placement
