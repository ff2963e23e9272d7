// Package isolation keeps requests under which engines end from the engines of one node's
// traffic.
//
// The problem: attempts, peers and the store each learn of such requests on goroutines of
// their own, and every attempt must know at once what is known. The model: a [Guard] holds the
// node's registry and tracker (core/quarantine) behind one lock. Traffic asks it before each
// sending and tells it what became of each; the control side takes what changed from it
// for the other nodes and the store, and merges what these say.
//
// That an engine has ended, and not only a connection, is found out by opening a connection to
// it: a process that is gone refuses.
package isolation
