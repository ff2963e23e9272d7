// Package quarantine decides which requests are no longer sent to engines, because engines crash while they run them.
//
// A request may crash each engine that begins it, and clients retry it at any node. Unless nodes remember it, one
// such request crashes engine after engine, each with all requests that run there. But a crash has many suspects, of
// which at most one caused it, and engines also crash for other reasons: counting crashes alone would refuse harmless
// requests.
//
// A request is identified by its [Fingerprint], which is the same for all attempts of one caller at all nodes. A
// [Tracker] knows which requests run on which engines; when an engine has crashed, each request that it ran becomes a
// suspect, with a [Suspicion] that states how long it had run. A [Registry] collects the suspicions of all nodes and
// keeps a [State] for each request, from the probability that the request crashes engines. A crash that is explained by
// another suspect, by many simultaneous crashes or by a long run raises the probability little; two crashes soon after
// the request began raise it almost to 1. A successful answer clears the request. Nodes exchange what they know as
// [Entry] values, whose merge is commutative, associative and idempotent.
//
// The package is used through the guard in internal/isolation. It does no I/O and reads no clock; the time is passed
// in.
package quarantine
