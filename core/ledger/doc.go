// Package ledger is the replicated state machine of the control plane. Applying
// the records of the log yields the decided state: the registered engines, the
// placements of units (models and adapters), the configuration in force and the
// claims of once-only requests.
//
// The package guarantees that no more replicas are loaded than were decided, no
// engine's memory is overcommitted, no once-only request is claimed twice and
// no accepted configuration is lost, although a burst for a cold model reaches
// every node at once, executors crash or pause during a load, acknowledgements
// of the log are lost after the append took effect, and operators publish
// concurrently.
//
// A record is a proposal. [State.Apply] accepts or rejects it at its offset
// against the state so far, and the first valid proposal wins. Applying reads
// no clock, draws no random number and does no I/O, so every node that applies
// the same records is in the same state; the offset order of the log is the
// only agreement that the nodes need. The tests call the applied sequence of
// records a history.
//
// The rules, each with the guard that enforces it:
//
//   - a record is applied once, however often it was appended (GuardRepeat);
//   - a load is accepted while fewer replicas exist than the load wants and the
//     configuration allows (GuardReplicas), and while the engine's accounted
//     memory stays within its capacity (GuardMemory); it stays queued until the
//     weight store has a free load slot (GuardSlots);
//   - the outcome of an order is accepted only with the order's own fence
//     (GuardFence), so an executor whose order was replaced cannot report;
//   - a replica whose engine may still receive an earlier order stays accounted
//     in quarantine (GuardQuarantine);
//   - a claim is given once, and never for a key older than the window after
//     which claims are deleted (GuardClaim);
//   - a configuration is accepted only on top of the revision it was made for
//     (GuardRevision).
//
// A guard can be switched off through [State.DisabledGuards]. Only model checking
// does so, to show that the checker finds the fault that the guard prevents.
package ledger
