package evacuation

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSet checks the set after records and complete lists in any order.
func TestSet(t *testing.T) {
	type step struct {
		// halls is a complete list; nil if the step is one record.
		halls []string
		hall  string
		on    bool
		at    uint64
	}
	record := func(hall string, on bool, at uint64) step { return step{hall: hall, on: on, at: at} }
	list := func(at uint64, halls ...string) step { return step{halls: append([]string{}, halls...), at: at} }
	tests := []struct {
		name  string
		steps []step
		want  []string
	}{
		{"begun", []step{record("a", true, 3)}, []string{"a"}},
		{"begun twice", []step{record("a", true, 3), record("a", true, 5)}, []string{"a"}},
		{"taken back", []step{record("a", true, 3), record("a", false, 4)}, nil},
		{"taken back, then the older record again", []step{record("a", true, 3), record("a", false, 4), record("a", true, 3)}, nil},
		{"taken back before it was known", []step{record("a", false, 4), record("a", true, 3)}, nil},
		{"all halls", []step{record("b", true, 3), record("a", true, 4)}, []string{"a", "b"}},
		{"not on a later list", []step{record("a", true, 3), list(5)}, nil},
		{"not on an earlier list", []step{record("a", true, 5), list(3)}, []string{"a"}},
		{"on a list of before it was taken back", []step{record("a", false, 5), list(4, "a")}, nil},
		{"a record of before the list", []step{list(5), record("a", true, 3)}, nil},
		{"an older list after a newer one", []step{list(5, "a"), list(4)}, []string{"a"}},
		{"on a list, then taken back", []step{list(5, "a"), record("a", false, 6)}, nil},
		{"again after a list without it", []step{list(5), record("a", true, 6)}, []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s Set
			for _, st := range tt.steps {
				if st.halls != nil {
					s.Replace(st.halls, st.at)
				} else {
					s.Apply(st.hall, st.on, st.at)
				}
			}
			if diff := cmp.Diff(tt.want, s.Halls()); diff != "" {
				t.Errorf("halls (-want +got):\n%s", diff)
			}
		})
	}
}
