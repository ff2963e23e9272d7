package queue

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// at returns the time some milliseconds after zero.
func at(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }

// ranked returns an item that arrives at a time and has a latency objective, both in milliseconds.
func ranked(caller string, rank, arrived, objective int) *Item {
	return &Item{Caller: caller, Rank: rank, Arrived: at(arrived), Deadline: at(arrived + objective), Bytes: 1, Value: fmt.Sprint(caller, rank, "@", arrived)}
}

// values returns the values of items.
func values(items []*Item) []string {
	var out []string
	for _, it := range items {
		out = append(out, it.Value.(string))
	}
	return out
}

// TestRanks checks the order of items of several ranks, and how an overdue one gets its turn.
func TestRanks(t *testing.T) {
	flood := []*Item{ranked("b", 1, 0, 800), ranked("b", 1, 10, 800)}
	for i := range 8 {
		flood = append(flood, ranked("a", 0, 20+i, 500))
	}
	tests := []struct {
		name string
		push []*Item
		now  int
		want string
	}{
		{"rank before deadline", []*Item{ranked("b", 1, 0, 100), ranked("a", 0, 10, 500)}, 20, "a0@10 b1@0"},
		{"deadline within a rank", []*Item{ranked("a", 1, 0, 900), ranked("a", 1, 10, 500)}, 20, "a1@10 a1@0"},
		{"callers of a rank take turns", []*Item{ranked("a", 1, 0, 500), ranked("a", 1, 1, 500), ranked("b", 1, 2, 500), ranked("c", 0, 3, 500)}, 4, "c0@3 a1@0 b1@2 a1@1"},
		{"by rank until an item is overdue", flood, 399, "a0@20 a0@21 a0@22 a0@23 a0@24 a0@25 a0@26 a0@27 b1@0 b1@10"},
		{"one turn in eight is of overdue ones", flood, 410, "b1@0 a0@20 a0@21 a0@22 a0@23 a0@24 a0@25 a0@26 b1@10 a0@27"},
		{"an overdue item does not pass an older one", []*Item{ranked("a", 0, 0, 500), ranked("b", 1, 10, 300)}, 400, "a0@0 b1@10"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New(Limits{Items: 10, Bytes: 10})
			var got []*Item
			for _, it := range tt.push {
				q.Push(it)
			}
			if sorted := values(q.Items()); tt.now < 400 && strings.Join(sorted, " ") != tt.want {
				t.Errorf("Items = %v, want the order of service", sorted)
			}
			for q.Len() > 0 {
				got = append(got, q.Pop(at(tt.now)))
			}
			if diff := gocmp.Diff(strings.Split(tt.want, " "), values(got)); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLateLast replays a load of half as much again as the server can do, for a minute: the items that can be in time go
// first, so that most of what is served is, and late ones still get their turns.
func TestLateLast(t *testing.T) {
	q := New(Limits{Items: 10000, Bytes: 10000})
	inTime, late := 0, 0
	for ms := 0; ms < 60000; ms += serviceMs {
		for range 1 + ms/serviceMs%2 {
			it := ranked("a", 0, ms, 500)
			it.LateLast = true
			q.Push(it)
		}
		if it := q.Pop(at(ms)); it.Deadline.After(at(ms)) {
			inTime++
		} else {
			late++
		}
	}
	share := float64(inTime) / float64(inTime+late)
	if want := float64(turnsBetweenOverdue) / (turnsBetweenOverdue + 1); share < want-0.02 || share > want+0.02 {
		t.Errorf("%.3f of %d served were in time, want %.3f", share, inTime+late, want)
	}
}

// TestPushOver checks which items leave a full queue for a more urgent one.
func TestPushOver(t *testing.T) {
	tests := []struct {
		name  string
		it    *Item
		bytes int64
		want  []string
		ok    bool
	}{
		{"the youngest of the least urgent", ranked("x", 0, 9, 100), 1, []string{"b2@2"}, true},
		{"several for bytes", ranked("x", 0, 9, 100), 3, []string{"b2@2", "a2@1", "c1@3"}, true},
		{"none for an item of the least urgent rank", ranked("x", 2, 9, 100), 1, nil, false},
		{"none if they would not suffice", ranked("x", 1, 9, 100), 3, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New(Limits{Items: 4, Bytes: 4})
			for _, it := range []*Item{ranked("a", 0, 0, 100), ranked("a", 2, 1, 100), ranked("b", 2, 2, 100), ranked("c", 1, 3, 100)} {
				q.Push(it)
			}
			tt.it.Bytes = tt.bytes
			left, ok := q.PushOver(tt.it)
			if diff := gocmp.Diff(tt.want, values(left)); diff != "" || ok != tt.ok {
				t.Errorf("PushOver = %t, left (-want +got):\n%s", ok, diff)
			}
			if want := 4 - len(tt.want); ok && q.Len() != want+1 || !ok && q.Len() != 4 {
				t.Errorf("%d items after PushOver", q.Len())
			}
		})
	}
}

// TestPushOverKeeps checks that an item which is to be kept does not leave, and that the others do.
func TestPushOverKeeps(t *testing.T) {
	q := New(Limits{Items: 2, Bytes: 10})
	kept := ranked("a", 1, 1, 100)
	kept.Keep = true
	q.Push(ranked("a", 1, 0, 100))
	q.Push(kept)
	for i, want := range [][]string{{"a1@0"}, nil} {
		left, ok := q.PushOver(ranked("b", 0, 2+i, 100))
		if diff := gocmp.Diff(want, values(left)); diff != "" || ok != (want != nil) {
			t.Errorf("PushOver = %t, left (-want +got):\n%s", ok, diff)
		}
	}
}

// TestOverdueAt checks that an item whose caller gives up before its deadline is overdue sooner.
func TestOverdueAt(t *testing.T) {
	it := ranked("a", 0, 0, 1000)
	if got := it.OverdueAt(); !got.Equal(at(500)) {
		t.Errorf("OverdueAt() = %v, want half of the time until the deadline", got)
	}
	it.GivesUpAt = at(400)
	if got := it.OverdueAt(); !got.Equal(at(200)) {
		t.Errorf("OverdueAt() = %v, want half of the time until the caller gives up", got)
	}
}

// TestOverdueItemsAreServed checks the bound on starvation: from when an item is overdue, it waits for no more turns
// than those of the items that waited then, and the turns by rank between them, whatever more urgent items come.
func TestOverdueItemsAreServed(t *testing.T) {
	objectives := []int{300, 700, 2000}
	rapid.Check(t, func(rt *rapid.T) {
		q := New(Limits{Items: 1000, Bytes: 1000})
		lateLast := rapid.Bool().Draw(rt, "late last")
		// left holds the turns that are left for each item that is overdue.
		left := make(map[*Item]int)
		for step := range 150 {
			ms := step * 10
			now := at(ms)
			if rank := rapid.IntRange(0, 5).Draw(rt, "rank"); rank < 3 {
				it := ranked("a", rank, ms, objectives[rank])
				it.LateLast = lateLast
				q.Push(it)
			}
			waiting := q.Items()
			for _, it := range waiting {
				if _, ok := left[it]; ok || !it.overdueBy(now) {
					continue
				}
				before := 0
				for _, o := range waiting {
					if o != it && (o.Rank <= it.Rank || o.OverdueAt().Before(it.OverdueAt())) {
						before++
					}
				}
				left[it] = (before + 1) * (turnsBetweenOverdue + 1)
			}
			if step%4 != 0 {
				continue
			}
			served := q.Pop(now)
			delete(left, served)
			for it := range left {
				if left[it]--; left[it] < 0 {
					rt.Fatalf("at %d ms %v still waits", ms, it.Value)
				}
			}
		}
	})
}

// model is a queue of items of one rank: the flow of the least start tag goes first, and in it the earliest deadline.
type model struct {
	waiting []*Item
	tags    map[string]float64
	now     float64
}

func (m *model) push(it *Item) {
	if !slices.ContainsFunc(m.waiting, func(o *Item) bool { return o.Caller == it.Caller }) {
		m.tags[it.Caller] = max(m.tags[it.Caller], m.now)
	}
	m.waiting = append(m.waiting, it)
}

func (m *model) pop() *Item {
	it := slices.MinFunc(m.waiting, func(a, b *Item) int {
		if a.Caller == b.Caller {
			return a.Deadline.Compare(b.Deadline)
		}
		return cmp.Or(cmp.Compare(m.tags[a.Caller], m.tags[b.Caller]), m.head(a.Caller).Compare(m.head(b.Caller)), strings.Compare(a.Caller, b.Caller))
	})
	m.now = m.tags[it.Caller]
	m.tags[it.Caller] += it.cost()
	if m.waiting = slices.DeleteFunc(m.waiting, func(o *Item) bool { return o == it }); len(m.waiting) == 0 {
		m.now = 0
		clear(m.tags)
	}
	return it
}

// head returns the earliest deadline of a caller.
func (m *model) head(caller string) time.Time {
	var at time.Time
	for _, it := range m.waiting {
		if it.Caller == caller && (at.IsZero() || it.Deadline.Before(at)) {
			at = it.Deadline
		}
	}
	return at
}

// TestEqualRanks checks that items of one rank go in the order of fair queueing alone, however long they have waited, and
// that Ahead tells how many go before one.
func TestEqualRanks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q, m := New(Limits{Items: 100, Bytes: 100}), &model{tags: make(map[string]float64)}
		rank := rapid.IntRange(0, 9).Draw(rt, "rank")
		for ms := range 100 {
			if len(m.waiting) == 0 || rapid.Bool().Draw(rt, "push") {
				it := ranked(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "caller"), rank, ms, rapid.IntRange(1, 200).Draw(rt, "objective"))
				it.Cost = float64(rapid.SampledFrom([]int{0, 1, 1, 1, 1, 3}).Draw(rt, "cost"))
				ahead := q.Ahead(it, at(ms))
				q.Push(it)
				m.push(it)
				i := slices.Index(q.Items(), it)
				if n := ahead.Total(); allCost(m.waiting, 1) && (i < n || i > n+2) {
					rt.Fatalf("%v goes as number %d, Ahead told %v", it.Value, i, ahead)
				}
				continue
			}
			if got, want := q.Pop(at(ms)), m.pop(); got != want {
				rt.Fatalf("popped %v, want %v", got.Value, want.Value)
			}
		}
	})
}

// allCost reports whether all items have a cost.
func allCost(items []*Item, cost float64) bool {
	return !slices.ContainsFunc(items, func(it *Item) bool { return it.cost() != cost })
}

// TestSurgeOfOneCustomer replays the load of a customer that sends many times its usual beside steady ones. Steady
// customers of the same rank or a more urgent one wait no longer than before, but for the turns of overdue items. Those
// of a less urgent rank still get their turns.
func TestSurgeOfOneCustomer(t *testing.T) {
	for surgeRank := range 3 {
		for rank := range 3 {
			before, _ := longestWait(surgeRank, 0, rank)
			after, served := longestWait(surgeRank, 20, rank)
			bound := before + (turnsBetweenOverdue+1)*serviceMs
			if rank > surgeRank {
				bound = objectiveMs
			}
			if after > bound || served == 0 {
				t.Errorf("a surge of rank %d: %d of rank %d were served after %d ms, %d ms before it; want some within %d ms", surgeRank, served, rank, after, before, bound)
			}
		}
	}
}

// Times of the replayed load, in milliseconds.
const (
	serviceMs   = 10
	objectiveMs = 1000
)

// longestWait returns the longest wait in milliseconds of a steady customer's items of a rank, and how many were served, while another customer
// sends surge items of surgeRank at once every 100 ms. Items that have waited for their whole objective leave.
func longestWait(surgeRank, surge, rank int) (longest, served int) {
	q := New(Limits{Items: 10000, Bytes: 10000})
	for ms := 0; ms < 5000; ms += serviceMs {
		if ms%100 == 0 {
			for i := range 3 {
				q.Push(ranked(fmt.Sprint("steady", i), i, ms, objectiveMs))
			}
			for range surge {
				q.Push(ranked("surge", surgeRank, ms, objectiveMs))
			}
		}
		it := q.Pop(at(ms))
		for _, o := range q.Items() {
			if !at(ms).Before(o.Deadline) {
				q.Remove(o)
			}
		}
		if it != nil && it.Caller != "surge" && it.Rank == rank {
			longest = max(longest, int(at(ms).Sub(it.Arrived).Milliseconds()))
			served++
		}
	}
	return longest, served
}
