// Package modelcheck holds small models of the replicated log's protocols for exhaustive
// exploration with package explore. A model applies records with the product's own state machine
// (core/ledger) on every interleaving of two nodes or operators, an engine or service, and a log.
// Its callers are the tests and the model command of olivebench.
//
//   - [Placement]: loading, takeover and unloading of replicas by executors that pause, are wrongly
//     declared dead, or whose orders arrive late; on an engine that rejects orders with a stale
//     fence, and on one that ignores fences.
//   - [Claims]: claiming, releasing and repeating a once-only request, with appends that are
//     duplicated after a lost answer and nodes that die.
//   - [Publish]: two operators who change the same configuration item.
//   - [Snapshots]: a node that boots from a snapshot while the log is trimmed.
//
// Each model lists the guards that its safety depends on. The tests switch each guard off and
// require that the exploration then finds a violation, which shows that the checks can fail.
package modelcheck
