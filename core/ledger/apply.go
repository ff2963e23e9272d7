package ledger

import (
	"google.golang.org/protobuf/proto"

	pb "olivetiller/proto/olivetiller/v1"
)

// ApplyEntry applies the log entry at offset and returns one outcome per record.
// Entries must be applied in offset order, without gaps other than those of the
// log itself. An entry that cannot be decoded changes nothing but NextOffset, so
// that all nodes stay in the same state.
func (s *State) ApplyEntry(offset uint64, data []byte) []Outcome {
	var batch pb.Batch
	if err := proto.Unmarshal(data, &batch); err != nil {
		s.NextOffset = offset + 1
		return nil
	}
	outcomes := make([]Outcome, 0, len(batch.GetRecords()))
	for _, r := range batch.GetRecords() {
		outcomes = append(outcomes, s.Apply(offset, r))
	}
	s.NextOffset = offset + 1
	return outcomes
}

// Apply accepts or rejects one record of the log entry at offset and updates the
// state. Queued loads are granted the load slots that the record freed.
func (s *State) Apply(offset uint64, r *pb.Record) Outcome {
	o := Outcome{Offset: offset, Record: r}
	s.advance(r.GetTimeUnixMs())
	if s.isDuplicate(r) {
		o.Reason = Repeated
		return o
	}
	s.dispatch(r, &o)
	s.grantSlots(offset + 1)
	return o
}

func (s *State) dispatch(r *pb.Record, o *Outcome) {
	from := NodeRef{r.GetNode(), r.GetIncarnation()}
	// The fence is one above the offset: a fence of 0 means no order.
	fence := o.Offset + 1
	switch b := r.GetBody().(type) {
	case *pb.Record_Load:
		o.Reason = s.load(b.Load, from, fence)
	case *pb.Record_LoadDone:
		o.Reason = s.loadDone(b.LoadDone)
	case *pb.Record_LoadFailed:
		o.Reason = s.loadFailed(b.LoadFailed, fence)
	case *pb.Record_Takeover:
		o.Reason = s.takeover(b.Takeover, from, fence)
	case *pb.Record_Unload:
		o.Reason = s.unload(b.Unload, from, fence)
	case *pb.Record_UnloadDone:
		o.Reason = s.unloadDone(b.UnloadDone, fence)
	case *pb.Record_QuarantineEnd:
		o.Reason = s.quarantineEnd(b.QuarantineEnd)
	case *pb.Record_EngineUp:
		o.Reason = s.engineUp(b.EngineUp)
	case *pb.Record_EngineGone:
		o.Reason = s.engineGone(b.EngineGone)
	case *pb.Record_EngineDrain:
		o.Reason = s.engineDrain(b.EngineDrain)
	case *pb.Record_ConfigChange:
		o.Reason, o.Revision = s.configChange(b.ConfigChange)
	case *pb.Record_Claim:
		o.Reason, o.Claim = s.claim(b.Claim, from)
	case *pb.Record_ClaimRelease:
		o.Reason = s.claimRelease(b.ClaimRelease, from)
	case *pb.Record_ClaimDone:
		o.Reason = s.claimDone(b.ClaimDone, from)
	case *pb.Record_Mark, *pb.Record_MarkHash:
		// A mark changes no state; the controller acts on its outcome by hashing the state.
	default:
		o.Reason = Unsupported
	}
	if o.Reason == Accepted {
		o.Fence = fence
	}
}

// advance moves LogicalTime forward to the time of a record, by MaxTimeStep at
// most, and deletes expired entries. LogicalTime depends on the records alone, so
// all nodes delete the same entries at the same offset.
func (s *State) advance(unixMs int64) {
	if s.LogicalTime == 0 {
		s.LogicalTime = unixMs
		s.lastSweep = unixMs
		return
	}
	limit := s.LogicalTime + MaxTimeStep.Milliseconds()
	s.LogicalTime = max(s.LogicalTime, min(unixMs, limit))
	if s.LogicalTime-s.lastSweep >= sweepInterval.Milliseconds() {
		s.lastSweep = s.LogicalTime
		s.sweep()
	}
}

func (s *State) sweep() {
	claimsFrom := s.LogicalTime - ClaimWindow.Milliseconds()
	for id, c := range s.Claims {
		if c.KeyTime < claimsFrom {
			delete(s.Claims, id)
		}
	}
	sendersFrom := s.LogicalTime - SenderWindow.Milliseconds()
	for ref, sd := range s.lastSequences {
		if sd.lastSeen < sendersFrom {
			delete(s.lastSequences, ref)
		}
	}
	for id, c := range s.appliedChanges {
		if c.appliedAt < sendersFrom {
			delete(s.appliedChanges, id)
		}
	}
}

// isDuplicate reports whether the record was applied already, and stores its
// sequence number if not.
//
// A node appends its records in sequence order, each only after the previous one
// is known to be on the log. A sequence number at or below the last one applied
// therefore always belongs to a duplicate, even if it reaches the log late.
func (s *State) isDuplicate(r *pb.Record) bool {
	ref := NodeRef{r.GetNode(), r.GetIncarnation()}
	last, ok := s.lastSequences[ref]
	if ok && r.GetSequence() <= last.sequence && s.enforces(GuardRepeat) {
		return true
	}
	s.lastSequences[ref] = lastSequence{sequence: r.GetSequence(), lastSeen: s.LogicalTime}
	return false
}
