package hosted

import (
	"testing"

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
