// Package origin remembers at which service and build each stream began, so that it goes on only there.
//
// What two builds of an endpoint's software write does not fit together, and engines do not check it. A stream that
// breaks off goes on within its answer, or its caller takes it up later with a new request, at any node, by naming the
// request that brought its first event. The node that began the stream may be gone by then.
//
// A [Registry] holds a [Record] of each stream that a node has begun, and copies of records of other nodes. Each record
// has copies at the first nodes of [Order], a rendezvous over the stream's key, whose data halls differ where possible.
// The node that takes a stream up asks those nodes. Records are sent after the first event and never change, so that a
// record is never wrong, only missing.
//
// A node that finds no record must not guess. [Ledger] lets it conclude the origin where only one is possible: it names
// the builds at which streams may have begun, and is kept durably by the lease holder. No stream begins at a build before
// the ledger names it, so that a later read of the ledger names the builds of all streams in progress.
//
// Package internal/origins sends and asks for records, and package internal/placer keeps the ledger.
package origin
