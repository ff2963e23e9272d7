package ledger

import (
	"bytes"
	"crypto/sha256"
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/rotisserie/eris"

	"olivetiller/core/catalog"
	pb "olivetiller/proto/olivetiller/v1"
)

// ErrSnapshot is returned by [Decode] and [Restore] for a snapshot that is damaged
// or inconsistent.
var ErrSnapshot = eris.New("the snapshot is damaged; fetch it from another peer or an earlier one from the log")

// Snapshot returns the state as a message with all lists sorted, so that equal
// states yield equal bytes when encoded by [Encode].
func (s *State) Snapshot() *pb.Snapshot {
	return &pb.Snapshot{
		NextOffset:      s.NextOffset,
		FoldTimeUnixMs:  s.LogicalTime,
		LastSweepUnixMs: s.lastSweep,
		Revision:        s.Revision,
		Config:          s.Catalog.Config,
		Engines:         s.engineProtos(),
		Placements:      s.placementProtos(),
		Claims:          s.claimProtos(),
		Senders:         s.senderProtos(),
		Changes:         s.changeProtos(),
	}
}

// Encode serializes a snapshot deterministically and returns the bytes and their
// SHA-256.
func Encode(snap *pb.Snapshot) ([]byte, [32]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snap)
	if err != nil {
		return nil, [32]byte{}, eris.Wrap(err, "encode snapshot")
	}
	return data, sha256.Sum256(data), nil
}

// Decode checks the SHA-256 of an encoded snapshot and restores its state. The
// error wraps [ErrSnapshot].
func Decode(data, hash []byte) (*State, error) {
	sum := sha256.Sum256(data)
	if !bytes.Equal(sum[:], hash) {
		return nil, eris.Wrap(ErrSnapshot, "hash differs")
	}
	var snap pb.Snapshot
	if err := proto.Unmarshal(data, &snap); err != nil {
		return nil, eris.Wrap(ErrSnapshot, err.Error())
	}
	return Restore(&snap)
}

// Restore rebuilds the state and its indexes from a snapshot. The error wraps
// [ErrSnapshot].
func Restore(snap *pb.Snapshot) (*State, error) {
	s := NewState()
	s.NextOffset = snap.GetNextOffset()
	s.LogicalTime = snap.GetFoldTimeUnixMs()
	s.lastSweep = snap.GetLastSweepUnixMs()
	s.Revision = snap.GetRevision()
	if snap.GetConfig() != nil {
		s.Catalog = catalog.New(snap.GetConfig())
	}
	for _, es := range snap.GetEngines() {
		e := newEngine(es.GetUp())
		e.Draining = es.GetDraining()
		s.Engines[e.Name] = e
	}
	for _, ps := range snap.GetPlacements() {
		if s.Engines[ps.GetEngine()] == nil {
			return nil, eris.Wrapf(ErrSnapshot, "placement of %s on unknown engine %s", ps.GetUnit(), ps.GetEngine())
		}
		s.add(placementFromProto(ps))
	}
	for _, cs := range snap.GetClaims() {
		c := claimFromProto(cs)
		s.Claims[c.ID] = c
	}
	for _, ss := range snap.GetSenders() {
		s.lastSequences[NodeRef{ss.GetNode(), ss.GetIncarnation()}] = lastSequence{ss.GetSequence(), ss.GetSeenUnixMs()}
	}
	for _, cs := range snap.GetChanges() {
		s.appliedChanges[cs.GetChangeId()] = appliedChange{cs.GetRevision(), cs.GetSeenUnixMs()}
	}
	return s, nil
}

func (s *State) engineProtos() []*pb.EngineState {
	out := make([]*pb.EngineState, 0, len(s.Engines))
	for _, e := range s.Engines {
		out = append(out, &pb.EngineState{
			Up: &pb.EngineUp{
				Engine: e.Name, Incarnation: e.Incarnation, Address: e.Address,
				Hall: e.Hall, MemoryBytes: e.MemoryBytes, ChecksFences: e.ChecksFences,
			},
			Draining: e.Draining,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Up.Engine < out[j].Up.Engine })
	return out
}

func (s *State) placementProtos() []*pb.PlacementState {
	var out []*pb.PlacementState
	for _, e := range s.Engines {
		for _, p := range e.Placements {
			out = append(out, &pb.PlacementState{
				Unit: p.Unit, Version: p.Version, Engine: p.Engine,
				Phase: uint32(p.Phase), Fence: p.Fence,
				Executor:   p.Executor.Node,
				LateOrders: p.LateOrders, Bytes: p.Bytes, Store: p.Store,
				ExecutorIncarnation: p.Executor.Incarnation, UrgentUnixMs: p.Deadline,
			})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.Engine != b.Engine {
			return a.Engine < b.Engine
		}
		if a.Unit != b.Unit {
			return a.Unit < b.Unit
		}
		return a.Version < b.Version
	})
	return out
}

func placementFromProto(ps *pb.PlacementState) *Placement {
	return &Placement{
		Key:        Key{ps.GetUnit(), ps.GetVersion(), ps.GetEngine()},
		Phase:      Phase(ps.GetPhase()),
		Fence:      ps.GetFence(),
		Executor:   NodeRef{ps.GetExecutor(), ps.GetExecutorIncarnation()},
		LateOrders: ps.GetLateOrders(),
		Bytes:      ps.GetBytes(),
		Store:      ps.GetStore(),
		Deadline:   ps.GetUrgentUnixMs(),
	}
}

func (s *State) claimProtos() []*pb.ClaimState {
	out := make([]*pb.ClaimState, 0, len(s.Claims))
	for _, c := range s.Claims {
		id := c.ID
		out = append(out, &pb.ClaimState{
			Id: id[:], KeyTimeUnixMs: c.KeyTime, Owner: c.Owner.Node,
			OwnerIncarnation: c.Owner.Incarnation, Phase: uint32(c.Phase), Status: c.Status,
		})
	}
	sort.Slice(out, func(i, j int) bool { return bytes.Compare(out[i].Id, out[j].Id) < 0 })
	return out
}

func claimFromProto(cs *pb.ClaimState) *Claim {
	c := &Claim{
		KeyTime: cs.GetKeyTimeUnixMs(),
		Owner:   NodeRef{cs.GetOwner(), cs.GetOwnerIncarnation()},
		Phase:   ClaimPhase(cs.GetPhase()),
		Status:  cs.GetStatus(),
	}
	copy(c.ID[:], cs.GetId())
	return c
}

func (s *State) senderProtos() []*pb.SenderState {
	out := make([]*pb.SenderState, 0, len(s.lastSequences))
	for ref, sd := range s.lastSequences {
		out = append(out, &pb.SenderState{
			Node: ref.Node, Incarnation: ref.Incarnation, Sequence: sd.sequence, SeenUnixMs: sd.lastSeen,
		})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Node != out[j].Node {
			return out[i].Node < out[j].Node
		}
		return out[i].Incarnation < out[j].Incarnation
	})
	return out
}

func (s *State) changeProtos() []*pb.ChangeState {
	out := make([]*pb.ChangeState, 0, len(s.appliedChanges))
	for id, c := range s.appliedChanges {
		out = append(out, &pb.ChangeState{ChangeId: id, Revision: c.revision, SeenUnixMs: c.appliedAt})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ChangeId < out[j].ChangeId })
	return out
}
