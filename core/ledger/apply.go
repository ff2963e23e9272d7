package ledger

import (
	"google.golang.org/protobuf/proto"

	pb "olivetiller/proto/olivetiller/v1"
)

// ApplyEntry folds the entry of the log at offset. Entries must be applied in
// offset order without gaps other than those the log itself has. An entry that
// cannot be decoded is folded as nothing, by every node alike.
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

// Apply folds one record of the entry at offset.
func (s *State) Apply(offset uint64, r *pb.Record) Outcome {
	o := Outcome{Offset: offset, Record: r}
	s.advance(r.GetTimeUnixMs())
	if s.repeated(r) {
		o.Reason = Repeated
		return o
	}
	s.dispatch(r, &o)
	s.grant(offset + 1)
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
		// Marks change nothing; their readers act on the outcome.
	default:
		o.Reason = Unsupported
	}
	if o.Reason == Accepted {
		o.Fence = fence
	}
}

// advance moves the fold's time to a record's, within MaxTimeStep, and sweeps
// what has expired. It depends on the records alone, so all nodes sweep alike.
func (s *State) advance(unixMs int64) {
	if s.FoldTime == 0 {
		s.FoldTime = unixMs
		s.lastSweep = unixMs
		return
	}
	limit := s.FoldTime + MaxTimeStep.Milliseconds()
	s.FoldTime = max(s.FoldTime, min(unixMs, limit))
	if s.FoldTime-s.lastSweep >= sweepEvery.Milliseconds() {
		s.lastSweep = s.FoldTime
		s.sweep()
	}
}

func (s *State) sweep() {
	claimsFrom := s.FoldTime - ClaimWindow.Milliseconds()
	for id, c := range s.Claims {
		if c.KeyTime < claimsFrom {
			delete(s.Claims, id)
		}
	}
	sendersFrom := s.FoldTime - SenderWindow.Milliseconds()
	for ref, sd := range s.senders {
		if sd.seen < sendersFrom {
			delete(s.senders, ref)
		}
	}
	for id, c := range s.changes {
		if c.seen < sendersFrom {
			delete(s.changes, id)
		}
	}
}

// repeated reports whether the record was folded before, and notes it if not.
//
// A node sends its records in sequence order and sends none before the one
// before it is known to be on the log, so a sequence at or below the last one
// folded can only be a repeat, also when it surfaces late.
func (s *State) repeated(r *pb.Record) bool {
	ref := NodeRef{r.GetNode(), r.GetIncarnation()}
	last, ok := s.senders[ref]
	if ok && r.GetSequence() <= last.sequence && s.guards(GuardRepeat) {
		return true
	}
	s.senders[ref] = sender{sequence: r.GetSequence(), seen: s.FoldTime}
	return false
}
