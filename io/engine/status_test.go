package engine

import (
	"errors"
	"testing"

	"olivetiller/standin/cuthead"
)

// TestInvalidStatus guards against an order that counts as one without effect because the status of its answer is none.
func TestInvalidStatus(t *testing.T) {
	tests := []struct {
		status string
		want   error
	}{
		{"000", ErrUnknown}, {"099", ErrUnknown}, {"101", ErrUnknown}, {"503", ErrUnknown},
		{"400", ErrNoEffect}, {"502", ErrNoEffect}, {"204", nil},
	}
	for _, tt := range tests {
		t.Run(tt.status, func(t *testing.T) {
			answer := "HTTP/1.1 " + tt.status + " x\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: 0\r\n\r\n"
			s, err := cuthead.NewServer(nil, []byte(answer), len(answer), cuthead.Close)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if err := NewClient().Load(t.Context(), s.Address(), Order{Unit: "m"}); !errors.Is(err, tt.want) {
				t.Errorf("Load = %v, want %v", err, tt.want)
			}
			if _, err := NewClient().Status(t.Context(), s.Address()); !errors.Is(err, ErrUnknown) {
				t.Errorf("Status = %v, want ErrUnknown", err)
			}
		})
	}
}
