package quorum

import "github.com/briarcross/briarcross/pb"

// Status is a view of a replica for operators and shells.
type Status struct {
	Term         uint64
	CommitIndex  uint64
	AppliedIndex uint64
	// StableIndex is the last entry on this replica's stable storage.
	StableIndex uint64
	// FirstIndex and Last bound the entries of the log.
	FirstIndex uint64
	LastIndex  uint64
	LeaderID   string
	// Leading is set on the leader.
	Leading bool
	// Membership is the latest committed one; nil before there is one.
	Membership *pb.Membership
	// Peers is filled on the leader only.
	Peers []PeerStatus
}

// PeerStatus is the leader's knowledge of another replica.
type PeerStatus struct {
	ID         string
	MatchIndex uint64
	Active     bool
}

// Status returns a view of the replica.
func (c *Core) Status() Status {
	s := Status{
		Term:         c.term,
		CommitIndex:  c.commitIndex,
		AppliedIndex: c.appliedIndex,
		StableIndex:  c.stableIndex,
		FirstIndex:   c.log.firstIndex(),
		LastIndex:    c.log.lastIndex(),
		LeaderID:     c.leaderID,
		Leading:      c.role == leader,
		Membership:   c.committedMembership(),
	}
	for _, p := range c.peers {
		s.Peers = append(s.Peers, PeerStatus{p.replica.Id, p.matchIndex, c.isActive(p)})
	}
	return s
}
