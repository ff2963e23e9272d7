// Package logservice is the client of the platform's append-only log.
//
// The log has outages, retains records for a limited time, accepts only several hundred appends per second, and may
// lose the answer to an append that took effect. [Client] implements only the protocol, so that it can be replaced on
// its own. [Appender] batches the records of a node, with one append in flight at a time, and repeats an append until
// it is confirmed; the replicated state machine (core/ledger), which applies the records, discards duplicates by their
// sequence numbers. [Tail] reads a stream from an offset and waits for more. Package internal/control uses all three.
//
// The protocol: POST /streams/{stream}/records with the record as the body answers {"offset": n}.
// GET /streams/{stream}/records?from=&max=&waitMs= answers
// {"earliest", "next", "records": [{"offset", "data"}]} with data in base64.
package logservice
