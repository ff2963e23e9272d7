// Package oncekey reads the keys of requests that may not be repeated.
//
// A key is a UUID version 7 (RFC 9562), because it carries the time it was made:
// the claims of old keys can be forgotten and an old key still be told from a
// new one. See package ledger for why that is safe whatever the clocks say.
package oncekey

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"

	"olivetiller/core/ledger"
	"olivetiller/core/refusal"
)

// MaxFuture is how far a key's time may lie ahead of the node's clock.
const MaxFuture = time.Minute

// Key is a checked request key.
type Key struct {
	// ID is the digest under which the request is claimed. It covers the
	// caller, so no caller can meet another's key.
	ID ledger.ClaimID
	// Time is the time inside the key.
	Time time.Time
}

// Parse checks a caller's key against the node's clock.
func Parse(caller, raw string, now time.Time) (Key, error) {
	if raw == "" {
		return Key{}, refusal.New(refusal.KeyMissing, "the request may not be repeated and has no key")
	}
	id, err := uuid.Parse(raw)
	if err != nil || id.Version() != 7 {
		return Key{}, refusal.New(refusal.KeyInvalid, "%q is not a UUID version 7", raw)
	}
	sec, nsec := id.Time().UnixTime()
	at := time.Unix(sec, nsec)
	if at.After(now.Add(MaxFuture)) {
		return Key{}, refusal.New(refusal.KeyInvalid, "the key's time lies %s ahead", at.Sub(now).Round(time.Second))
	}
	if at.Before(now.Add(-ledger.ClaimWindow)) {
		return Key{}, refusal.New(refusal.KeyExpired, "the key is %s old, the window %s", now.Sub(at).Round(time.Second), ledger.ClaimWindow)
	}
	return Key{ID: sha256.Sum256([]byte(caller + "\x00" + id.String())), Time: at}, nil
}
