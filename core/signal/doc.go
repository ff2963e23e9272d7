// Package signal keeps what endpoints say of themselves in their answers.
//
// The problem: an endpoint in need says so in the answers that it gives, seconds before the list of endpoints or
// the holder of the lease tells it, and what it says binds every node that passed such an answer on. The model: the
// adapter of a protocol decodes each answer's head once, into a [Said]; a [Book] keeps for each life of an endpoint
// what it said last, and everything that picks an endpoint asks the book, and again right before a request's bytes
// leave. A life that is new has said nothing.
//
// Answers count in the order in which they came, but for one: that a limit is no longer named counts only in the
// answer to a request that was sent after the limit was last named, so that what was under way from before does not
// end it.
package signal
