package signal

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Signals holds the signals that one answer of an endpoint carries about the endpoint itself.
type Signals struct {
	// Limit is the number of requests per second that the endpoint accepts from all nodes together; 0 if the answer
	// names none.
	Limit float64
	// Draining is true if the endpoint is draining: it accepts no new requests until it stops.
	Draining bool
	// Backoff is how long this node should send the endpoint no requests; 0 if the answer asks for no backoff.
	Backoff time.Duration
	// Brittle is true if the endpoint falls over when it has to turn requests away.
	Brittle bool
	// Ran is true if the endpoint ran the request. Only such an answer ends a limit, or that the endpoint is brittle, by
	// not stating it.
	Ran bool
	// Malformed holds the signals that could not be parsed; they have no effect.
	Malformed []MalformedError
}

// empty reports whether there are no signals.
func (s *Signals) empty() bool {
	return s.Limit == 0 && !s.Brittle && !s.Draining && s.Backoff == 0 && len(s.Malformed) == 0
}

// MalformedError is the error for a signal whose value could not be parsed.
type MalformedError struct {
	// Name is the name of the header, Value its value, and Want describes valid values.
	Name, Value, Want string
}

// Error implements error.
func (d MalformedError) Error() string {
	return fmt.Sprintf("header %s of an endpoint's answer is %q, want %s", d.Name, d.Value[:min(len(d.Value), maxValueBytes)], d.Want)
}

// maxValueBytes bounds how much of a malformed value the error contains, in bytes.
const maxValueBytes = 64

// maxBackoff bounds the backoff that an endpoint may ask for.
const maxBackoff = time.Hour

// ParseBackoff parses the values of a header that holds a backoff in seconds. It returns 0 if the header is absent, and
// 0 with an error if it is malformed.
func ParseBackoff(name string, values []string) (backoff time.Duration, malformed *MalformedError) {
	seconds, malformed := parseNumber(name, values, fmt.Sprintf("a number of seconds from 0 to %v", maxBackoff.Seconds()), func(v float64) bool {
		return v >= 0 && v <= maxBackoff.Seconds()
	})
	return time.Duration(seconds * float64(time.Second)), malformed
}

// ParseNumber parses the values of a header that holds one number above 0. It returns 0 if the header is absent, and 0
// with an error if it is malformed.
func ParseNumber(name string, values []string) (v float64, malformed *MalformedError) {
	return parseNumber(name, values, "one number above 0", func(v float64) bool { return v > 0 && !math.IsInf(v, 0) })
}

// ParseCount parses the values of a header that holds one number of at least 0. present is false if the header is absent
// or malformed; the error is set in the latter case.
func ParseCount(name string, values []string) (present bool, malformed *MalformedError) {
	if len(values) == 0 {
		return false, nil
	}
	_, malformed = parseNumber(name, values, "one number of at least 0", func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) })
	return malformed == nil, malformed
}

// parseNumber parses the values of a header that holds one number for which valid must return true.
func parseNumber(name string, values []string, want string, valid func(float64) bool) (float64, *MalformedError) {
	if len(values) == 0 {
		return 0, nil
	}
	if len(values) == 1 {
		if v, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64); err == nil && valid(v) {
			return v, nil
		}
	}
	return 0, &MalformedError{Name: name, Value: strings.Join(values, ", "), Want: want}
}
