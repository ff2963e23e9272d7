// Package quarantine decides which requests are kept from engines, because engines end
// under them.
//
// The problem: a request may end each engine that begins it, and it comes again at any
// node. Where nothing of it is remembered, one such request ends engine after engine, each with all
// that runs there. But an end of an engine has many suspects, of which at most one did it, and
// engines also end for other reasons: who counts ends alone refuses proper requests.
//
// The model: a request is named by its [Fingerprint], the same for each of its caller's tries at every
// node. A [Tracker] knows which requests run where; when an engine has ended, each that it ran
// is blamed, with how long it had run. A [Registry] joins the blames of all nodes and holds, for each
// request, a [State]. It weighs the blames against each other: an end that is explained by another request, by
// many ends at once or by a long run says little, two ends soon after the beginning say nearly all.
// A good answer clears. What is known is exchanged as [Entry] values, which join in any order, any
// number of times, to the same state.
//
// Nothing here does I/O or reads a clock; time comes in as an argument.
package quarantine
