package logstore

import "fmt"

// Reason says why a record was passed over.
type Reason string

// The reasons.
const (
	// Unreadable bytes are no record at all.
	Unreadable Reason = "unreadable"
	// Missing and WrongType are of a field that lacks, or holds what it never holds.
	Missing   Reason = "missing"
	WrongType Reason = "wrongType"
	// Unnamed is a value that means nothing: an unknown state, an address of nobody.
	Unnamed Reason = "unnamed"
)

// Fault is why a record was passed over; the others of its page hold.
type Fault struct {
	Reason Reason
	// Field is the record's field at fault; "" for the whole record.
	Field string
	Cause error
	// Remedy says what to do.
	Remedy string
}

// Error implements error.
func (f *Fault) Error() string {
	s := string(f.Reason)
	if f.Field != "" {
		s += " field " + f.Field
	}
	if f.Cause != nil {
		s += fmt.Sprintf(": %v", f.Cause)
	}
	return s + "; " + f.Remedy
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Cause }
