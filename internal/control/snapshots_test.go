package control

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/ledger"
	pb "olivetiller/proto/olivetiller/v1"
)

// TestOutvoted checks which node counts as diverged for given hashes of a mark. A
// node must not stop serving because of a single differing hash, since either side
// may be wrong.
func TestOutvoted(t *testing.T) {
	a, b := [32]byte{1}, [32]byte{2}
	tests := []struct {
		name  string
		votes map[string][32]byte
		own   [32]byte
		want  bool
	}{
		{"all agree", map[string][32]byte{"x": a, "y": a}, a, false},
		{"one against two", map[string][32]byte{"x": a, "y": a, "z": b}, b, true},
		{"the two of them", map[string][32]byte{"x": a, "y": a, "z": b}, a, false},
		{"one against one proves nothing", map[string][32]byte{"x": a, "y": b}, b, false},
		{"two against two", map[string][32]byte{"w": a, "x": a, "y": b, "z": b}, b, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if got := outvoted(tc.votes, tc.own); got != tc.want {
				t.Errorf("outvoted = %t, want %t", got, tc.want)
			}
		})
	}
}

// snapshotAt returns the chunks of a snapshot whose next offset is next.
func snapshotAt(t *testing.T, next uint64, chunks int) []*pb.SnapshotChunk {
	t.Helper()
	s := ledger.NewState()
	s.NextOffset = next
	data, hash, err := ledger.Encode(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var out []*pb.SnapshotChunk
	for i := range chunks {
		out = append(out, &pb.SnapshotChunk{
			NextOffset: next, Index: uint32(i), Count: uint32(chunks), Hash: hash[:],
			Data: data[i*len(data)/chunks : (i+1)*len(data)/chunks],
		})
	}
	return out
}

// TestAssemble checks that the newest complete snapshot is found among incomplete,
// damaged, duplicated and reordered chunks.
func TestAssemble(t *testing.T) {
	whole := snapshotAt(t, 700, 2)
	newer := snapshotAt(t, 900, 3)
	damaged := snapshotAt(t, 950, 1)
	damaged[0].Data = append([]byte{0xff}, damaged[0].Data...)
	tests := []struct {
		name   string
		chunks []*pb.SnapshotChunk
		want   uint64
	}{
		{"none", nil, 0},
		{"one", whole, 700},
		{"the newer of two", append(append([]*pb.SnapshotChunk(nil), whole...), newer...), 900},
		{"the newer is not whole", append(append([]*pb.SnapshotChunk(nil), whole...), newer[:2]...), 700},
		{"the newest is damaged", append(append([]*pb.SnapshotChunk(nil), newer...), damaged...), 900},
		{"a count that no memory holds", append([]*pb.SnapshotChunk{{Count: 1 << 31, Hash: []byte("x")}}, whole...), 700},
		{"chunks twice and out of order", []*pb.SnapshotChunk{newer[2], newer[0], newer[0], newer[1]}, 900},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var got uint64
			if s := assemble(tc.chunks); s != nil {
				got = s.NextOffset
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("next offset (-want +got):\n%s", diff)
			}
		})
	}
}
