package answerlimit

import (
	"errors"
	"strings"
	"testing"
)

// TestCheckRoom checks which answers are given up while endless ones hold the room of all.
func TestCheckRoom(t *testing.T) {
	l := Limits{Answer: 4 << 20, Total: 16 << 20}
	tests := []struct {
		name        string
		limits      Limits
		size, total int64
		room        bool
	}{
		{"alone", l, 4 << 20, 4 << 20, true},
		{"the last byte", l, 1 << 20, 16 << 20, true},
		{"one byte too many", l, 1 << 20, 16<<20 + 1, false},
		{"small beside endless ones", l, SmallBytes, 20 << 20, true},
		{"a little more than small", l, SmallBytes + 1, 20 << 20, false},
		{"memory unknown", Limits{Answer: 4 << 20}, 4 << 20, 1 << 40, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.limits.CheckRoom(tt.size, tt.total)
			if IsNoRoom(err) == tt.room {
				t.Errorf("CheckRoom(%d, %d) = %v, want room: %v", tt.size, tt.total, err, tt.room)
			}
		})
	}
}

// TestBuffersGrowToTheLimit plays bodies into buffers of NextBuffer: a body of the limit is taken, one byte more is too
// long, and no buffer has more than one byte beyond the limit.
func TestBuffersGrowToTheLimit(t *testing.T) {
	tests := []struct {
		name             string
		limit, announced int64
		length           int64
		tooLong          bool
	}{
		{"short", 1000, -1, 10, false},
		{"of the limit", 1000, -1, 1000, false},
		{"one byte more", 1000, -1, 1001, true},
		{"without end", 1 << 20, -1, 1 << 40, true},
		{"announced", 1 << 20, 700, 700, false},
		{"longer than announced", 1 << 20, 700, 1 << 40, true},
		{"no limit", 0, -1, 5 << 20, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := Limits{Answer: tt.limit}
			size, read := int64(0), int64(0)
			var err error
			for read < tt.length && err == nil {
				if read == size {
					next := l.NextBuffer(size, tt.announced)
					if next <= size || tt.limit > 0 && next > tt.limit+1 {
						t.Fatalf("a buffer of %d bytes grows to %d, the limit is %d", size, next, tt.limit)
					}
					size = next
				}
				read = min(size, tt.length)
				err = l.CheckLength(read)
			}
			if IsTooLong(err) != tt.tooLong {
				t.Errorf("%v after %d bytes, want too long: %v", err, read, tt.tooLong)
			}
		})
	}
}

// TestErrorsNameSenderAndRemedy checks that an operator learns from the errors who sent what, and what to do.
func TestErrorsNameSenderAndRemedy(t *testing.T) {
	tooLong := &TooLongError{From: "endpoint 10.0.0.1:80", Part: Head, Limit: HeadBytes}
	for err, want := range map[error][]string{
		tooLong:                          {"endpoint 10.0.0.1:80", "head", "16384", "take it out of service"},
		&NoRoomError{Size: 7, Limit: 99}: {"7", "99", "another node"},
	} {
		for _, part := range want {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%q does not name %q", err, part)
			}
		}
	}
	if err := errors.Join(errors.New("x"), tooLong); !IsTooLong(err) || IsNoRoom(err) {
		t.Errorf("kind of %v is not found", err)
	}
}
