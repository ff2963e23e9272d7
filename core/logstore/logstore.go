// Package logstore defines what a node reads from the platform's log store and how a call to the store can fail.
//
// A call without an answer may have taken effect, or may still do so; a refused one certainly has no effect. Every
// failure is an [Error] whose [Kind] states which of these applies. A [Page] holds the records of one read in
// order, each with its position. The values that records decode to are defined here too.
package logstore

import (
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/quarantine"
	"olivetiller/core/route"
)

// Kind states how a call failed.
type Kind uint8

// Kinds of failures.
const (
	// Refused means that the call had no effect.
	Refused Kind = iota + 1
	// NoAnswer means that the call may have had an effect, or may still have one.
	NoAnswer
	// Moved means that an append had no effect because the topic did not end at the expected position.
	Moved
	// Dropped means that a read began before the first record that the store still keeps.
	Dropped
	// Restored means that the call named a position of an earlier era, because the store was restored from a
	// backup since. An append may have had an effect: its record is then in the new era, marked with the old one.
	Restored
)

var kindNames = map[Kind]string{
	Refused: "the store refused the call", NoAnswer: "the store did not answer",
	Moved: "another record came first", Dropped: "the records asked for are no longer kept",
	Restored: "the store has come back from an older copy",
}

// Error is a failed call to the store.
type Error struct {
	Kind Kind
	// End is the position of the topic's end if Kind is Moved.
	End uint64
	// First is the position of the first record kept if Kind is Dropped, and the beginning of the new era if
	// Kind is Restored.
	First uint64
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return kindNames[e.Kind] + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Record is a decoded record with its position.
type Record[T any] struct {
	// Offset is the record's position (see package position), like all positions in this package.
	Offset uint64
	Value  T
}

// Page is the result of one read.
type Page[T any] struct {
	// Records are ordered by position. Records that are of no interest to a node are left out.
	Records []Record[T]
	// Next is the position at which the next read continues.
	Next uint64
	// First is the position of the first record that the store keeps, End the position after the last one.
	First, End uint64
	// Damaged holds the records that could not be decoded, ordered like Records.
	Damaged []Damaged
}

// Damaged is a record that could not be decoded, with its position.
type Damaged struct {
	Offset uint64
	Err    error
}

// Error implements error.
func (d Damaged) Error() string { return d.Err.Error() }

// Unwrap returns the cause.
func (d Damaged) Unwrap() error { return d.Err }

// UnreadableConfig is the error of a configuration that could not be decoded.
type UnreadableConfig struct{ Cause error }

// Error implements error.
func (e *UnreadableConfig) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreadableConfig) Unwrap() error { return e.Cause }

// Config is a record of the operators' topic: a configuration, or the evacuation of a data hall.
type Config struct {
	// Table is the configuration; nil if the record is an evacuation.
	Table *route.Table
	// Evacuation is nil if the record is a configuration.
	Evacuation *Evacuation
}

// Evacuation begins or ends the evacuation of a data hall, whose endpoints get no requests while it is on.
type Evacuation struct {
	Hall string
	On   bool
}

// Instance is a change of the list of endpoints.
type Instance = directory.Record

// Verdict is the stored state of a request that is suspected of crashing engines. It is stored so that a fleet that
// restarts completely still knows it.
type Verdict struct {
	Request quarantine.Fingerprint
	// Epoch and Trials are as in quarantine.Entry.
	Epoch  uint32
	Trials int
	// Age is the time since the verdict was given, or since the latest trial began.
	Age time.Duration
	// Released is true if the request was released from quarantine; the epoch began then.
	Released bool
}
