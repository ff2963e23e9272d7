package position

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	_ "olivetiller/internal/fixedseed"
)

// TestOrder checks that positions are ordered by era and then by offset, that both can be extracted again, and that
// a position and the fencing number derived from it fit into 53 bits.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e1, e2 := rapid.Uint64Range(0, MaxEra).Draw(t, "era1"), rapid.Uint64Range(0, MaxEra).Draw(t, "era2")
		o1, o2 := rapid.Uint64Range(0, MaxOffset).Draw(t, "offset1"), rapid.Uint64Range(0, MaxOffset).Draw(t, "offset2")
		p1, err1 := Of(e1, o1)
		p2, err2 := Of(e2, o2)
		if err1 != nil || err2 != nil {
			t.Fatal(err1, err2)
		}
		if want := e1 < e2 || e1 == e2 && o1 < o2; (p1 < p2) != want {
			t.Fatalf("%d < %d = %t", p1, p2, !want)
		}
		if Era(p1) != e1 || Offset(p1) != o1 || p1 < Begin(e1) {
			t.Fatalf("%d has era %d and offset %d", p1, Era(p1), Offset(p1))
		}
		if p1+1 >= 1<<53 {
			t.Fatalf("the fencing number of %d takes more than 53 bits", p1)
		}
	})
}

// TestRange checks that an era or offset out of range is an error and never yields the position of another one.
func TestRange(t *testing.T) {
	for _, tt := range []struct{ era, offset uint64 }{{MaxEra + 1, 0}, {0, MaxOffset + 1}} {
		_, err := Of(tt.era, tt.offset)
		var r RangeError
		if !errors.As(err, &r) {
			t.Errorf("Of(%d, %d) = %v, want a range error", tt.era, tt.offset, err)
		}
	}
}
