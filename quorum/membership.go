package quorum

import (
	"github.com/briarcross/briarcross/pb"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// membershipVersion is a membership and the index of its log entry. The latest
// version is in force, whether it is committed or not.
type membershipVersion struct {
	index      uint64
	membership *pb.Membership
}

// membership returns the membership in force, or nil before there is one.
func (c *Core) membership() *pb.Membership {
	if len(c.memberships) == 0 {
		return nil
	}
	return c.memberships[len(c.memberships)-1].membership
}

// committedMembership returns the latest membership that is committed.
func (c *Core) committedMembership() *pb.Membership {
	for i := len(c.memberships) - 1; i >= 0; i-- {
		if c.memberships[i].index <= c.commitIndex {
			return c.memberships[i].membership
		}
	}
	return nil
}

// canChangeMembership reports whether the leader may append a membership change:
// an entry of its own term and the latest membership are committed.
func (c *Core) canChangeMembership() bool {
	return c.commitIndex >= c.barrierIndex && c.memberships[len(c.memberships)-1].index <= c.commitIndex
}

func findReplica(m *pb.Membership, id string) *pb.Replica {
	for _, r := range m.GetReplicas() {
		if r.Id == id {
			return r
		}
	}
	return nil
}

// isMember reports whether the membership in force binds the identity to the ID.
func (c *Core) isMember(id string, identity uint64) bool {
	r := findReplica(c.membership(), id)
	return r != nil && r.Identity == identity
}

func (c *Core) isVoter() bool {
	r := findReplica(c.membership(), c.options.ID)
	return r != nil && !r.Learner && r.Identity == c.options.Identity
}

func countVoters(m *pb.Membership) int {
	n := 0
	for _, r := range m.GetReplicas() {
		if !r.Learner {
			n++
		}
	}
	return n
}

// quorumSize returns the size of a majority of the voters.
func (c *Core) quorumSize() int {
	return countVoters(c.membership())/2 + 1
}

func encodeMembership(m *pb.Membership) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(eris.Wrap(err, "encode membership"))
	}
	return data
}

// adoptMembership puts the membership in force if the entry holds one.
func (c *Core) adoptMembership(e *pb.LogEntry) {
	if e.Kind != pb.EntryKind_ENTRY_MEMBERSHIP {
		return
	}
	m := &pb.Membership{}
	if err := proto.Unmarshal(e.Data, m); err != nil {
		panic(eris.Wrapf(err, "decode membership of entry %d", e.Index))
	}
	c.memberships = append(c.memberships, membershipVersion{e.Index, m})
	c.pruneMemberships()
	c.syncPeers()
}

// pruneMemberships removes the versions before the latest committed one.
func (c *Core) pruneMemberships() {
	keep := 0
	for i, v := range c.memberships {
		if v.index <= c.commitIndex {
			keep = i
		}
	}
	c.memberships = append([]membershipVersion(nil), c.memberships[keep:]...)
}

// changeMembership appends a membership, which may differ by one voter at most.
func (c *Core) changeMembership(m *pb.Membership) {
	c.appendLeaderEntry(pb.EntryKind_ENTRY_MEMBERSHIP, encodeMembership(m))
	c.broadcastAppend(false)
	c.advanceCommit()
}

// stepDownIfRemoved ends the leadership of this replica once the membership that
// removes it as a voter is committed.
func (c *Core) stepDownIfRemoved() {
	if c.role == leader && !c.isVoter() && c.canChangeMembership() {
		c.becomeFollower(c.term, "")
	}
}
