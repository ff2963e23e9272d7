package quarantine

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestFingerprint checks which requests have equal fingerprints.
func TestFingerprint(t *testing.T) {
	of := func(caller, method, target, path, body string) Fingerprint {
		return FingerprintOf(caller, DigestOf(method, target, path, []byte(body)))
	}
	same := of("c", "POST", "h", "/a", "body")
	tests := []struct {
		name string
		f    Fingerprint
		want bool
	}{
		{"the same", of("c", "POST", "h", "/a", "body"), true},
		{"another caller", of("d", "POST", "h", "/a", "body"), false},
		{"another method", of("c", "GET", "h", "/a", "body"), false},
		{"another host", of("c", "POST", "i", "/a", "body"), false},
		{"another path", of("c", "POST", "h", "/b", "body"), false},
		{"another body", of("c", "POST", "h", "/a", "Body"), false},
		{"fields moved into each other", of("c", "POST", "h/", "a", "body"), false},
	}
	for _, test := range tests {
		if got := test.f == same; got != test.want {
			t.Errorf("%s: equal is %v, want %v", test.name, got, test.want)
		}
	}
}

// TestFingerprintText checks the text form of a fingerprint, and which texts are refused.
func TestFingerprintText(t *testing.T) {
	f := FingerprintOf("c", DigestOf("GET", "h", "/", nil))
	text, err := f.MarshalText()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(string(text), f.String()) {
		t.Errorf("String returns %s, which is no prefix of %s", f, text)
	}
	var back Fingerprint
	if err := back.UnmarshalText(text); err != nil || back != f {
		t.Errorf("decoded as %s: %v", back, err)
	}
	var refused []string
	for _, bad := range []string{"", f.String(), strings.Repeat("z", len(text)), string(text) + "00"} {
		if back.UnmarshalText([]byte(bad)) != nil {
			refused = append(refused, bad)
		}
	}
	if diff := cmp.Diff(4, len(refused)); diff != "" {
		t.Errorf("refused %q (-want +got):\n%s", refused, diff)
	}
}
