// Package quarantinelab simulates requests that crash the engines that run them, in virtual time.
// It measures how many engines such a request crashes until it is quarantined, how many harmless
// requests are refused by mistake, and how much traffic between nodes this takes. The same seed
// gives the same figures. Its callers are the quarantine command of olivebench and the tests.
//
// The simulation is an event loop over arrivals, runs, crashes of engines and messages. Engines and
// messages are modelled: how long a run, a report and a push take, and which messages are lost.
// Every decision about suspicions and verdicts is made by a registry and a tracker
// (core/quarantine) for each node, as in a running node. One node, the lease holder, merges the
// suspicions of all nodes; while there is none, the nodes exchange them with each other. The figures
// need many series of requests, and engines that crash for other reasons and nodes that pause, are
// replaced or lose their lease holder at the same time.
package quarantinelab
