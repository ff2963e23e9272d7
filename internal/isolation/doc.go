// Package isolation protects the engines of one node's traffic from requests that crash them.
//
// Attempts, peers and the store learn of such requests on separate goroutines, and every attempt must act at once on
// all that is known. A [Guard] therefore holds the node's registry and tracker (core/quarantine) behind one lock. The
// traffic side asks it before each attempt and reports the result of each attempt to it; the control side fetches the
// changed entries for the other nodes and the store, and merges those that it receives.
//
// A broken connection does not tell whether the engine has crashed. The guard finds out by opening a new connection,
// which the host refuses if the process is gone.
package isolation
