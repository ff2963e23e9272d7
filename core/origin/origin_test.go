package origin

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"olivetiller/core/directory"
	"olivetiller/core/reach"
	_ "olivetiller/internal/fixedseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

func record(id, build string, owner Owner, expires int) Record {
	return Record{Key: KeyOf("", "h", id), Origin: Origin{"s", directory.BuildOf(build)}, Owner: owner, Expires: at(expires)}
}

// TestKeysDiffer checks that customers and hosts that use the same id have different keys, however the parts are cut.
func TestKeysDiffer(t *testing.T) {
	keys := []Key{KeyOf("", "h", "1"), KeyOf("c", "h", "1"), KeyOf("", "ch", "1"), KeyOf("c", "", "h1"), KeyOf("", "h", "12"), KeyOf("", "h1", "2")}
	for i, k := range keys {
		if slices.Index(keys, k) != i {
			t.Errorf("key %d equals an earlier one", i)
		}
		var back Key
		if err := back.UnmarshalText([]byte(k.String())); err != nil || back != k {
			t.Errorf("key %s decodes to %s, %v", k, back, err)
		}
	}
	if err := new(Key).UnmarshalText([]byte("short")); err == nil {
		t.Error("a text of the wrong length decodes to a key")
	}
}

// TestRegistry checks which records are found after others were added, and that an id under which streams of two builds
// began is ambiguous.
func TestRegistry(t *testing.T) {
	tests := []struct {
		name    string
		limit   int
		add     []Record
		now     int
		id      string
		want    string
		dropped int
	}{
		{"found", 9, []Record{record("1", "v1", 0, 10)}, 5, "1", "v1", 0},
		{"expired", 9, []Record{record("1", "v1", 0, 10)}, 10, "1", "", 0},
		{"extended", 9, []Record{record("1", "v1", 0, 10), record("1", "v1", 0, 20)}, 15, "1", "v1", 0},
		{"not shortened", 9, []Record{record("1", "v1", 0, 20), record("1", "v1", 0, 10)}, 15, "1", "v1", 0},
		{"of two builds", 9, []Record{record("1", "v1", 0, 10), record("1", "v2", 0, 10)}, 5, "1", "ambiguous", 0},
		{"in the past", 9, []Record{record("1", "v1", 0, 0)}, 0, "1", "", 0},
		{"drops what expires first", 2, []Record{record("1", "v1", 0, 30), record("2", "v1", 0, 20), record("3", "v1", 0, 40)}, 5, "2", "", 1},
		{"keeps the rest", 2, []Record{record("1", "v1", 0, 30), record("2", "v1", 0, 20), record("3", "v1", 0, 40)}, 5, "1", "v1", 1},
		{"drops that of the owner with the most", 3, []Record{record("1", "v1", 1, 20), record("2", "v1", 2, 50), record("3", "v1", 2, 60), record("4", "v1", 3, 70)}, 5, "1", "v1", 1},
		{"drops expired ones first", 1, []Record{record("1", "v1", 0, 1)}, 5, "1", "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRegistry(tt.limit)
			for _, rec := range tt.add {
				r.Add(rec, at(0))
			}
			got := ""
			if rec, ok := r.Find(KeyOf("", "h", tt.id), at(tt.now)); ok {
				if got = rec.Build.String(); rec.Ambiguous {
					got = "ambiguous"
				}
			}
			if got != tt.want || r.Dropped() != tt.dropped {
				t.Errorf("found %q with %d dropped, want %q with %d", got, r.Dropped(), tt.want, tt.dropped)
			}
		})
	}
}

// TestRegistryBounded checks over random records that a registry stays within its limit, and that a customer with few
// records loses none to one with many.
func TestRegistryBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(4, 12).Draw(t, "limit")
		r := NewRegistry(limit)
		r.Add(record("few", "v1", 7, 100), at(0))
		for i := range rapid.IntRange(0, 60).Draw(t, "records") {
			r.Add(record(fmt.Sprint(i), "v1", 8, rapid.IntRange(1, 90).Draw(t, "expires")), at(0))
			if r.Len() > limit {
				t.Fatalf("%d records, at most %d", r.Len(), limit)
			}
		}
		if _, ok := r.Find(KeyOf("", "h", "few"), at(0)); !ok {
			t.Error("a customer with one record lost it")
		}
		r.Expire(at(200))
		if r.Len() != 0 || len(r.owners) != 0 {
			t.Errorf("%d records of %d owners are left after all have expired", r.Len(), len(r.owners))
		}
	})
}

// TestKeepersAreAsked checks that the first two nodes that keep a record are in different data halls, and that the node that
// takes the stream up asks both first, also if one node has left and one has joined since.
func TestKeepersAreAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 130).Draw(t, "nodes")
		halls := rapid.IntRange(1, 15).Draw(t, "halls")
		var nodes []reach.Gateway
		hallOf := make(map[string]string)
		for i := range n {
			w := reach.Gateway{Address: fmt.Sprint("n", i), Hall: fmt.Sprint("h", i%halls)}
			nodes, hallOf[w.Address] = append(nodes, w), w.Hall
		}
		k := KeyOf("", "h", rapid.String().Draw(t, "id"))
		self := nodes[rapid.IntRange(0, n-1).Draw(t, "self")].Address
		keepers := Keepers(self, Order(k, nodes))
		if slices.Contains(keepers, self) || len(keepers) != min(n-1, maxTried) {
			t.Fatalf("%s has its record kept by %v", self, keepers)
		}
		keepers = keepers[:min(Copies, len(keepers))]
		if len(keepers) == 2 && hallOf[keepers[0]] == hallOf[keepers[1]] && slices.ContainsFunc(nodes, func(w reach.Gateway) bool {
			return w.Address != self && w.Hall != hallOf[keepers[0]]
		}) {
			t.Fatalf("both of %v are in one hall", keepers)
		}
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		left := append(slices.Clone(nodes[:gone]), nodes[gone+1:]...)
		left = append(left, reach.Gateway{Address: "new", Hall: rapid.SampledFrom([]string{"h0", "h99"}).Draw(t, "hall of the new one")})
		asked, more := Asked("asks", Order(k, left))
		for _, kept := range keepers {
			if len(asked) < maxAsked && kept != nodes[gone].Address && !slices.Contains(asked, kept) {
				t.Fatalf("%s keeps the record and is not among %v, which are asked first", kept, asked)
			}
		}
		if len(asked)+len(more) != min(len(left), maxAsked) {
			t.Fatalf("%d and %d nodes are asked of %d", len(asked), len(more), len(left))
		}
	})
}

// TestLedger checks the ledger after a sequence of observations.
func TestLedger(t *testing.T) {
	v1, v2 := directory.BuildOf("v1"), directory.BuildOf("v2")
	one, two := Present{"s": {v1}}, Present{"s": {v2, v1}}
	hours := func(n int) time.Duration { return time.Duration(n) * time.Hour }
	tests := []struct {
		name string
		from *Ledger
		obs  []Observed
		sole string
	}{
		{"nothing seen", First(), nil, "none"},
		{"one build", First(), []Observed{{Present: one}}, "v1"},
		{"two builds", First(), []Observed{{Present: two}}, "none"},
		{"a second one since", First(), []Observed{{Present: one}, {Present: two}}, "none"},
		{"one that went lately", First(), []Observed{{Present: two}, {Present: one, Elapsed: hours(23)}}, "none"},
		{"one that went a day ago", First(), []Observed{{Present: two}, {Present: one, Elapsed: hours(12)}, {Present: one, Elapsed: hours(12)}}, "v1"},
		{"one that went and came back", First(), []Observed{{Present: two}, {Present: one, Elapsed: hours(20)}, {Present: two, Elapsed: hours(1)}, {Present: one, Elapsed: hours(20)}}, "none"},
		{"after a ledger was lost", Unknown(), []Observed{{Present: one}}, "none"},
		{"an hour after a ledger was lost", Unknown(), []Observed{{Present: one}, {Present: one, Elapsed: hours(1)}}, "v1"},
		{"a new service after a ledger was lost", Unknown(), []Observed{{Present: Present{"t": {v1}}}, {Present: one, Elapsed: time.Minute}}, "none"},
		{"a route moved", First(), []Observed{{Present: one}, {Present: one, Moved: []string{"s"}}}, "none"},
		{"a route of another service moved", First(), []Observed{{Present: one}, {Present: one, Moved: []string{"t"}}}, "v1"},
		{"a route moved an hour ago", First(), []Observed{{Present: one, Moved: []string{"s"}}, {Present: one, Elapsed: hours(1)}}, "v1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := tt.from
			for _, o := range tt.obs {
				l = l.Next(o)
			}
			got := "none"
			if b, ok := l.Sole("s"); ok {
				got = b.String()
			}
			if got != tt.sole {
				t.Errorf("sole build %s, want %s", got, tt.sole)
			}
		})
	}
}

// TestLedgerNeverWrong plays random rollouts, holders that change, and streams that begin at admitted builds only, and
// checks that the ledger never names a sole build while a stream of another one may be taken up.
func TestLedgerNeverWrong(t *testing.T) {
	builds := []directory.Build{directory.BuildOf("v1"), directory.BuildOf("v2"), directory.BuildOf("v3")}
	rapid.Check(t, func(t *rapid.T) {
		l := First()
		// alive is until when, in hours from the start, streams of a build may be taken up.
		now, alive := 0.0, make(map[directory.Build]float64)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			var present []directory.Build
			for _, b := range builds {
				if rapid.Bool().Draw(t, "present "+b.String()) {
					present = append(present, b)
				}
			}
			passed := rapid.SampledFrom([]float64{0, 0.01, 0.5, 5, 12}).Draw(t, "hours")
			now += passed
			o := Observed{Present: Present{"s": present}}
			switch rapid.SampledFrom([]string{"same holder", "same holder", "next holder", "ledger lost"}).Draw(t, "holder") {
			case "same holder":
				o.Elapsed = time.Duration(passed * float64(time.Hour))
			case "ledger lost":
				l = Unknown()
			}
			l = l.Next(o)
			for _, b := range present {
				if l.Admits("s", b) && rapid.Bool().Draw(t, "a stream begins") {
					alive[b] = now + MaxAge.Hours()
				}
			}
			if sole, ok := l.Sole("s"); ok {
				for b, until := range alive {
					if b != sole && now < until {
						t.Fatalf("the ledger names %s as the sole build, and a stream of %s may be taken up", sole, b)
					}
				}
			}
		}
	})
}

// TestLedgerOpensForManyBuilds guards against a ledger that outgrows the lease record: where endpoints have more builds than it
// holds, it admits all of them, names none, and concludes nothing until those streams are over.
func TestLedgerOpensForManyBuilds(t *testing.T) {
	many := Present{}
	for i := range 20000 {
		many["s"] = append(many["s"], directory.BuildOf(fmt.Sprint("v", i)))
	}
	v1 := directory.BuildOf("v1")
	l := First().Next(Observed{Present: many})
	if raw, err := json.Marshal(l); err != nil || len(raw) > 200 {
		t.Errorf("%d bytes, %v", len(raw), err)
	}
	if !l.Admits("s", directory.BuildOf("v19999")) {
		t.Error("a build is not admitted")
	}
	one := Observed{Present: Present{"s": {v1}}, Elapsed: 13 * time.Hour}
	for hours := 13; hours <= 52; hours += 13 {
		l = l.Next(one)
		if _, sole := l.Sole("s"); sole != (hours > 25) {
			t.Errorf("%d h after there were too many builds: sole %t", hours, sole)
		}
	}
}

// TestLedgerEqual checks that ledgers compare equal while only their durations run.
func TestLedgerEqual(t *testing.T) {
	l := First().Next(Observed{Present: Present{"s": {directory.BuildOf("v1")}}})
	if !l.Equal(l.Next(Observed{Elapsed: time.Minute})) || l.Equal(l.Next(Observed{Present: Present{"s": {directory.BuildOf("v2")}}})) || l.Equal(nil) {
		t.Error("Equal does not tell a change of builds from time that passed")
	}
}
