// Package catalog checks and indexes the configuration that operators publish.
//
// The problem: a configuration is accepted or refused whole, everywhere, by
// every node alike, and an operator who is refused must learn every fault at
// once. The model: [Check] collects faults without stopping at the first, each
// with the path of the item, the problem and the remedy. [New] indexes a
// checked configuration by unit, where a unit is a base model or an adapter:
// callers name both alike, and both are loaded, placed and unloaded alike.
// [Diff] and [Merge] turn two configurations into a change and back, so that
// the log carries only the items that differ.
//
// Everything here is pure: no clock, no I/O, no goroutines.
package catalog
