package control

import (
	"bytes"
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"olivetiller/core/ledger"
	pb "olivetiller/proto/olivetiller/v1"
)

// Sizes, limits and timeout of snapshots.
const (
	// chunkBytes is the size of the chunks in which a snapshot is written.
	chunkBytes = 256 << 10
	// maxChunks bounds a snapshot to 4 GB; snapshots of about 1.3 MB are expected.
	maxChunks = 1 << 14
	// maxRecentEntries is the least number of latest log entries kept for peers;
	// up to twice as many are held.
	maxRecentEntries = 4096
	// keptMarks bounds the latest marks whose hashes are kept, in multiples of
	// SnapshotEvery entries.
	keptMarks = 16
	// snapshotHomeKey is the key whose home node writes snapshots.
	snapshotHomeKey = "snapshots"
	// chunkTimeout bounds the append of one chunk.
	chunkTimeout = 10 * time.Second
)

// snapshots holds the hashes of the state at marks, by which nodes detect
// divergence, and the latest log entries, for peers that are behind. A mark is a
// record at which every node hashes its state.
type snapshots struct {
	// ownHashes holds this node's hash at each mark, by offset of the mark.
	ownHashes map[uint64][32]byte
	// votes holds the hashes that nodes published for each mark, by offset and node.
	votes map[uint64]map[string][32]byte
	// lastMark is the offset of the latest mark applied, or of the state loaded at
	// boot.
	lastMark uint64
	// proposedAt is when this node last proposed a mark.
	proposedAt time.Time

	// mu guards recent, which peer requests read.
	mu     sync.Mutex
	recent []*pb.LogEntry
}

func newSnapshots() snapshots {
	return snapshots{ownHashes: make(map[uint64][32]byte), votes: make(map[uint64]map[string][32]byte)}
}

// addRecent keeps an applied entry for peers that are behind.
func (s *snapshots) addRecent(offset uint64, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent = append(s.recent, &pb.LogEntry{Offset: offset, Data: data})
	if len(s.recent) > 2*maxRecentEntries {
		s.recent = append([]*pb.LogEntry(nil), s.recent[maxRecentEntries:]...)
	}
}

// recent returns up to maxFetchedEntries kept entries from an offset on, or none if
// the entry at the offset is no longer kept or not yet applied.
func (c *Controller) recent(from uint64) []*pb.LogEntry {
	c.snap.mu.Lock()
	defer c.snap.mu.Unlock()
	if len(c.snap.recent) == 0 || from < c.snap.recent[0].GetOffset() {
		return nil
	}
	i := int(from - c.snap.recent[0].GetOffset())
	if i >= len(c.snap.recent) {
		return nil
	}
	out := c.snap.recent[i:]
	if len(out) > maxFetchedEntries {
		out = out[:maxFetchedEntries]
	}
	return append([]*pb.LogEntry(nil), out...)
}

// proposeMark proposes a mark if SnapshotEvery entries were applied since the last
// one and this node is the home of snapshots.
func (c *Controller) proposeMark() {
	now := c.Clock.Now()
	if c.state.NextOffset < c.snap.lastMark+c.SnapshotEvery || c.planner.Home(snapshotHomeKey) != c.Self.Node {
		return
	}
	if now.Sub(c.snap.proposedAt) < 5*time.Second {
		return
	}
	c.snap.proposedAt = now
	c.Submit(&pb.Record{Body: &pb.Record_Mark{Mark: &pb.Mark{}}})
}

// markApplied hashes the state at a mark. Every node does so at the same record, so
// all hashes must be equal. The mark's proposer also writes the snapshot.
//
// The snapshot is taken in the middle of the log entry that holds the mark, and its
// next offset is that entry: a node that restores it applies the entry again from
// the start. The records before the mark are then rejected as duplicates by their
// sequence numbers, and those after it are applied for the first time.
func (c *Controller) markApplied(o ledger.Outcome) {
	c.snap.lastMark = o.Offset
	data, hash, err := ledger.Encode(c.state.Snapshot())
	if err != nil {
		c.Logger.Error("snapshot failed", "error", err.Error())
		return
	}
	c.snap.ownHashes[o.Offset] = hash
	for at := range c.snap.ownHashes {
		if at+keptMarks*c.SnapshotEvery < o.Offset {
			delete(c.snap.ownHashes, at)
			delete(c.snap.votes, at)
		}
	}
	if o.Record.GetNode() == c.Self.Node && o.Record.GetIncarnation() == c.Self.Incarnation {
		go c.writeSnapshot(o.Offset, c.state.NextOffset, data, hash)
	}
}

// writeSnapshot appends a snapshot in chunks and then publishes its hash.
func (c *Controller) writeSnapshot(mark, next uint64, data []byte, hash [32]byte) {
	count := (len(data) + chunkBytes - 1) / chunkBytes
	for i := range count {
		part := data[i*chunkBytes : min((i+1)*chunkBytes, len(data))]
		chunk, err := proto.Marshal(&pb.SnapshotChunk{
			NextOffset: next, Index: uint32(i), Count: uint32(count), Hash: hash[:], Data: part,
		})
		if err != nil {
			c.Logger.Error("snapshot failed", "error", err.Error())
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), chunkTimeout)
		_, err = c.Snapshots.Append(ctx, chunk)
		cancel()
		if err != nil {
			c.Logger.Warn("cannot write snapshot; retrying at the next mark", "error", err.Error())
			return
		}
	}
	c.Metrics.Snapshots.Add(1)
	c.Submit(markHash(mark, hash))
}

func markHash(mark uint64, hash [32]byte) *pb.Record {
	return &pb.Record{Body: &pb.Record_MarkHash{MarkHash: &pb.MarkHash{MarkOffset: mark, Hash: hash[:]}}}
}

// compareHash compares the hash that a node published for a mark with this node's
// own. If they differ, this node publishes its own hash too, once per mark. A node
// whose hash has fewer votes than another hash with at least two votes has diverged
// and stops serving.
func (c *Controller) compareHash(from string, m *pb.MarkHash) {
	own, ok := c.snap.ownHashes[m.GetMarkOffset()]
	if !ok {
		return
	}
	votes := c.snap.votes[m.GetMarkOffset()]
	if votes == nil {
		votes = make(map[string][32]byte)
		c.snap.votes[m.GetMarkOffset()] = votes
	}
	var theirs [32]byte
	copy(theirs[:], m.GetHash())
	votes[from] = theirs
	if theirs != own {
		c.Logger.Error("state hash of another node differs", "mark", m.GetMarkOffset(), "node", from)
		if _, voted := votes[c.Self.Node]; !voted {
			votes[c.Self.Node] = own
			c.Submit(markHash(m.GetMarkOffset(), own))
		}
	}
	if outvoted(votes, own) {
		c.diverged = true
		c.viewStale = true
		c.Logger.Error("this node's state has diverged; it stops serving: replace the node", "mark", m.GetMarkOffset())
	}
}

// outvoted reports whether a hash other than own has at least two votes and more
// votes than own.
func outvoted(votes map[string][32]byte, own [32]byte) bool {
	count := make(map[[32]byte]int)
	for _, h := range votes {
		count[h]++
	}
	for h, n := range count {
		if h != own && n >= 2 && n > count[own] {
			return true
		}
	}
	return false
}

// encodeState returns the encoded state for a peer; it is empty if the context ends
// first.
func (c *Controller) encodeState(ctx context.Context) *pb.PeerSnapshot {
	s, ok := ask(ctx, c, (*Controller).snapshotNow)
	if !ok {
		return &pb.PeerSnapshot{}
	}
	return s
}

// snapshotNow returns the encoded state, or an empty message, which peers ignore, if
// this node has not booted or has diverged.
func (c *Controller) snapshotNow() *pb.PeerSnapshot {
	if !c.booted || c.diverged {
		return &pb.PeerSnapshot{}
	}
	data, hash, err := ledger.Encode(c.state.Snapshot())
	if err != nil {
		return &pb.PeerSnapshot{}
	}
	return &pb.PeerSnapshot{Data: data, Hash: hash[:]}
}

// assemble returns the state of the newest complete and undamaged snapshot among
// chunks, which may come duplicated and in any order; nil if there is none.
func assemble(chunks []*pb.SnapshotChunk) *ledger.State {
	type part struct {
		data  [][]byte
		have  int
		chunk *pb.SnapshotChunk
	}
	sets := make(map[string]*part)
	var best *ledger.State
	for _, ch := range chunks {
		if ch.GetCount() > maxChunks {
			// The chunk is damaged; allocating that many parts could exhaust memory.
			continue
		}
		key := string(ch.GetHash())
		p := sets[key]
		if p == nil {
			p = &part{data: make([][]byte, ch.GetCount()), chunk: ch}
			sets[key] = p
		}
		if i := int(ch.GetIndex()); i < len(p.data) && p.data[i] == nil {
			p.data[i] = ch.GetData()
			p.have++
		}
		if p.have != len(p.data) {
			continue
		}
		if s, err := ledger.Decode(bytes.Join(p.data, nil), ch.GetHash()); err == nil && (best == nil || s.NextOffset >= best.NextOffset) {
			best = s
		}
	}
	return best
}
