package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "olivetiller/internal/fixedseed"
)

var zero = time.Unix(0, 0)

func item(caller string, deadline int) *Item {
	return &Item{Caller: caller, Deadline: zero.Add(time.Duration(deadline) * time.Second), Cost: 1, Bytes: 1, Value: fmt.Sprint(caller, deadline)}
}

// TestOrder checks the order in which pushed items leave the queue.
func TestOrder(t *testing.T) {
	tests := []struct {
		name string
		push []*Item
		want []string
	}{
		{"earliest deadline first", []*Item{item("a", 3), item("a", 1), item("a", 2)}, []string{"a1", "a2", "a3"}},
		{"callers take turns", []*Item{item("a", 1), item("a", 2), item("a", 3), item("b", 9)}, []string{"a1", "b9", "a2", "a3"}},
		{"the urgent caller begins", []*Item{item("b", 9), item("a", 1)}, []string{"a1", "b9"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			q := New(Limits{Items: 10, Bytes: 10})
			for _, it := range tc.push {
				if !q.Push(it) {
					t.Fatal("Push = false, want true")
				}
			}
			var got []string
			for it := q.Pop(zero); it != nil; it = q.Pop(zero) {
				got = append(got, it.Value.(string))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
}

// TestBatchDoesNotStarveClerk guards against a caller that waits behind another caller's batch of 1000 items.
func TestBatchDoesNotStarveClerk(t *testing.T) {
	q := New(Limits{Items: 2000, Bytes: 2000})
	for i := range 1000 {
		q.Push(item("museum", i))
	}
	for range 100 {
		q.Pop(zero)
	}
	q.Push(item("clerk", 5000))
	for i := 1; ; i++ {
		if it := q.Pop(zero); it.Caller == "clerk" {
			if i > 2 {
				t.Errorf("the clerk was served as number %d, want 1 or 2", i)
			}
			return
		}
	}
}

// TestQueueProperties checks the contents, size and limits of the queue after random pushes, pops and removals.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := New(Limits{Items: 20, Bytes: 30})
		waiting := make(map[*Item]bool)
		for range 200 {
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				it := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "caller"), rapid.IntRange(0, 9).Draw(rt, "deadline"))
				it.Bytes = rapid.Int64Range(1, 5).Draw(rt, "bytes")
				if q.Push(it) {
					waiting[it] = true
				}
			case 1:
				it := q.Pop(zero)
				if (it == nil) != (len(waiting) == 0) || (it != nil && !waiting[it]) {
					rt.Fatalf("popped %v of %d waiting", it, len(waiting))
				}
				delete(waiting, it)
			case 2:
				for it := range waiting {
					if !q.Remove(it) || q.Remove(it) {
						rt.Fatal("a waiting item was not removed exactly once")
					}
					delete(waiting, it)
					break
				}
			}
			var bytes int64
			for it := range waiting {
				bytes += it.Bytes
			}
			if q.Len() != len(waiting) || q.Bytes() != bytes || q.Len() > 20 || bytes > 30 {
				rt.Fatalf("%d items of %d bytes, want %d of %d", q.Len(), q.Bytes(), len(waiting), bytes)
			}
		}
	})
}
