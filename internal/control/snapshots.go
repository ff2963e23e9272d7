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

// Sizes of snapshots.
const (
	chunkBytes = 256 << 10
	// maxChunks bounds a snapshot: 4 GB, far beyond the letter's 1.3 MB.
	maxChunks = 1 << 14
	// recentMost bounds the entries kept for peers.
	recentMost = 4096
	// marksKept bounds the marks whose hashes are remembered.
	marksKept = 16
	// snapshotHome is the key whose home writes snapshots.
	snapshotHome = "snapshots"
	chunkTimeout = 10 * time.Second
)

// snapshots is what a node keeps for snapshots and for peers that are behind.
type snapshots struct {
	// marks holds the own hash at each mark.
	marks map[uint64][32]byte
	// votes holds the hashes that nodes published for each mark.
	votes map[uint64]map[string][32]byte
	// lastMark is the offset of the latest mark folded.
	lastMark uint64
	// proposed is set while an own mark is on its way.
	proposed time.Time

	mu     sync.Mutex
	recent []*pb.LogEntry
}

func newSnapshots() snapshots {
	return snapshots{marks: make(map[uint64][32]byte), votes: make(map[uint64]map[string][32]byte)}
}

// keep remembers an entry for peers that are behind.
func (s *snapshots) keep(offset uint64, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent = append(s.recent, &pb.LogEntry{Offset: offset, Data: data})
	if len(s.recent) > 2*recentMost {
		s.recent = append([]*pb.LogEntry(nil), s.recent[recentMost:]...)
	}
}

// recent returns kept entries from an offset on, or none if it is too old.
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
	if len(out) > fetchMost {
		out = out[:fetchMost]
	}
	return append([]*pb.LogEntry(nil), out...)
}

// maybeMark proposes a mark when enough was folded since the last one and this
// node is the home of snapshots.
func (c *Controller) maybeMark() {
	now := c.Clock.Now()
	if c.state.NextOffset < c.snap.lastMark+c.SnapshotEvery || c.planner.Home(snapshotHome) != c.Self.Node {
		return
	}
	if now.Sub(c.snap.proposed) < 5*time.Second {
		return
	}
	c.snap.proposed = now
	c.Submit(&pb.Record{Body: &pb.Record_Mark{Mark: &pb.Mark{}}})
}

// onMark hashes the state at a mark. Every node does so at the same record, so
// the hashes must be equal; the mark's proposer also writes the snapshot.
//
// The state is taken inside the entry that holds the mark, so the snapshot says
// that the entry must be folded again from its start: the sequence numbers make
// the records before the mark repeats, and those after it are folded for the
// first time.
func (c *Controller) onMark(o ledger.Outcome) {
	c.snap.lastMark = o.Offset
	data, hash, err := ledger.Encode(c.state.Snapshot())
	if err != nil {
		c.Logger.Error("snapshot failed", "error", err.Error())
		return
	}
	c.snap.marks[o.Offset] = hash
	for at := range c.snap.marks {
		if at+marksKept*c.SnapshotEvery < o.Offset {
			delete(c.snap.marks, at)
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
			c.Logger.Warn("snapshot not written; the next mark tries again", "error", err.Error())
			return
		}
	}
	c.Metrics.Snapshots.Add(1)
	c.Submit(markHash(mark, hash))
}

func markHash(mark uint64, hash [32]byte) *pb.Record {
	return &pb.Record{Body: &pb.Record_MarkHash{MarkHash: &pb.MarkHash{MarkOffset: mark, Hash: hash[:]}}}
}

// onMarkHash compares a published hash with the own. On a difference every node
// publishes its own, once; the node whose hash has fewer votes than another has
// diverged and serves nothing more.
func (c *Controller) onMarkHash(from string, m *pb.MarkHash) {
	own, ok := c.snap.marks[m.GetMarkOffset()]
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
		c.Logger.Error("states differ", "mark", m.GetMarkOffset(), "node", from)
		if _, voted := votes[c.Self.Node]; !voted {
			votes[c.Self.Node] = own
			c.Submit(markHash(m.GetMarkOffset(), own))
		}
	}
	if outvoted(votes, own) {
		c.diverged = true
		c.dirty = true
		c.Logger.Error("this node's state has diverged; it serves nothing more: replace it", "mark", m.GetMarkOffset())
	}
}

// outvoted reports whether another hash has at least two votes and more than own.
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

// encodeState returns the folded state for a peer.
func (c *Controller) encodeState(ctx context.Context) *pb.PeerSnapshot {
	s, ok := ask(ctx, c, (*Controller).snapshotNow)
	if !ok {
		return &pb.PeerSnapshot{}
	}
	return s
}

// snapshotNow returns the folded state, or an empty one that no peer takes.
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

// assemble returns the newest whole snapshot among chunks.
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
			// No snapshot is that long: the entry is damaged.
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
