package policy

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const gib = 1 << 30

// TestPlace checks the engine and the evictions that Place chooses for a unit of
// 10 GiB, one criterion per case.
func TestPlace(t *testing.T) {
	idle := func(unit string, size uint64, reloadCost float64) EvictableReplica {
		return EvictableReplica{Unit: unit, Bytes: size * gib, ReloadCost: reloadCost}
	}
	tests := []struct {
		name  string
		cands []Candidate
		want  string
		evict []string
		ok    bool
	}{
		{"the only one with room", []Candidate{{Engine: "a", Free: gib}, {Engine: "b", Free: 20 * gib}}, "b", nil, true},
		{"checkpoint on disk beats a snug fit", []Candidate{{Engine: "a", Free: 10 * gib, Tier: Remote}, {Engine: "b", Free: 40 * gib, Tier: OnDisk}}, "b", nil, true},
		{"another hall for a second replica", []Candidate{{Engine: "a", Free: 10 * gib, HallReplicas: 1, Tier: Remote}, {Engine: "b", Free: 40 * gib, Tier: Remote}}, "b", nil, true},
		{"not where much runs", []Candidate{{Engine: "a", Free: 10 * gib, BusyUnits: 3}, {Engine: "b", Free: 40 * gib}}, "b", nil, true},
		{"the snug fit", []Candidate{{Engine: "a", Free: 40 * gib}, {Engine: "b", Free: 12 * gib}}, "b", nil, true},
		{"evict the least loss for its bytes", []Candidate{{Engine: "a", Evictable: []EvictableReplica{idle("x", 10, 5), idle("y", 10, 1)}}}, "a", []string{"y"}, true},
		{"evict on the engine of least loss", []Candidate{{Engine: "a", Evictable: []EvictableReplica{idle("x", 10, 5)}}, {Engine: "b", Evictable: []EvictableReplica{idle("y", 10, 1)}}}, "b", []string{"y"}, true},
		{"nothing to evict", []Candidate{{Engine: "a", Evictable: []EvictableReplica{idle("x", 2, 1)}}}, "", nil, false},
		{"what is too dear stays", []Candidate{{Engine: "a", Evictable: []EvictableReplica{idle("x", 20, math.Inf(1))}}}, "", nil, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got, ok := Place(10*gib, tc.cands)
			var evict []string
			for _, v := range got.Evict {
				evict = append(evict, v.Unit)
			}
			if ok != tc.ok || got.Engine != tc.want {
				t.Errorf("engine %q, %t; want %q, %t", got.Engine, ok, tc.want, tc.ok)
			}
			if diff := cmp.Diff(tc.evict, evict); diff != "" {
				t.Errorf("evicted (-want +got):\n%s", diff)
			}
		})
	}
}

// monday is the start of the first day of the recorded uses.
var monday = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

// newTrainedPolicy returns a policy with five recorded sessions of a unit, shortly
// after nine on five weekdays, of ten uses each, and a load time of 20 s.
func newTrainedPolicy(idleHour float64) *Costed {
	c := NewCosted(Weights{ColdStartSecond: 1, IdleHour: idleHour})
	c.Loaded("u", 20*time.Second)
	for day := range 5 {
		at := monday.Add(time.Duration(day)*24*time.Hour + 9*time.Hour + 2*time.Minute)
		for i := range 10 {
			c.Used("u", at.Add(time.Duration(i)*5*time.Second))
		}
	}
	return c
}

// TestDecide checks whether a unit that is used shortly after nine on weekdays is
// kept or prewarmed at other times and with other idle costs.
func TestDecide(t *testing.T) {
	nextMonday := monday.Add(7 * 24 * time.Hour)
	tests := []struct {
		name     string
		idleHour float64
		now      time.Time
		idle     time.Duration
		hold     bool
		prewarm  bool
	}{
		{"just used", 100, monday.Add(9 * time.Hour), time.Second, true, false},
		{"after its session", 100, monday.Add(4*24*time.Hour + 11*time.Hour), 2 * time.Hour, false, false},
		{"shortly before nine", 100, nextMonday.Add(9 * time.Hour), 3 * 24 * time.Hour, true, true},
		{"at nine on a Saturday", 100, monday.Add(5*24*time.Hour + 9*time.Hour), 24 * time.Hour, false, false},
		{"at night", 100, nextMonday.Add(3 * time.Hour), 66 * time.Hour, false, false},
		{"idling is very dear", 1e6, nextMonday.Add(9 * time.Hour), 3 * 24 * time.Hour, false, false},
		{"idling costs next to nothing", 0.001, nextMonday.Add(3 * time.Hour), 18 * time.Hour, true, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := newTrainedPolicy(tc.idleHour).Decide("u", 0.5, tc.idle, tc.now)
			if got.Hold != tc.hold {
				t.Errorf("hold = %t, want %t: %s", got.Hold, tc.hold, got.Why)
			}
			if got.Prewarm != tc.prewarm {
				t.Errorf("prewarm = %t, want %t: %s", got.Prewarm, tc.prewarm, got.Why)
			}
			if got.Why == "" {
				t.Error("no reason is given")
			}
		})
	}
}
