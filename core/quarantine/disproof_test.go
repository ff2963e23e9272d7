package quarantine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestConvictedBesideResets guards against a sound request that stays quarantined after its engines, which had refused
// connections for a while, turn out to be alive.
func TestConvictedBesideResets(t *testing.T) {
	course := func(r *Registry) time.Duration {
		now := 10 * time.Second
		for _, engine := range []string{"a", "b", "c"} {
			now += 2 * time.Second
			crashed(r, engine, now, 20*time.Millisecond, 1)
		}
		return now
	}
	alive := func(r *Registry, engine string, now time.Duration) {
		r.Disprove(Incarnation{Engine: engine}, at(now), at(now))
		r.Evaluate(at(now + SettleTime))
	}
	tests := []struct {
		name string
		then func(r *Registry, now time.Duration)
		want string
	}{
		{"no engine is heard of", func(*Registry, time.Duration) {}, "quarantined"},
		{"all are alive", func(r *Registry, now time.Duration) {
			for _, engine := range []string{"a", "b", "c"} {
				alive(r, engine, now+time.Second)
			}
		}, "clear"},
		{"one is alive", func(r *Registry, now time.Duration) { alive(r, "a", now+time.Second) }, "quarantined"},
		{"it was alive before", func(r *Registry, _ time.Duration) { alive(r, "a", 11*time.Second) }, "quarantined"},
		{"all are alive and crash later", func(r *Registry, now time.Duration) {
			for _, engine := range []string{"a", "b", "c"} {
				alive(r, engine, now+time.Second)
			}
			for _, engine := range []string{"a", "b", "c"} {
				now += 2 * time.Second
				crashed(r, engine, now, 20*time.Millisecond, 1)
			}
		}, "quarantined"},
		{"another node reports the disproved crashes late", func(r *Registry, now time.Duration) {
			for _, engine := range []string{"a", "b", "c"} {
				alive(r, engine, now+time.Second)
			}
			other := NewRegistry(start)
			course(other)
			entries, _ := other.Since(0, AllRecords)
			r.Merge(entries, at(now+2*time.Second))
			r.Evaluate(at(now + 3*time.Second))
		}, "clear"},
		{"another node knows that they are alive", func(r *Registry, now time.Duration) {
			other := NewRegistry(start)
			course(other)
			for _, engine := range []string{"a", "b", "c"} {
				alive(other, engine, now+time.Second)
			}
			entries, _ := other.Since(0, AllRecords)
			r.Merge(entries, at(now+2*time.Second))
			r.Evaluate(at(now + 3*time.Second))
		}, "released"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRegistry(start)
			r.SetEngines(9)
			now := course(r)
			tt.then(r, now)
			if diff := cmp.Diff([]string{tt.want}, states(r, 1)); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDisproofsConverge checks that nodes that suspect requests, learn that engines are alive and exchange their entries in
// any order end up with the same suspicions and verdicts.
func TestDisproofsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*Registry{NewRegistry(start), NewRegistry(start), NewRegistry(start)}
		now := time.Second
		send := func(from, to *Registry) {
			entries, _ := from.Since(0, AllRecords)
			to.Merge(entries, at(now))
		}
		engines := []string{"a", "b", "c", "d"}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			now += 400 * time.Millisecond
			r := nodes[rapid.IntRange(0, 2).Draw(t, "node")]
			engine := rapid.SampledFrom(engines).Draw(t, "engine")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				r.Disprove(Incarnation{Engine: engine}, at(now), at(now))
			case 1:
				send(r, nodes[rapid.IntRange(0, 2).Draw(t, "to")])
			default:
				crashed(r, engine, now, 20*time.Millisecond, rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 1, 2, rapid.ID).Draw(t, "requests")...)
			}
		}
		for range 10 {
			for _, from := range nodes {
				for _, to := range nodes {
					send(from, to)
				}
			}
		}
		known := func(r *Registry) (out []Entry) {
			for _, e := range sortedEntries(r) {
				if e.Disproofs = nil; !e.empty() {
					out = append(out, e)
				}
			}
			return out
		}
		for _, r := range nodes[1:] {
			if diff := cmp.Diff(known(nodes[0]), known(r)); diff != "" {
				t.Fatalf("entries of two nodes differ (-first +other):\n%s", diff)
			}
		}
	})
}
