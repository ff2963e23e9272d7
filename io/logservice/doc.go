// Package logservice speaks to the platform's append-only log.
//
// The problem: the log has outages, keeps records for a limited time, takes
// only several hundred appends a second, and loses answers after the append
// took effect. The model: [Client] is the protocol and nothing else, so that it
// can be replaced alone. [Appender] groups the records of a node into appends,
// one in flight at a time, and repeats an append until it is answered; the fold
// discards the repeats by their sequence numbers. [Tail] reads on from an
// offset and waits for more.
//
// The protocol: POST /streams/{stream}/records with the record as body answers
// {"offset": n}; GET /streams/{stream}/records?from=&max=&waitMs= answers
// {"earliest", "next", "records": [{"offset", "data"}]}, data in base64.
package logservice
