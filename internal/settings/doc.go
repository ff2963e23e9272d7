// Package settings reads the INI file that a node or a stand-in is started with.
//
// The problem: a process learns its addresses and data hall from its settings,
// and a misspelt key must not be silently ignored. The model: a [Table] lists
// every key with its default, unit and meaning and where its value goes. [Read]
// fills the values, collects every fault with its line, and names the nearest
// known key for an unknown one.
package settings
