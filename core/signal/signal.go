package signal

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Said is what one answer of an endpoint says of the endpoint itself.
type Said struct {
	// Limit is how many requests a second the endpoint takes from all nodes together, above 0; 0 where it names
	// none.
	Limit float64
	// Ran is true where the endpoint ran the request. Only such an answer ends a limit by not naming it.
	Ran bool
	// Damaged are the signals that could not be read; they change nothing.
	Damaged []Damage
}

// Damage is a signal whose value could not be read.
type Damage struct {
	// Name is the header's, and Value what it held, shortened to maxShown.
	Name, Value string
}

// Error implements error.
func (d Damage) Error() string {
	return fmt.Sprintf("header %s of an endpoint's answer is %q, want one number above 0", d.Name, d.Value)
}

// maxShown bounds what is kept of a damaged value, in bytes.
const maxShown = 64

// Number reads the values of a header that holds one number above 0; ok is false where it is absent or damaged, and
// damage says why.
func Number(name string, values []string) (v float64, ok bool, damage *Damage) {
	if len(values) == 0 {
		return 0, false, nil
	}
	shown := strings.Join(values, ", ")
	if len(values) == 1 {
		v, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
		if err == nil && v > 0 && !math.IsInf(v, 0) {
			return v, true, nil
		}
	}
	return 0, false, &Damage{Name: name, Value: shown[:min(len(shown), maxShown)]}
}
