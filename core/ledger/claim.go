package ledger

import pb "olivetiller/proto/olivetiller/v1"

// claim gives the single run of a once-only request to the first proposer.
//
// Claims are forgotten when their key is older than ClaimWindow by the fold's
// time, and a key that old is refused by the same time. The fold's time never
// falls, so a key whose claim was forgotten can never be claimed again,
// whatever the clocks of the nodes say.
func (s *State) claim(c *pb.Claim, from NodeRef) (Reason, *Claim) {
	var id ClaimID
	if copy(id[:], c.GetId()) != len(id) {
		return Unsupported, nil
	}
	if s.guards(GuardClaim) {
		if c.GetKeyTimeUnixMs() < s.FoldTime-ClaimWindow.Milliseconds() {
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

// owned returns the running claim of id if from owns it.
func (s *State) owned(raw []byte, from NodeRef) (*Claim, Reason) {
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
	c, r := s.owned(rel.GetId(), from)
	if r != Accepted {
		return r
	}
	delete(s.Claims, c.ID)
	return Accepted
}

func (s *State) claimDone(d *pb.ClaimDone, from NodeRef) Reason {
	c, r := s.owned(d.GetId(), from)
	if r != Accepted {
		return r
	}
	done := *c
	done.Phase = Lost
	if d.GetRan() {
		done.Phase = Answered
	}
	done.Status = d.GetStatus()
	// Claims are handed out in outcomes, so they are replaced and not changed.
	s.Claims[c.ID] = &done
	return Accepted
}
