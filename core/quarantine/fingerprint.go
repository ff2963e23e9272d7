package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
)

// Digest names what a request asks for: equal digests are repeats of one request.
type Digest [sha256.Size]byte

// DigestOf hashes a request. Target is what it is addressed to, in a form that no change
// of the configuration alters: a unit, a service or a host.
func DigestOf(method, target, path string, body []byte) Digest {
	h := sha256.New()
	// A hash never fails to write.
	_, _ = io.WriteString(h, method+"\x00"+target+"\x00"+path+"\x00")
	_, _ = h.Write(body)
	var d Digest
	h.Sum(d[:0])
	return d
}

// Fingerprint names a request of one caller wherever and however often it comes. It tells
// nothing of its content.
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

// shownBytes is the part of a fingerprint that logs show: two of 10,000 requests have it in
// common with a chance of 1 in 100.
const shownBytes = 4

// String returns the beginning of the fingerprint, for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:shownBytes]) }

// MarshalText implements encoding.TextMarshaler, with the whole fingerprint.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(f[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(f)) {
		return fmt.Errorf("a fingerprint has %d hexadecimal digits, not %d: take it whole from the status", hex.EncodedLen(len(f)), len(text))
	}
	if _, err := hex.Decode(f[:], text); err != nil {
		return fmt.Errorf("fingerprint %.40q: %w: take it whole from the status", text, err)
	}
	return nil
}
