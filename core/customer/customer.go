package customer

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
)

// digestBytes is the length of the prefix of a key's hash that is kept. Among a million keys, the probability that
// two share it is below 1 in 10^26.
const digestBytes = 16

// Digest identifies a key without revealing it: the first bytes of its SHA-256 hash.
type Digest [digestBytes]byte

// maxStackKey is the length in bytes up to which a key is hashed without an allocation.
const maxStackKey = 128

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	var buf [maxStackKey]byte
	sum := sha256.Sum256(append(buf[:0], key...))
	return Digest(sum[:digestBytes])
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(digestBytes) {
		return fmt.Errorf("the digest of a key must have %d hexadecimal digits, got %d", hex.EncodedLen(digestBytes), len(text))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Unit is the unit in which a limit counts requests.
type Unit uint8

// Possible units.
const (
	// Requests counts 1 for each request.
	Requests Unit = iota
	// Tokens counts the input and output tokens of a request.
	Tokens
)

// Limit is a token-bucket rate limit on what a customer may send to all nodes together.
type Limit struct {
	// Rate is in units per second, and Burst, in units, is what may be sent at once on top of it. A rate of 0 means
	// no limit.
	Rate, Burst float64
	Unit        Unit
	// PlainTokens is the cost of a request without token counts, if the unit is Tokens.
	PlainTokens float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Cost returns the cost of a request in units of the limit; in and out are its numbers of tokens, and stated is false
// if it states none.
func (l Limit) Cost(in, out int, stated bool) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case !stated:
		return l.PlainTokens
	}
	return float64(max(0, in)) + float64(max(0, out))
}

// Customer is one entry of a version of the configuration.
type Customer struct {
	// Name identifies the customer to engines.
	Name string
	// Keys holds the digests of the customer's keys. Without any, nobody can send requests as this customer.
	Keys []Digest
	// Priority overrides the priority of the route if Ranked is set; 0 is the most urgent.
	Priority int
	Ranked   bool
	Limit    Limit
	// Regions are the regions that may serve the customer's requests; empty means all.
	Regions []string
}

// InvalidError is the error for an invalid customer.
type InvalidError struct {
	// Customer is the customer's name; Error shortens it.
	Customer string
	Problem  string
}

// Error implements error.
func (f InvalidError) Error() string { return fmt.Sprintf("customer %.40q: %s", f.Customer, f.Problem) }

// check validates a customer on its own.
func (c *Customer) check() error {
	switch l := c.Limit; {
	case c.Name == "":
		return InvalidError{"", "the name is empty; set one"}
	case !validHeaderValue(c.Name):
		return InvalidError{c.Name, "the name is not a valid header value; use printable ASCII characters, and no space at either end"}
	case c.Ranked && c.Priority < 0:
		return InvalidError{c.Name, fmt.Sprintf("the priority is %d; use 0, the most urgent, or more", c.Priority)}
	case !validAmount(l.Rate):
		return InvalidError{c.Name, fmt.Sprintf("the rate is %v; use a finite number of 0 or more", l.Rate)}
	case !validAmount(l.Burst):
		return InvalidError{c.Name, fmt.Sprintf("the burst is %v; use a finite number of 0 or more", l.Burst)}
	case !validAmount(l.PlainTokens):
		return InvalidError{c.Name, fmt.Sprintf("the cost of a request without token counts is %v; use a finite number of 0 or more", l.PlainTokens)}
	}
	return nil
}

// validAmount reports whether a number is finite and not negative.
func validAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// validHeaderValue reports whether a name, which must not be empty, can be a header value without escaping.
func validHeaderValue(name string) bool {
	if name[0] == ' ' || name[len(name)-1] == ' ' {
		return false
	}
	for _, b := range []byte(name) {
		if b < ' ' || b > '~' {
			return false
		}
	}
	return true
}

// Index finds customers by key and by name. It is immutable.
type Index struct {
	keys  map[Digest]*Customer
	names map[string]*Customer
}

// NewIndex validates customers and returns their index. The error joins an [InvalidError] for each invalid one: a
// version with any of them is rejected as a whole.
func NewIndex(customers []Customer) (*Index, error) {
	x := &Index{keys: make(map[Digest]*Customer), names: make(map[string]*Customer, len(customers))}
	var faults []error
	for i := range customers {
		c := &customers[i]
		if err := c.check(); err != nil {
			faults = append(faults, err)
			continue
		}
		if x.names[c.Name] != nil {
			faults = append(faults, InvalidError{c.Name, "another customer has this name; use unique names"})
			continue
		}
		x.names[c.Name] = c
		for _, k := range c.Keys {
			if other := x.keys[k]; other != nil && other != c {
				faults = append(faults, InvalidError{c.Name, fmt.Sprintf("one of its keys also belongs to customer %.40q; assign each key to one customer", other.Name)})
			}
			x.keys[k] = c
		}
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return x, nil
}

// ByKey returns the customer that a key belongs to, or nil. It does not allocate.
func (x *Index) ByKey(k Digest) *Customer { return x.keys[k] }

// ByName returns the customer with a name, or nil.
func (x *Index) ByName(name string) *Customer { return x.names[name] }
