// Package ledger is the deterministic fold of the records on the log: what the
// system has decided.
//
// The problem: a burst for a cold model reaches every node at once, executors
// die or pause while a load runs, answers of the log are lost after the append
// took effect, and operators race. Still no more replicas may be loaded than
// were decided, no engine's memory overcommitted, no once-only request claimed
// twice, and no accepted configuration lost.
//
// The model: a record is a proposal. [State.Apply] accepts or rejects it at
// its offset against the state so far, and the first valid proposal wins. The
// fold reads no clock, draws no random number and does no I/O, so every node
// that folds the same records is in the same state; the offset order of the
// log is the only agreement there is.
//
// The rules, each with the guard that enforces it:
//
//   - a record is folded once, however often it was appended (GuardRepeat);
//   - a load is accepted while fewer replicas exist than it wants and the
//     configuration allows (GuardReplicas) and while the engine's accounted
//     memory stays within its capacity (GuardMemory); it waits in the ledger
//     until the weight store has a free load slot (GuardSlots);
//   - the outcome of an order counts only under the fence it was ordered with
//     (GuardFence), so the word of an executor that lost its order is void;
//   - a replica whose engine may still receive a late order stays accounted
//     (GuardQuarantine);
//   - a claim is given once, and never for a key older than the window after
//     which claims are forgotten (GuardClaim);
//   - a configuration is accepted only on top of the revision it was made for
//     (GuardRevision).
//
// A guard can be switched off through [State.Off], only to show that the model
// checking of the package finds the fault that the guard prevents.
package ledger
