// Package modelcheck holds small models of the system's protocols, to be
// explored exhaustively: each runs the real fold of package ledger on every
// interleaving of a few nodes, an engine or service, and a log.
//
//   - [Placement]: load, takeover and unload with executors that are paused,
//     held for dead by mistake, and orders that arrive late, on an engine that
//     checks fences and on one that ignores them.
//   - [Claims]: claim, release and repeat of a once-only request, with appends
//     that are repeated after lost answers and nodes that die.
//   - [Publish]: two operators who change the same item.
//   - [Snapshots]: a node that boots while the log is trimmed.
//
// Each model names the guards it rests on. A guard can be switched off, and the
// tests show that the exploration then finds the fault: a check that cannot
// fail proves nothing.
package modelcheck
