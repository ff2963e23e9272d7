package ledger

import pb "olivetiller/proto/olivetiller/v1"

// claim gives the right to run a once-only request to the first proposer. It
// returns the new claim, or the existing one with KeyTaken.
//
// Claims are deleted when their key is older than ClaimWindow by LogicalTime, and a
// key that old is rejected by the same clock. LogicalTime never decreases, so a key
// whose claim was deleted can never be claimed again, whatever the clocks of the
// nodes show.
func (s *State) claim(c *pb.Claim, from NodeRef) (Reason, *Claim) {
	var id ClaimID
	if copy(id[:], c.GetId()) != len(id) {
		return Unsupported, nil
	}
	if s.enforces(GuardClaim) {
		if c.GetKeyTimeUnixMs() < s.LogicalTime-ClaimWindow.Milliseconds() {
			return KeyExpired, nil
		}
		if held := s.Claims[id]; held != nil {
			return KeyTaken, held
		}
	}
	won := &Claim{ID: id, KeyTime: c.GetKeyTimeUnixMs(), Owner: from, Phase: Claimed}
	s.Claims[id] = won
	return Accepted, won
}

// ownedClaim returns the claim with the given id if it is in phase Claimed and
// owned by from; otherwise nil and the reason for the rejection.
func (s *State) ownedClaim(raw []byte, from NodeRef) (*Claim, Reason) {
	var id ClaimID
	copy(id[:], raw)
	c := s.Claims[id]
	if c == nil || c.Owner != from {
		return nil, NotOwner
	}
	if c.Phase != Claimed {
		return nil, WrongPhase
	}
	return c, Accepted
}

func (s *State) claimRelease(rel *pb.ClaimRelease, from NodeRef) Reason {
	c, r := s.ownedClaim(rel.GetId(), from)
	if r != Accepted {
		return r
	}
	delete(s.Claims, c.ID)
	return Accepted
}

func (s *State) claimDone(d *pb.ClaimDone, from NodeRef) Reason {
	c, r := s.ownedClaim(d.GetId(), from)
	if r != Accepted {
		return r
	}
	done := *c
	done.Phase = Lost
	if d.GetRan() {
		done.Phase = Answered
	}
	done.Status = d.GetStatus()
	// Outcomes share the pointer to a claim, so the claim is replaced and not modified.
	s.Claims[c.ID] = &done
	return Accepted
}
