// Package catalog validates, indexes and compares the configuration that operators
// publish.
//
// A configuration is accepted or rejected as a whole and by every node alike, and
// an operator whose configuration is rejected learns all its faults at once.
// [Check] therefore collects every fault, each with the path of the item, the
// problem and the remedy. [New] indexes a valid configuration by unit. A unit is a
// base model or an adapter: callers name both in the same way, and both are loaded,
// placed and unloaded in the same way. [Diff] returns the difference of two
// configurations, and [Merge] applies it, so that the log carries only the items
// that differ.
//
// The package reads no clock, does no I/O and starts no goroutines.
package catalog
