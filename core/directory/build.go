package directory

import "unique"

// Build is the version of an endpoint's software. The parts of a stream's answer must all come from one build. Builds
// are only compared for equality; they have no order. The zero value stands for endpoints that do not publish a version.
//
// A Build takes one word, since a node holds thousands of endpoints of few builds.
type Build struct{ name unique.Handle[string] }

// BuildOf returns the build with a name; the zero value for "".
func BuildOf(name string) Build {
	if name == "" {
		return Build{}
	}
	return Build{unique.Make(name)}
}

// String returns the name of the build; "" for the zero value.
func (b Build) String() string {
	if b == (Build{}) {
		return ""
	}
	return b.name.Value()
}

// Equal reports whether two builds are the same.
func (b Build) Equal(o Build) bool { return b == o }

// MarshalText implements [encoding.TextMarshaler].
func (b Build) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (b *Build) UnmarshalText(text []byte) error {
	*b = BuildOf(string(text))
	return nil
}
