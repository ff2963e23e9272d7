// Package origins tells where the streams began that callers take up.
//
// A [Tracker] keeps the records of the streams that its node began, sends copies to a few other nodes, and keeps copies of
// theirs. It sends a copy after the first event of a stream, which it does not hold back, and again every refreshEvery while
// the stream is in progress, since the nodes that keep copies start again or are replaced. A record that no node has is
// concluded from the ledger of builds where that names only one, and otherwise is unknown.
//
// Package origin (core) decides; this package does the I/O. It implements [caller.Origins] for the server of callers and
// [peer.OriginKeeper] for that of other nodes.
package origins
