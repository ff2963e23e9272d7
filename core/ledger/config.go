package ledger

import (
	"olivetiller/core/catalog"
	pb "olivetiller/proto/olivetiller/v1"
)

// configChange brings a configuration into force on top of the revision it was
// made for. The merged whole is checked again here, because the proposer may
// be of another release.
func (s *State) configChange(c *pb.ConfigChange) (Reason, uint64) {
	if done, ok := s.changes[c.GetChangeId()]; ok {
		return Accepted, done.revision
	}
	if c.GetBaseRevision() != s.Revision && s.guards(GuardRevision) {
		return RevisionMoved, s.Revision
	}
	next := catalog.Merge(s.Catalog.Config, c.GetUpsert(), c.GetRemove())
	if len(catalog.Check(next)) > 0 {
		return ConfigFaults, s.Revision
	}
	s.Catalog = catalog.New(next)
	s.Revision++
	s.changes[c.GetChangeId()] = change{revision: s.Revision, seen: s.FoldTime}
	return Accepted, s.Revision
}

// ChangeRevision returns the revision that a change id brought into force.
func (s *State) ChangeRevision(changeID string) (uint64, bool) {
	c, ok := s.changes[changeID]
	return c.revision, ok
}
