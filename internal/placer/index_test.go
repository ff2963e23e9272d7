package placer

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"olivetiller/core/view"
)

// TestIndexMatchesRebuild checks over random changes that the lists of the pools equal those built from all
// endpoints, and that lists handed out before are not modified.
func TestIndexMatchesRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newIndex()
		all := make(map[string]indexed)
		var given []map[string][]*view.Endpoint
		var copies []map[string][]view.Endpoint
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprint("e", rapid.IntRange(0, 6).Draw(t, "endpoint"))
			pools := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"p", "q", "r"}), rapid.ID[string]).Draw(t, "pools")
			ep := view.Endpoint{Name: name, Concurrency: rapid.IntRange(1, 3).Draw(t, "concurrency")}
			x.set(ep, "s", pools)
			all[name] = indexed{endpoint: &ep, pools: pools}
			if step%3 == 0 {
				given = append(given, x.pools())
				copied := make(map[string][]view.Endpoint)
				for pool, eps := range x.pools() {
					copied[pool] = values(eps)
				}
				copies = append(copies, copied)
			}
		}
		want := make(map[string][]view.Endpoint)
		for _, in := range all {
			for _, pool := range in.pools {
				want[pool] = append(want[pool], *in.endpoint)
			}
		}
		for _, eps := range want {
			slices.SortFunc(eps, func(a, b view.Endpoint) int { return strings.Compare(a.Name, b.Name) })
		}
		got := make(map[string][]view.Endpoint)
		for pool, eps := range x.pools() {
			got[pool] = values(eps)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("pools (-want +got):\n%s", diff)
		}
		for i := range given {
			was := make(map[string][]view.Endpoint)
			for pool, eps := range given[i] {
				was[pool] = values(eps)
			}
			if diff := cmp.Diff(copies[i], was); diff != "" {
				t.Errorf("a list handed out earlier has changed (-want +got):\n%s", diff)
			}
		}
	})
}

func values(eps []*view.Endpoint) []view.Endpoint {
	out := make([]view.Endpoint, len(eps))
	for i, ep := range eps {
		out[i] = *ep
	}
	return out
}
