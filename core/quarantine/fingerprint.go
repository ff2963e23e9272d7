package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
)

// Digest is a hash of a request's content. Requests with equal digests are repeats of one request.
type Digest [sha256.Size]byte

// DigestOf hashes a request. Target is what the request addresses (a unit, a service or a host) in a form that does
// not change with the configuration.
func DigestOf(method, target, path string, body []byte) Digest {
	h := sha256.New()
	// hash.Hash never returns an error.
	_, _ = io.WriteString(h, method+"\x00"+target+"\x00"+path+"\x00")
	_, _ = h.Write(body)
	var d Digest
	h.Sum(d[:0])
	return d
}

// Fingerprint identifies what may be suspected of crashing engines, across attempts and nodes: a request of one caller,
// or a part of a prompt that requests of any caller may hold. It reveals nothing of the content.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a caller's request.
func FingerprintOf(caller string, d Digest) Fingerprint {
	h := sha256.New()
	_, _ = io.WriteString(h, caller+"\x00")
	_, _ = h.Write(d[:])
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// partMark begins the fingerprints of parts. That of a request begins so with a probability of 1 in 2^32.
const partMark = "part"

// PartFingerprint returns the fingerprint of a part of a prompt, which is the same in requests of all callers.
func PartFingerprint(id string) Fingerprint {
	sum := sha256.Sum256([]byte(partMark + "\x00" + id))
	var f Fingerprint
	copy(f[copy(f[:], partMark):], sum[:])
	return f
}

// IsPart reports whether f is the fingerprint of a part of a prompt.
func (f Fingerprint) IsPart() bool { return string(f[:len(partMark)]) == partMark }

// shortBytes is the length of the fingerprint's prefix in logs. Among 10,000 requests, the probability that any two
// share it is 1 in 100.
const shortBytes = 4

// String returns the first shortBytes bytes in hexadecimal digits, for logs; for a part, those that follow partMark.
func (f Fingerprint) String() string {
	if f.IsPart() {
		return partMark + "-" + hex.EncodeToString(f[len(partMark):len(partMark)+shortBytes])
	}
	return hex.EncodeToString(f[:shortBytes])
}

// MarshalText implements encoding.TextMarshaler. It returns the whole fingerprint in hexadecimal digits.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(f[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It accepts only a whole fingerprint.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(f)) {
		return fmt.Errorf("a fingerprint has %d hexadecimal digits, not %d: copy the whole fingerprint from the status", hex.EncodedLen(len(f)), len(text))
	}
	if _, err := hex.Decode(f[:], text); err != nil {
		return fmt.Errorf("fingerprint %.40q: %w: copy the whole fingerprint from the status", text, err)
	}
	return nil
}
