package origin

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"time"

	"olivetiller/core/directory"
)

// Key identifies a stream. It is a hash, so that it has the same size whatever ids callers choose.
type Key [16]byte

// KeyOf returns the key of the stream whose first event was brought by the request with an id, sent by a customer to a
// host. The customer is "" if nobody was authenticated. Callers choose the ids: two customers that choose the same one
// have different keys.
func KeyOf(customer, host, id string) Key {
	h := sha256.New()
	for _, part := range []string{customer, host, id} {
		// The length separates the parts. A write to a hash does not fail.
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return Key(h.Sum(nil)[:len(Key{})])
}

// String returns the key in the form in which it is sent.
func (k Key) String() string { return base64.RawURLEncoding.EncodeToString(k[:]) }

// MarshalText implements [encoding.TextMarshaler].
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (k *Key) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(raw) != len(k) {
		return fmt.Errorf("%.40q is not the key of a stream; want %d bytes in base64", text, len(k))
	}
	*k = Key(raw)
	return nil
}

// Owner identifies the customer of a stream, for limits by customer.
type Owner uint32

// Origin is where a stream began.
type Origin struct {
	Service string
	Build   directory.Build
}

// String returns the origin for logs and refusals.
func (o Origin) String() string { return fmt.Sprintf("build %q of service %s", o.Build, o.Service) }

// MaxAge is how long after its first event a stream may be taken up. It bounds the deadlines that callers state.
const MaxAge = time.Hour

// Record states where a stream began.
type Record struct {
	Key Key
	Origin
	Owner Owner
	// Expires is when the caller gives up, and the record with it.
	Expires time.Time
	// Ambiguous is true if streams of different origins began under one key, so that Origin is that of one of them.
	Ambiguous bool
}
