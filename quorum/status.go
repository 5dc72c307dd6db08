package quorum

import "github.com/briarcross/briarcross/pb"

// Status is the state of a replica as operators and the host code see it.
type Status struct {
	Term         uint64
	CommitIndex  uint64
	AppliedIndex uint64
	// StableIndex is the index of the last entry on this replica's stable storage.
	StableIndex uint64
	// FirstIndex and LastIndex bound the entries of the log.
	FirstIndex uint64
	LastIndex  uint64
	// LeaderID is empty while this replica knows no leader.
	LeaderID string
	// Leading is set on the leader.
	Leading bool
	// Membership is the latest committed membership; nil before there is one.
	Membership *pb.Membership
	// Peers is set on the leader only.
	Peers []PeerStatus
}

// PeerStatus is the state of another replica as the leader knows it.
type PeerStatus struct {
	ID string
	// MatchIndex is the last index known to be synced on the peer.
	MatchIndex uint64
	// Active is set if the peer sent a message within the shortest election timeout.
	Active bool
}

// Status returns the state of the replica.
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
