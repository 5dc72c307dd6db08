package quorum

import (
	"github.com/briarcross/briarcross/pb"
	"google.golang.org/protobuf/proto"
)

// bootstrapState binds the identities of the first members.
type bootstrapState struct {
	membership *pb.Membership
	decided    bool
	// announced holds the list that each peer has stored.
	announced []announcement
	// nextHelloAt is the tick of the next announcement.
	nextHelloAt      uint64
	mismatchReported bool
}

type announcement struct {
	from       string
	membership *pb.Membership
}

func (b *bootstrapState) toProto() *pb.Bootstrap {
	return &pb.Bootstrap{
		Membership: proto.CloneOf(b.membership),
		Decided:    b.decided,
	}
}

// restoreBootstrap continues a bootstrap, or begins one in an empty storage.
func (c *Core) restoreBootstrap() {
	stored := c.options.Stored.Bootstrap
	switch {
	case stored != nil:
		c.bootstrap.membership = proto.CloneOf(stored.Membership)
		c.bootstrap.decided = stored.Decided
	case !c.options.Join && len(c.options.Bootstrap) > 0 && len(c.memberships) == 0 && c.log.lastIndex() == 0:
		c.beginBootstrap()
	}
}

func (c *Core) beginBootstrap() {
	c.bootstrap.membership = &pb.Membership{Size: max(c.options.TargetVoters, uint32(len(c.options.Bootstrap)))}
	for _, r := range c.options.Bootstrap {
		member := proto.CloneOf(r)
		member.Identity = 0
		member.Learner = false
		if member.Id == c.options.ID {
			member.Identity = c.options.Identity
		}
		c.bootstrap.membership.Replicas = append(c.bootstrap.membership.Replicas, member)
	}
	c.writes.dirtyBootstrap = true
	c.tryDecide()
}

func (c *Core) isBootstrapping() bool {
	return c.bootstrap.membership != nil && !c.bootstrap.decided && len(c.memberships) == 0
}

func (c *Core) tickBootstrap() {
	if !c.isBootstrapping() || c.tick < c.bootstrap.nextHelloAt {
		return
	}
	c.bootstrap.nextHelloAt = c.tick + c.options.HeartbeatTicks
	for _, r := range c.bootstrap.membership.Replicas {
		if r.Id != c.options.ID {
			c.sendHello(pb.QuorumKind_QUORUM_HELLO, r.Id, 0)
		}
	}
}

// sendHello announces the identity, and the first membership as far as it is
// on stable storage.
func (c *Core) sendHello(kind pb.QuorumKind, to string, identity uint64) {
	c.sendAfterAllWrites(&pb.QuorumMessage{
		Kind:       kind,
		To:         to,
		ToIdentity: identity,
		Membership: proto.CloneOf(c.bootstrap.membership),
	})
}

func (c *Core) handleHello(m *pb.QuorumMessage) {
	if m.Kind == pb.QuorumKind_QUORUM_HELLO_REPLY && m.ToIdentity != c.options.Identity {
		return
	}
	c.recordAnnouncedSpare(m)
	if c.isBootstrapping() {
		c.bindIdentity(m)
	}
	if m.Kind == pb.QuorumKind_QUORUM_HELLO {
		c.sendHello(pb.QuorumKind_QUORUM_HELLO_REPLY, m.From, m.FromIdentity)
	}
}

// bindIdentity keeps the first identity that is heard for each first member.
func (c *Core) bindIdentity(m *pb.QuorumMessage) {
	r := findReplica(c.bootstrap.membership, m.From)
	if r == nil {
		return
	}
	c.reportIdentityMismatch(m)
	if r.Identity == 0 {
		r.Identity = m.FromIdentity
		c.writes.dirtyBootstrap = true
	}
	if r.Identity != m.FromIdentity {
		return
	}
	c.bootstrap.recordAnnouncement(m.From, m.Membership)
	c.tryDecide()
}

func (c *Core) reportIdentityMismatch(m *pb.QuorumMessage) {
	self := findReplica(m.Membership, c.options.ID)
	if c.bootstrap.mismatchReported || self == nil || self.Identity == 0 || self.Identity == c.options.Identity {
		return
	}
	c.bootstrap.mismatchReported = true
	c.out.Put(IdentityMismatch{m.From, self.Identity})
}

func (b *bootstrapState) recordAnnouncement(from string, membership *pb.Membership) {
	for i := range b.announced {
		if b.announced[i].from == from {
			b.announced[i].membership = membership
			return
		}
	}
	b.announced = append(b.announced, announcement{from, membership})
}

func (b *bootstrapState) isComplete() bool {
	for _, r := range b.membership.GetReplicas() {
		if r.Identity == 0 {
			return false
		}
	}
	return b.membership != nil
}

// tryDecide puts the first membership in force once every first member has
// announced the same complete list.
func (c *Core) tryDecide() {
	if !c.bootstrap.isComplete() {
		return
	}
	agreed := 1
	for _, a := range c.bootstrap.announced {
		if proto.Equal(a.membership, c.bootstrap.membership) {
			agreed++
		}
	}
	if agreed == len(c.bootstrap.membership.Replicas) {
		c.decide()
	}
}

func (c *Core) decide() {
	c.bootstrap.decided = true
	c.writes.dirtyBootstrap = true
	c.memberships = []membershipVersion{{0, c.bootstrap.membership}}
	c.resetElectionTimer()
}
