package inbox

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestInbox checks the order of messages, and that Send on a full inbox returns when its context or the owner has
// ended.
func TestInbox(t *testing.T) {
	b := New[int](2)
	ctx, cancel := context.WithCancel(t.Context())
	sent := []bool{b.Send(ctx, 1), b.Offer(2), b.Offer(3)}
	if diff := cmp.Diff([]bool{true, true, false}, sent); diff != "" {
		t.Errorf("sent (-want +got):\n%s", diff)
	}
	cancel()
	if b.Send(ctx, 4) {
		t.Error("Send succeeded on a full inbox")
	}
	var got []int
	b.Drain(func(m int) { got = append(got, m) })
	if diff := cmp.Diff([]int{1, 2}, got); diff != "" {
		t.Errorf("handled (-want +got):\n%s", diff)
	}
	full := New[int](0)
	full.End()
	if full.Send(t.Context(), 5) {
		t.Error("Send succeeded after the owner ended")
	}
}
