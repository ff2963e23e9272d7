// Package signal keeps what endpoints report about themselves in their answers: a rate limit, that they are draining,
// that they fall over when they have to turn requests away (brittle), or that they want no requests for a while
// (backoff).
//
// An overloaded endpoint signals that in its answers seconds before the endpoint list or the lease holder reports it,
// and the signal binds every node that received such an answer. The adapter of each protocol decodes the header of an
// answer once, into a [Signals]. A [Registry] keeps the latest signals of each incarnation of an endpoint; the code
// that picks an endpoint consults it, and does so again right before a request is sent. Nodes exchange what they
// received as [Report] values. A new incarnation starts without signals, but is as brittle as the one before.
//
// Answers are applied in the order of their arrival, with one exception: an answer without a limit ends a limit only
// if its request was sent after the limit was last received, and the same holds for brittle. Answers to requests that
// were already in flight do not end them.
package signal
