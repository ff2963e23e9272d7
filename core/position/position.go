// Package position orders places in the topics of the platform's log store across the store's eras.
//
// The store may be restored from a backup that is some seconds old. Records that it had acknowledged since then are
// lost, and it assigns their offsets again. An offset alone then no longer tells which of two records is newer,
// whether a record was read already, or which of two fencing numbers is higher. Each restore therefore begins a
// new era. A [Position] combines era and offset into one number: every position of an era is greater than all
// positions of earlier eras. An append at a position of an earlier era never counts, whatever the store did with it.
package position

import "fmt"

// Position is a place in a topic: the era in the upper bits, the offset in the lower ones. The zero value is the
// beginning of a store that was never restored.
type Position = uint64

// Sizes of the parts of a position in bits. Together they keep a position, and a fencing number derived from it, below
// 2^53, which every number format on the wire can represent.
const (
	offsetBits = 40
	eraBits    = 12
)

// Greatest era and offset that a position can represent: 4,095 restores, and 30 years of 1,000 records a second.
const (
	MaxEra    = 1<<eraBits - 1
	MaxOffset = 1<<offsetBits - 1
)

// RangeError is returned for an era or offset of the store that exceeds the range of a position.
type RangeError struct{ Era, Offset uint64 }

// Error implements error.
func (e RangeError) Error() string {
	return fmt.Sprintf("era %d and offset %d of the store exceed the maxima %d and %d; begin with a new store", e.Era, e.Offset, MaxEra, MaxOffset)
}

// Of returns the position of an offset in an era, or a [RangeError].
func Of(era, offset uint64) (Position, error) {
	if era > MaxEra || offset > MaxOffset {
		return 0, RangeError{era, offset}
	}
	return era<<offsetBits | offset, nil
}

// Begin returns the first position of an era, which must be in the range that [Of] accepts.
func Begin(era uint64) Position { return era << offsetBits }

// Era returns the era of a position.
func Era(p Position) uint64 { return p >> offsetBits }

// Offset returns the offset of a position within its era.
func Offset(p Position) uint64 { return p & MaxOffset }
