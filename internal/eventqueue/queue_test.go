package eventqueue

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestOrder checks that events run in the order of their times, those of one time as they were scheduled, and none that is
// due after the end.
func TestOrder(t *testing.T) {
	var q Queue
	var got []string
	note := func(name string) func() { return func() { got = append(got, name+" "+q.Now.String()) } }
	q.At(2*time.Second, note("b"))
	q.At(time.Second, func() {
		note("a")()
		q.After(time.Second, note("d"))
		q.After(3*time.Second, note("late"))
	})
	q.At(2*time.Second, note("c"))
	q.Run(3 * time.Second)
	if diff := cmp.Diff([]string{"a 1s", "b 2s", "c 2s", "d 2s"}, got); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	if _, ok := q.Next(3 * time.Second); ok {
		t.Error("an event is due after the end")
	}
}
