package signal

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Said is what one answer of an endpoint says of the endpoint itself.
type Said struct {
	// Limit is how many requests a second the endpoint takes from all nodes together, above 0; 0 where it names
	// none.
	Limit float64
	// Leaving is true where the endpoint takes no new requests for as long as it lives.
	Leaving bool
	// Rest is for how long the endpoint wants nothing from this node; 0 where it does not say so.
	Rest time.Duration
	// Ran is true where the endpoint ran the request. Only such an answer ends a limit by not naming it.
	Ran bool
	// Damaged are the signals that could not be read; they change nothing.
	Damaged []Damage
}

// silent reports whether nothing is said.
func (s *Said) silent() bool { return s.Limit == 0 && !s.Leaving && s.Rest == 0 && len(s.Damaged) == 0 }

// Damage is a signal whose value could not be read.
type Damage struct {
	// Name is the header's, Value what it held, and Want what it may hold.
	Name, Value, Want string
}

// Error implements error.
func (d Damage) Error() string {
	return fmt.Sprintf("header %s of an endpoint's answer is %q, want %s", d.Name, d.Value[:min(len(d.Value), maxShown)], d.Want)
}

// maxShown bounds what is shown of a damaged value, in bytes.
const maxShown = 64

// mostRest bounds the rest that an endpoint may ask for.
const mostRest = time.Hour

// Rest reads the values of a header that holds a rest in seconds; 0 where it is absent or damaged, and damage says why.
func Rest(name string, values []string) (rest time.Duration, damage *Damage) {
	seconds, damage := read(name, values, fmt.Sprintf("a number of seconds from 0 to %v", mostRest.Seconds()), func(v float64) bool {
		return v >= 0 && v <= mostRest.Seconds()
	})
	return time.Duration(seconds * float64(time.Second)), damage
}

// Number reads the values of a header that holds one number above 0; 0 where it is absent or damaged, and damage says
// why.
func Number(name string, values []string) (v float64, damage *Damage) {
	return read(name, values, "one number above 0", func(v float64) bool { return v > 0 && !math.IsInf(v, 0) })
}

// read reads the values of a header that holds one number, which must be valid.
func read(name string, values []string, want string, valid func(float64) bool) (float64, *Damage) {
	if len(values) == 0 {
		return 0, nil
	}
	if len(values) == 1 {
		if v, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64); err == nil && valid(v) {
			return v, nil
		}
	}
	return 0, &Damage{Name: name, Value: strings.Join(values, ", "), Want: want}
}
