// Package lease implements the leader lease: it decides which node may send orders to engines.
//
// At most one node may do so at a time, although nodes crash, freeze and are partitioned from the
// platform, and although an append to the log may take effect late or without an acknowledgement.
//
// The lease is kept in one topic of the platform's log. Every append to it is conditional on the end
// of the topic that its writer has read, so of two competing writers one is refused. The holder
// appends a renewal every [RenewEvery]. Every other node measures on its own monotonic clock the time
// since the latest renewal that it has read, and takes over only after [TTL] without one. The holder
// counts its term from before it sent the renewal and stops [Margin] earlier than the others may take
// over. The position after the takeover's record is the fencing number. It only rises, also when the
// log is restored from an older backup, since a position includes the log's era (see package
// position). A record is valid only in the era in which it was sent; in an era in which nobody has
// written yet, a node that does not hold the lease waits [TTL] before it takes over.
//
// [Lease] is the state machine of the lease. [Outage] decides whether a holder whose lease has
// expired may continue because the store is unreachable. Both are pure: the controller on each node
// does the I/O, and passes in records, results of appends and the time.
package lease
