package hosted

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/answerlimit"
)

// TestEndlessAnswerIsTooLong checks that a single answer without end is found too long, which counts against its endpoint,
// before the node has no room for it, which doesn't.
func TestEndlessAnswerIsTooLong(t *testing.T) {
	for _, memory := range []int64{64 << 20, 144 << 20, 1 << 30, 64 << 30} {
		limits := answerlimit.Limits{Answer: maxAnswer(memory), Total: memory * answerShare / 100}
		size := int64(0)
		for limits.CheckLength(size) == nil {
			size = limits.NextBuffer(size, -1)
			if err := limits.CheckRoom(size, size); err != nil {
				t.Fatalf("memory of %d bytes: %v before the answer was too long", memory, err)
			}
		}
	}
}

// TestTakeFor checks for how long a planned stop takes requests and listens.
func TestTakeFor(t *testing.T) {
	tests := []struct{ timeout, taken, listened time.Duration }{
		{8 * time.Second, balancerLag, balancerLag},
		{4 * time.Second, 1700 * time.Millisecond, balancerLag},
		{2 * time.Second, 700 * time.Millisecond, 800 * time.Millisecond},
		{time.Second, 200 * time.Millisecond, 200 * time.Millisecond},
		{500 * time.Millisecond, 0, 0},
	}
	for _, tt := range tests {
		s := Settings{StopTimeout: tt.timeout}
		taken, listened := s.takeFor()
		if diff := cmp.Diff([]time.Duration{tt.taken, tt.listened}, []time.Duration{taken, listened}); diff != "" {
			t.Errorf("timeout %v (-want +got):\n%s", tt.timeout, diff)
		}
	}
}
