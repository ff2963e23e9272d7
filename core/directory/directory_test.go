package directory

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func registered(id string) Record {
	return Record{ID: id, Instance: &Instance{ID: id, Service: "s", Address: "a:1"}}
}

// version returns r with version v.
func version(v uint64, r Record) Record {
	r.Version = v
	return r
}

// relayed returns r as a record from another node.
func relayed(r Record) Record {
	r.Relayed = true
	return r
}

func ignoreChange(Record, Change) {}

func draining(id string) Record {
	return Record{ID: id, Instance: &Instance{ID: id, Service: "s", Address: "a:1", Draining: true}}
}

// TestLive checks which endpoints count as live, and which of them take new work.
func TestLive(t *testing.T) {
	tests := []struct {
		name string
		do   func(d *Directory)
		now  time.Time
		// want lists the live ids; a trailing minus marks a draining endpoint.
		want []string
	}{
		{"recorded", func(d *Directory) { d.Apply(registered("a"), at(0)) }, at(9000), []string{"a"}},
		{"gone while the store was well", func(d *Directory) {
			d.Apply(registered("a"), at(0))
			d.Apply(Record{ID: "a"}, at(100))
		}, at(100), nil},
		{"vanished after the store was away", func(d *Directory) {
			d.Apply(registered("a"), at(0))
			d.HoldRemovals(at(5000).Add(registerGrace))
			d.Apply(Record{ID: "a"}, at(5100))
		}, at(7400), []string{"a"}},
		{"vanished and still missing later", func(d *Directory) {
			d.Apply(registered("a"), at(0))
			d.HoldRemovals(at(5000).Add(registerGrace))
			d.Apply(Record{ID: "a"}, at(5100))
		}, at(7500), nil},
		{"vanished and back", func(d *Directory) {
			d.Apply(registered("a"), at(0))
			d.HoldRemovals(at(5000).Add(registerGrace))
			d.Apply(Record{ID: "a"}, at(5100))
			d.Apply(registered("a"), at(6500))
		}, at(9000), []string{"a"}},
		{"leaving and recorded as ready by an older record", func(d *Directory) {
			d.Apply(draining("a"), at(0))
			d.Apply(registered("a"), at(10))
		}, at(20), []string{"a-"}},
		{"said itself that it leaves", func(d *Directory) {
			d.Apply(registered("a"), at(0))
			d.Drain("a")
			d.Apply(registered("a"), at(10))
		}, at(20), []string{"a-"}},
		{"missing on a whole list", func(d *Directory) {
			d.Apply(registered("a"), at(0))
			d.Replace([]Record{registered("b")}, 0, at(10), ignoreChange)
		}, at(10), []string{"b"}},
		{"recorded after a whole list was read", func(d *Directory) {
			d.Apply(version(7, registered("a")), at(0))
			d.Replace([]Record{version(3, registered("b"))}, 5, at(10), ignoreChange)
		}, at(10), []string{"a", "b"}},
		{"gone, and relayed by one that has not heard", func(d *Directory) {
			d.Apply(version(3, registered("a")), at(0))
			d.Apply(version(7, Record{ID: "a"}), at(10))
			d.Apply(version(3, registered("a")), at(20))
		}, at(20), nil},
		{"gone, and relayed as trusted a little longer", func(d *Directory) {
			d.Apply(version(7, Record{ID: "a"}), at(10))
			d.Apply(version(7, registered("a")), at(20))
		}, at(20), nil},
		{"gone, and back by a later record", func(d *Directory) {
			d.Apply(version(7, Record{ID: "a"}), at(10))
			d.Apply(version(9, registered("a")), at(20))
		}, at(20), []string{"a"}},
		{"gone, and relayed by one that keeps it because the store was away", func(d *Directory) {
			keeper := New()
			keeper.Apply(version(3, registered("a")), at(0))
			keeper.HoldRemovals(at(10).Add(registerGrace))
			keeper.Replace(nil, 9, at(20), ignoreChange)
			d.Apply(version(3, registered("a")), at(0))
			d.Apply(version(7, Record{ID: "a"}), at(10))
			for _, r := range keeper.Records(at(30)) {
				d.Apply(r, at(30))
			}
		}, at(30), nil},
		{"relayed as gone after the store was away", func(d *Directory) {
			d.Apply(version(3, registered("a")), at(0))
			d.HoldRemovals(at(10).Add(registerGrace))
			d.Apply(version(7, relayed(Record{ID: "a"})), at(20))
		}, at(20), nil},
		{"kept after the store was away, and relayed as gone", func(d *Directory) {
			d.Apply(version(3, registered("a")), at(0))
			d.HoldRemovals(at(10).Add(registerGrace))
			d.Apply(version(9, Record{ID: "a"}), at(20))
			d.Apply(version(7, relayed(Record{ID: "a"})), at(30))
		}, at(30), nil},
		{"kept after the store was away, and missing on a relayed whole list", func(d *Directory) {
			d.Apply(version(3, registered("a")), at(0))
			d.HoldRemovals(at(10).Add(registerGrace))
			d.Replace(nil, 9, at(20), ignoreChange)
			d.ReplaceRelayed(nil, 7, at(30), ignoreChange)
		}, at(30), nil},
		{"kept after the store was away, and missing on a relayed whole list of before it was added", func(d *Directory) {
			d.Apply(version(7, registered("a")), at(0))
			d.HoldRemovals(at(10).Add(registerGrace))
			d.Replace(nil, 9, at(20), ignoreChange)
			d.ReplaceRelayed(nil, 6, at(30), ignoreChange)
		}, at(30), []string{"a"}},
		{"kept after the store was away, and relayed as gone before it was added", func(d *Directory) {
			d.Apply(version(7, registered("a")), at(0))
			d.HoldRemovals(at(10).Add(registerGrace))
			d.Apply(version(9, Record{ID: "a"}), at(20))
			d.Apply(version(5, relayed(Record{ID: "a"})), at(30))
		}, at(30), []string{"a"}},
		{"kept after the store was away, and on a relayed whole list", func(d *Directory) {
			d.Apply(version(3, registered("a")), at(0))
			d.HoldRemovals(at(10).Add(registerGrace))
			d.Replace(nil, 9, at(20), ignoreChange)
			d.ReplaceRelayed([]Record{version(3, relayed(registered("a")))}, 7, at(30), ignoreChange)
		}, at(30), []string{"a"}},
		{"back after the store was away, and missing on an older relayed whole list", func(d *Directory) {
			d.Apply(version(3, registered("a")), at(0))
			d.HoldRemovals(at(10).Add(registerGrace))
			d.Replace(nil, 9, at(20), ignoreChange)
			d.Apply(version(11, registered("a")), at(25))
			d.ReplaceRelayed(nil, 9, at(30), ignoreChange)
		}, at(30), []string{"a"}},
		{"relayed as gone by one that has not heard of its return", func(d *Directory) {
			d.Apply(version(9, registered("a")), at(10))
			d.Apply(version(7, Record{ID: "a"}), at(20))
		}, at(20), []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New()
			tt.do(d)
			var got []string
			for _, e := range d.Live(tt.now) {
				id := e.ID
				if e.Draining {
					id += "-"
				}
				got = append(got, id)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("Live (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRelayed checks that a relayed record, which contains no holdings, does not clear the holdings
// known from the entry itself.
func TestRelayed(t *testing.T) {
	d := New()
	whole := registered("a")
	whole.Instance.Holdings = Holdings{Models: []Held{{Model: "m"}}}
	d.Apply(whole, at(0))
	if got := d.Apply(relayed(draining("a")), at(1)); got != Routing {
		t.Errorf("Apply = %v, want Routing", got)
	}
	want := *whole.Instance
	want.Draining = true
	if diff := cmp.Diff(want, d.Live(at(2))[0].Instance); diff != "" {
		t.Errorf("instance (-want +got):\n%s", diff)
	}
}

// TestApplyReportsChanges checks that Apply reports no change for a heartbeat or a repeated deletion.
func TestApplyReportsChanges(t *testing.T) {
	d := New()
	got := []Change{d.Apply(registered("a"), at(0)), d.Apply(registered("a"), at(1)), d.Apply(draining("a"), at(2)), d.Apply(Record{ID: "a"}, at(3)), d.Apply(Record{ID: "a"}, at(4))}
	if diff := cmp.Diff([]Change{Routing, Unchanged, Routing, Routing, Unchanged}, got); diff != "" {
		t.Errorf("Apply (-want +got):\n%s", diff)
	}
}

// TestRestart checks which state of an endpoint is dropped when it restarts under the same id.
func TestRestart(t *testing.T) {
	started := func(s Start, r Record) Record {
		r.Instance.Start = s
		return r
	}
	holding := registered("a")
	holding.Instance.Models = []Held{{Model: "m"}}
	tests := []struct {
		name   string
		first  Record
		second Record
		want   Instance
	}{
		{"one that left takes work again", started(1, draining("a")), started(2, registered("a")), Instance{ID: "a", Start: 2, Service: "s", Address: "a:1"}},
		{"one that leaves does not without a new start", started(1, draining("a")), started(1, registered("a")), Instance{ID: "a", Start: 1, Service: "s", Address: "a:1", Draining: true}},
		{"a relayed start ends what it held", started(1, holding), relayed(started(2, registered("a"))), Instance{ID: "a", Start: 2, Service: "s", Address: "a:1"}},
		{"a record of a former start changes nothing", started(2, registered("a")), started(1, draining("a")), Instance{ID: "a", Start: 2, Service: "s", Address: "a:1"}},
		{"a later record of a clock set back counts", version(1, started(2, registered("a"))), version(2, started(1, draining("a"))), Instance{ID: "a", Start: 1, Service: "s", Address: "a:1", Draining: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New()
			d.Apply(tt.first, at(0))
			d.Apply(tt.second, at(10))
			if diff := cmp.Diff(tt.want, d.Live(at(20))[0].Instance); diff != "" {
				t.Errorf("instance (-want +got):\n%s", diff)
			}
		})
	}
}

// TestForeignEntries checks that entries without a start are ignored if endpoints publish their starts,
// in whatever order the entries arrive.
func TestForeignEntries(t *testing.T) {
	started := func(id string) Record {
		r := registered(id)
		r.Instance.Start = 5
		return r
	}
	tests := []struct {
		name    string
		records []Record
		want    []string
	}{
		{"where none tells one", []Record{registered("x"), registered("y")}, []string{"x", "y"}},
		{"before", []Record{registered("x"), started("a"), started("b")}, []string{"a", "b"}},
		{"after", []Record{started("a"), started("b"), registered("x")}, []string{"a", "b"}},
		{"another writer's start alone", []Record{registered("x"), registered("y"), started("a")}, []string{"a", "x", "y"}},
		{"entries that are gone do not count", []Record{registered("x"), registered("y"), started("a"), {ID: "x"}, {ID: "y"}}, []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New()
			for _, r := range tt.records {
				d.Apply(r, at(0))
			}
			var got []string
			for _, e := range d.Live(at(1)) {
				got = append(got, e.ID)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("Live (-want +got):\n%s", diff)
			}
		})
	}
}
