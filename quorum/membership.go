package quorum

import (
	"github.com/briarcross/briarcross/pb"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// memberVersion is a membership and the index of its entry. The latest one
// is in force, whether it is committed or not.
type memberVersion struct {
	index      uint64
	membership *pb.Membership
}

// membership returns the membership in force, or nil before there is one.
func (c *Core) membership() *pb.Membership {
	if len(c.members) == 0 {
		return nil
	}
	return c.members[len(c.members)-1].membership
}

// committedMembership returns the latest membership that is committed.
func (c *Core) committedMembership() *pb.Membership {
	for i := len(c.members) - 1; i >= 0; i-- {
		if c.members[i].index <= c.commit {
			return c.members[i].membership
		}
	}
	return nil
}

// membershipSettled reports whether another change may be appended.
func (c *Core) membershipSettled() bool {
	return c.commit >= c.barrier && c.members[len(c.members)-1].index <= c.commit
}

func findReplica(m *pb.Membership, id string) *pb.Replica {
	for _, r := range m.GetReplicas() {
		if r.Id == id {
			return r
		}
	}
	return nil
}

// bound reports whether the membership in force binds an identity to an ID.
func (c *Core) bound(id string, identity uint64) bool {
	r := findReplica(c.membership(), id)
	return r != nil && r.Identity == identity
}

func (c *Core) isVoter() bool {
	r := findReplica(c.membership(), c.options.ID)
	return r != nil && !r.Learner && r.Identity == c.options.Identity
}

func voters(m *pb.Membership) int {
	n := 0
	for _, r := range m.GetReplicas() {
		if !r.Learner {
			n++
		}
	}
	return n
}

// quorum returns the size of a majority of the voters.
func (c *Core) quorum() int {
	return voters(c.membership())/2 + 1
}

func encodeMembership(m *pb.Membership) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(eris.Wrap(err, "encode membership"))
	}
	return data
}

// noteMembership puts the membership of an entry in force.
func (c *Core) noteMembership(e *pb.LogEntry) {
	if e.Kind != pb.EntryKind_ENTRY_MEMBERSHIP {
		return
	}
	m := &pb.Membership{}
	if err := proto.Unmarshal(e.Data, m); err != nil {
		panic(eris.Wrapf(err, "decode membership entry %d", e.Index))
	}
	c.members = append(c.members, memberVersion{e.Index, m})
	c.forgetOldMemberships()
	c.syncPeers()
}

// forgetOldMemberships keeps the latest committed version and those after it.
func (c *Core) forgetOldMemberships() {
	keep := 0
	for i, v := range c.members {
		if v.index <= c.commit {
			keep = i
		}
	}
	c.members = append([]memberVersion(nil), c.members[keep:]...)
}

// changeMembership appends a membership that differs by one voter at most.
func (c *Core) changeMembership(m *pb.Membership) {
	c.appendNew(pb.EntryKind_ENTRY_MEMBERSHIP, encodeMembership(m))
	c.broadcastAppend(false)
	c.advanceCommit()
}

// leaveWhenRemoved ends the leadership of a replica that is no voter any more.
func (c *Core) leaveWhenRemoved() {
	if c.role == leader && !c.isVoter() && c.membershipSettled() {
		c.becomeFollower(c.term, "")
	}
}
