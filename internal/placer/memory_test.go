package placer

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/directory"
	"olivetiller/core/route"
	"olivetiller/io/peer"
)

// fleetSnapshot returns the encoded full snapshot of a fleet whose endpoints have three models and eight adapters
// each.
func fleetSnapshot(t testing.TB, endpoints, models int) []byte {
	t.Helper()
	s := peer.Snapshot{Term: "h-1/1", Fence: 1, Version: 1, Full: true, Nodes: 984, Serving: make(map[string][]string)}
	for i := range endpoints {
		id := fmt.Sprintf("i-%010x", i*7919)
		s.Instances = append(s.Instances, directory.Record{ID: id, Version: uint64(i + 1), Since: uint64(i + 1), Relayed: true, Instance: &directory.Instance{
			ID: id, Start: directory.Start(1772525181150 + i), Service: "daje71a", Address: fmt.Sprintf("10.%d.%d.%d:8784", 1+i%5, i/250%250, i%250), Hall: fmt.Sprintf("bayern-%c", 'a'+i%5), Slots: 12,
		}})
		for j := range 3 {
			s.Serving[id] = append(s.Serving[id], fmt.Sprintf("unit/daje71a/mida%06d", (i+j*277)%models))
		}
		for j := range 8 {
			s.Serving[id] = append(s.Serving[id], fmt.Sprintf("unit/daje71a/mida%06d/a%d", i%models, (i+j)%16))
		}
	}
	raw, err := json.Marshal(&s)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// liveHeap returns the number of bytes in use after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestFleetFitsIntoWeakNodes guards against a node with 184 MB of memory whose state of 9,998 endpoints takes more
// than 32 MB at its peak, of which half is left for garbage.
func TestFleetFitsIntoWeakNodes(t *testing.T) {
	const most = 32 << 20 / 2
	raw := fleetSnapshot(t, 9998, 812)
	clock := clockwork.NewFakeClock()
	before := liveHeap()
	c := newController(clock)
	table, err := route.New(&route.Config{Version: 1, Services: []route.Service{{Name: "daje71a", Engine: &route.Engine{}}}})
	if err != nil {
		t.Fatal(err)
	}
	c.config.Store(&confirmedConfig{table: table})
	s, err := peer.DecodeSnapshot(raw)
	if err != nil {
		t.Fatal(err)
	}
	snapshotReceived{s, 0, clock.Now()}.handle(c)
	s = nil
	c.publish(clock.Now())
	used := liveHeap() - before
	t.Logf("%d bytes on the wire, %.1f MB kept", len(raw), float64(used)/(1<<20))
	if used > most {
		t.Errorf("%.1f MB in use for %d endpoints, want at most %d", float64(used)/(1<<20), len(c.index.byEndpoint), most>>20)
	}
	runtime.KeepAlive(c)
	runtime.KeepAlive(raw)
}
