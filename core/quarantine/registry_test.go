package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// request returns the fingerprint of a numbered request.
func request(n int) Fingerprint {
	return FingerprintOf("", DigestOf("POST", "h", fmt.Sprint("/", n), nil))
}

// at is a moment of a test.
func at(d time.Duration) time.Time { return start.Add(d) }

// blameOf is a blame for the end of an engine at a moment, after the request had run for a time.
func blameOf(engine string, d, ran time.Duration) Blame {
	return Blame{End: EndID{Engine: engine}, Ran: ran, Begun: true, At: at(d)}
}

// ended blames the end of an engine on requests, which had all run for a time.
func ended(r *Registry, engine string, d, ran time.Duration, requests ...int) {
	var fs []Fingerprint
	var bs []Blame
	for _, n := range requests {
		fs, bs = append(fs, request(n)), append(bs, blameOf(engine, d, ran))
	}
	r.Ended(EndID{Engine: engine}, at(d))
	r.Blame(fs, bs, at(d))
	r.Judge(at(d + Settle))
}

// spread numbers requests from a first one on.
func spread(first, n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = first + i
	}
	return out
}

// states returns the states of requests by their names.
func states(r *Registry, requests ...int) []string {
	var out []string
	for _, n := range requests {
		out = append(out, r.State(request(n)).String())
	}
	return out
}

// TestBlame checks what some courses of events come to.
func TestBlame(t *testing.T) {
	const (
		soon = 80 * time.Millisecond
		long = 3 * time.Second
	)
	tests := []struct {
		name string
		play func(r *Registry)
		// want are the states of the requests 0, 1 and 2.
		want []string
	}{
		{"one end, many ran there", func(r *Registry) {
			ended(r, "a", 0, soon, spread(0, 20)...)
		}, []string{"suspected", "suspected", "suspected"}},
		{"two ends soon after the beginning, others each time", func(r *Registry) {
			ended(r, "a", 0, soon, spread(0, 20)...)
			ended(r, "b", time.Second, soon, append(spread(100, 10), 0)...)
		}, []string{"quarantined", "clear", "clear"}},
		{"two ends long after the beginning", func(r *Registry) {
			ended(r, "a", 0, long, spread(0, 3)...)
			ended(r, "b", 10*time.Second, long, 0)
		}, []string{"isolated", "suspected", "suspected"}},
		{"three ends convict also then", func(r *Registry) {
			ended(r, "a", 0, long, spread(0, 3)...)
			ended(r, "b", 10*time.Second, long, 0)
			ended(r, "c", 20*time.Second, long, 0)
		}, []string{"quarantined", "clear", "clear"}},
		{"those that went on together are not told apart by two ends", func(r *Registry) {
			ended(r, "a", 0, soon, spread(0, 8)...)
			ended(r, "b", time.Second, soon, spread(0, 8)...)
		}, []string{"isolated", "isolated", "isolated"}},
		{"the third end tells one of them, which explains the others'", func(r *Registry) {
			ended(r, "a", 0, soon, spread(0, 8)...)
			ended(r, "b", time.Second, soon, spread(0, 8)...)
			ended(r, "c", 2*time.Second, soon, 0)
		}, []string{"quarantined", "clear", "clear"}},
		{"engines of a rack that end at once", func(r *Registry) {
			ended(r, "a", 0, soon, 0, 1, 2)
			ended(r, "b", 10*time.Millisecond, soon, 10, 11)
			ended(r, "c", time.Minute, soon, 0, 50, 51)
			ended(r, "d", time.Minute+10*time.Millisecond, soon, 52)
		}, []string{"isolated", "suspected", "suspected"}},
		{"a rack at whose engines one request ran many times", func(r *Registry) {
			for _, engine := range []string{"a", "b", "c", "d"} {
				ended(r, engine, 0, long, 0)
			}
		}, []string{"suspected", "clear", "clear"}},
		{"the same one after the other, each begun after the last end", func(r *Registry) {
			for i, engine := range []string{"a", "b", "c"} {
				ended(r, engine, time.Duration(i)*10*time.Millisecond, 5*time.Millisecond, 0)
			}
		}, []string{"quarantined", "clear", "clear"}},
		{"an end under the convicted one says nothing of the others", func(r *Registry) {
			ended(r, "a", 0, soon, 0)
			ended(r, "b", time.Second, soon, 0)
			ended(r, "c", 2*time.Second, soon, 0, 1, 2)
		}, []string{"quarantined", "clear", "clear"}},
		{"a good answer clears", func(r *Registry) {
			ended(r, "a", 0, soon, spread(0, 20)...)
			r.Answered(request(1), at(time.Second))
		}, []string{"suspected", "clear", "suspected"}},
		{"what was cleared begins anew", func(r *Registry) {
			ended(r, "a", 0, soon, 0)
			r.Answered(request(0), at(time.Second))
			ended(r, "b", time.Minute, soon, 0)
		}, []string{"isolated", "clear", "clear"}},
		{"an operator releases", func(r *Registry) {
			ended(r, "a", 0, soon, 0)
			ended(r, "b", time.Second, soon, 0)
			r.Release(request(0), at(time.Minute))
		}, []string{"released", "clear", "clear"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := NewRegistry(start)
			r.SetEngines(9)
			test.play(r)
			if diff := cmp.Diff(test.want, states(r, 0, 1, 2)); diff != "" {
				t.Errorf("states (-want +got):\n%s", diff)
			}
		})
	}
}

// TestConvictsWhenSettled checks that a request which is told of before the others that an end is
// blamed on is not convicted as if it had been alone.
func TestConvictsWhenSettled(t *testing.T) {
	r := NewRegistry(start)
	r.SetEngines(9)
	ended(r, "a", 0, 80*time.Millisecond, spread(0, 6)...)
	r.Blame([]Fingerprint{request(0)}, []Blame{blameOf("b", time.Second, 80*time.Millisecond)}, at(time.Second))
	if got := r.State(request(0)); got != Isolated {
		t.Errorf("%v at once, want isolated", got)
	}
	if got := r.Unsettled(request(0), at(time.Second)); got != Settle {
		t.Errorf("its next run waits for %v, want %v", got, Settle)
	}
	var fs []Fingerprint
	var bs []Blame
	for n := 1; n < 6; n++ {
		fs, bs = append(fs, request(n)), append(bs, blameOf("b", time.Second, 80*time.Millisecond))
	}
	r.Blame(fs, bs, at(time.Second+Settle/2))
	r.Judge(at(time.Second + Settle))
	r.Judge(at(time.Second + 2*Settle))
	if diff := cmp.Diff([]string{"isolated", "isolated"}, states(r, 0, 5)); diff != "" {
		t.Errorf("with all that were there (-want +got):\n%s", diff)
	}
}

// TestOnlyWholeConvictsByBelief checks that a node to which not all blames come leaves the judgement by
// belief to one to which they do.
func TestOnlyWholeConvictsByBelief(t *testing.T) {
	r := NewRegistry(start)
	r.SetEngines(9)
	r.SetWhole(false)
	ended(r, "a", 0, 80*time.Millisecond, 0)
	ended(r, "b", time.Second, 80*time.Millisecond, 0)
	if diff := cmp.Diff([]string{"isolated"}, states(r, 0)); diff != "" {
		t.Errorf("where not all is known (-want +got):\n%s", diff)
	}
	r.SetWhole(true)
	r.Judge(at(2 * time.Second))
	if diff := cmp.Diff([]string{"quarantined"}, states(r, 0)); diff != "" {
		t.Errorf("where all is known (-want +got):\n%s", diff)
	}
}

// TestTrials checks when a quarantined request is tried, and that trials end.
func TestTrials(t *testing.T) {
	r := NewRegistry(start)
	r.SetEngines(9)
	ended(r, "a", 0, 80*time.Millisecond, 0)
	ended(r, "b", time.Second, 80*time.Millisecond, 0)
	f, verdict := request(0), time.Second+Settle
	var got []string
	for d := time.Duration(0); d < 30*time.Hour; d += 30 * time.Second {
		now := at(verdict + d)
		again, held := r.Held(f, now)
		if !held {
			t.Fatalf("let go after %v", d)
		}
		if again <= 0 || again > longestHint {
			t.Fatalf("after %v callers are asked to come back in %v", d, again)
		}
		if r.BeginTrial(f, now) {
			got = append(got, d.String())
			if r.BeginTrial(f, now) {
				t.Error("two trials at once")
			}
			r.EndTrial(f, now.Add(time.Second))
		}
		r.Expire(now)
	}
	if diff := cmp.Diff([]string{"10m0s", "1h10m0s"}, got); diff != "" {
		t.Errorf("trials after the verdict (-want +got):\n%s", diff)
	}
}

// TestForgotten checks how long is remembered what does not come any more.
func TestForgotten(t *testing.T) {
	r := NewRegistry(start)
	r.SetEngines(9)
	ended(r, "a", 0, 80*time.Millisecond, 0, 1)
	ended(r, "b", time.Second, 80*time.Millisecond, 0)
	tests := []struct {
		after time.Duration
		want  []string
	}{
		{suspectLife, []string{"quarantined", "clear"}},
		{verdictLife, []string{"quarantined", "clear"}},
		{verdictLife + 2*time.Second, []string{"clear", "clear"}},
	}
	for _, test := range tests {
		r.Expire(at(test.after))
		if diff := cmp.Diff(test.want, states(r, 0, 1)); diff != "" {
			t.Errorf("after %v (-want +got):\n%s", test.after, diff)
		}
	}
	if len(r.records) != 0 || r.verdicts != 0 || len(r.pending) != 0 {
		t.Errorf("%d records, %d verdicts, %d pending are left", len(r.records), r.verdicts, len(r.pending))
	}
}

// TestFlood checks that suspects made on purpose push out no verdict, and stay within their bound.
func TestFlood(t *testing.T) {
	r := NewRegistry(start)
	r.SetEngines(9)
	ended(r, "a", 0, 80*time.Millisecond, 0)
	ended(r, "b", time.Second, 80*time.Millisecond, 0)
	for i := range 300 {
		d := time.Duration(i+2) * time.Second
		ended(r, fmt.Sprint("e", i), d, 80*time.Millisecond, spread(1000+100*i, 100)...)
	}
	if got := r.State(request(0)); got != Quarantined {
		t.Errorf("the verdict is %v after a flood", got)
	}
	if n := len(r.records); n > mostRecords {
		t.Errorf("%d records, want %d at most", n, mostRecords)
	}
	if n := len(r.ends); n > mostEndsKept {
		t.Errorf("%d ends, want %d at most", n, mostEndsKept)
	}
}

// drawEntries draws what several nodes may tell of three requests.
func drawEntries(t *rapid.T) []Entry {
	var out []Entry
	for range rapid.IntRange(1, 12).Draw(t, "entries") {
		e := Entry{
			Request: request(rapid.IntRange(0, 2).Draw(t, "request")), Epoch: uint32(rapid.IntRange(0, 2).Draw(t, "epoch")),
			At: at(time.Duration(rapid.IntRange(0, 9).Draw(t, "at")) * time.Second),
		}
		// Two ends at most, so that nothing is decided here on the way.
		for _, engine := range []string{"a", "b"}[:rapid.IntRange(0, 2).Draw(t, "blames")] {
			e.Blames = append(e.Blames, Blame{
				End: EndID{Engine: engine}, Ran: time.Duration(rapid.IntRange(0, 5).Draw(t, "ran")) * time.Second,
				Begun: rapid.Bool().Draw(t, "begun"), At: at(time.Duration(rapid.IntRange(0, 9).Draw(t, "endAt")) * time.Second),
			})
		}
		if rapid.Bool().Draw(t, "convicted") {
			e.Verdict = &Verdict{At: at(time.Duration(rapid.IntRange(0, 9).Draw(t, "verdictAt")) * time.Second), Trials: rapid.IntRange(0, 2).Draw(t, "trials")}
		}
		out = append(out, e)
	}
	return out
}

// facts returns all entries of a registry in the order of their requests, with the ends' moments.
func facts(r *Registry) []Entry {
	out, _ := r.Since(0, All)
	slices.SortFunc(out, func(a, b Entry) int { return slices.Compare(a.Request[:], b.Request[:]) })
	return out
}

// TestMergeJoins checks that entries join to the same whatever their order, their grouping, and
// how often they come.
func TestMergeJoins(t *testing.T) {
	now := at(time.Minute)
	rapid.Check(t, func(t *rapid.T) {
		entries := drawEntries(t)
		first := NewRegistry(start)
		first.SetWhole(false)
		first.Merge(entries, now)

		shuffled := rapid.Permutation(append(slices.Clone(entries), entries[:len(entries)/2]...)).Draw(t, "order")
		second, third := NewRegistry(start), NewRegistry(start)
		second.SetWhole(false)
		third.SetWhole(false)
		cut := rapid.IntRange(0, len(shuffled)).Draw(t, "cut")
		second.Merge(shuffled[:cut], now)
		for _, e := range shuffled[cut:] {
			third.Merge([]Entry{e}, now)
		}
		told, _ := third.Since(0, All)
		second.Merge(told, now)
		if diff := cmp.Diff(facts(first), facts(second)); diff != "" {
			t.Fatalf("joined otherwise (-one way +another):\n%s", diff)
		}
		version := second.Version()
		second.Merge(told, now)
		if second.Version() != version {
			t.Fatal("what was known already is news")
		}
	})
}
