// Package once runs requests that must run at most once, such as the creation of a
// catalogue entry or of a print job ticket. The caller gives such a request a key.
//
// A request must not run twice even if the caller repeats it through another node,
// the node that ran it crashes, or the log is unavailable. The key is therefore
// claimed on the log, and the request is sent to its endpoint only after
// the accepted claim was read back. The run belongs to the claim and not to the
// caller's connection: it continues if the caller disconnects. Whoever repeats the
// request with the same key, at any node, gets the same answer, or a refusal that
// states whether the request ran, did not run or may have run.
//
// [Coordinator.Do] is called by the handler of callers' requests (io/caller),
// [Coordinator.Fetch] by the handler of peers' requests.
package once
