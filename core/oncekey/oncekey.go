// Package oncekey parses the keys of requests that must run at most once.
//
// A key is a UUID version 7 (RFC 9562), which contains its creation time. Claims of old keys can therefore be deleted:
// a request with an old key is still distinguished from one with a new key. Package ledger explains why this is safe
// whatever the clocks show. Package io/caller parses the key of each such request.
package oncekey

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"

	"olivetiller/core/ledger"
	"olivetiller/core/refusal"
)

// MaxFuture is how far the time in a key may be ahead of the node's clock.
const MaxFuture = time.Minute

// Key is a validated request key.
type Key struct {
	// ID is the digest under which the request is claimed. It includes the caller's name, so that equal keys of
	// different callers do not collide.
	ID ledger.ClaimID
	// Time is the creation time that the key contains.
	Time time.Time
}

// Parse validates a caller's key at the time now. For an invalid key it returns a refusal: KeyMissing for an empty key,
// KeyInvalid for a key that is not a UUID version 7 or is too far in the future, and KeyExpired for a key older than
// ledger.ClaimWindow.
func Parse(caller, raw string, now time.Time) (Key, error) {
	if raw == "" {
		return Key{}, refusal.New(refusal.KeyMissing, "the request must run at most once but has no key")
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
