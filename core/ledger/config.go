package ledger

import (
	"olivetiller/core/catalog"
	pb "olivetiller/proto/olivetiller/v1"
)

// configChange merges a change into the configuration if that is still at the
// change's base revision. It returns the revision that the change created, or the
// one in force if it is rejected. A change id that was accepted already is
// accepted again without effect. The merged configuration is validated again
// here, because the proposer may run another release.
func (s *State) configChange(c *pb.ConfigChange) (Reason, uint64) {
	if done, ok := s.appliedChanges[c.GetChangeId()]; ok {
		return Accepted, done.revision
	}
	if c.GetBaseRevision() != s.Revision && s.enforces(GuardRevision) {
		return RevisionMoved, s.Revision
	}
	next := catalog.Merge(s.Catalog.Config, c.GetUpsert(), c.GetRemove())
	if len(catalog.Check(next)) > 0 {
		return ConfigFaults, s.Revision
	}
	s.Catalog = catalog.New(next)
	s.Revision++
	s.appliedChanges[c.GetChangeId()] = appliedChange{revision: s.Revision, appliedAt: s.LogicalTime}
	return Accepted, s.Revision
}

// ChangeRevision returns the revision that the change with this id created, and
// false if no such change was accepted within SenderWindow.
func (s *State) ChangeRevision(changeID string) (uint64, bool) {
	c, ok := s.appliedChanges[changeID]
	return c.revision, ok
}
