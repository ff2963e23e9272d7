package logstore

import "fmt"

// Reason states why a record was skipped.
type Reason string

// Reasons.
const (
	// Unreadable means that the bytes are not a record.
	Unreadable Reason = "unreadable"
	// Missing means that a required field is absent, WrongType that a field has a value of the wrong type.
	Missing   Reason = "missing"
	WrongType Reason = "wrongType"
	// Invalid means that a value of the right type is invalid, such as an unknown state, a negative number
	// of slots or an address at which nobody can listen.
	Invalid Reason = "unnamed"
)

// Fault is the error of a record that was skipped. The other records of its page are valid.
type Fault struct {
	Reason Reason
	// Field is the name of the invalid field; empty if the whole record is invalid.
	Field string
	Cause error
	// Remedy states what the operator should do.
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
