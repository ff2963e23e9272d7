package quarantine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCrashesNoticedOutOfOrder guards against a request that is sent to a fourth engine after it has crashed three one after
// the other: the first crash was noticed after the second one, since its engine closed its listener late, and the two
// counted as one event.
func TestCrashesNoticedOutOfOrder(t *testing.T) {
	us := func(n int) time.Time { return at(time.Duration(n) * time.Microsecond) }
	tests := []struct {
		name string
		// sent is when the request was sent to the second engine, in microseconds after it was sent to the first one, whose
		// connection broke at 12000.
		sent int
		want string
	}{
		{"sent again after the first connection broke", 12300, "quarantined"},
		{"at both engines of a rack", 200, "isolated"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr, r, peer := NewTracker(), NewRegistry(start), NewRegistry(start)
			peer.SetComplete(false)
			r.SetComplete(false)
			incarnations := []Incarnation{{Engine: "a", Start: 7}, {Engine: "b", Start: 7}, {Engine: "c", Start: 7}}
			runs := []*Run{tr.Send(request(0), incarnations[0], us(0)), tr.Send(request(0), incarnations[1], us(tt.sent)), nil}
			crash := func(i int, broke, noticed time.Time) {
				tr.Break(runs[i], broke)
				_, requests, suspicions := tr.EngineCrashed(incarnations[i], noticed)
				r.Suspect(requests, suspicions, noticed)
			}
			tr.Break(runs[0], us(12000))
			crash(1, us(19700), us(19800))
			crash(0, us(12000), us(37200))
			runs[2] = tr.Send(request(0), incarnations[2], us(400000))
			crash(2, us(408000), us(408100))
			entries, _ := r.Since(0, AllRecords)
			peer.Merge(entries, us(409000))
			if diff := cmp.Diff([]string{tt.want, tt.want}, []string{r.State(request(0)).String(), peer.State(request(0)).String()}); diff != "" {
				t.Errorf("states at the node and at another one (-want +got):\n%s", diff)
			}
		})
	}
}
