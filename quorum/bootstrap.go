package quorum

import (
	"github.com/briarcross/briarcross/pb"
	"google.golang.org/protobuf/proto"
)

// bootstrapState tracks how the first members bind their identities before the
// first election.
type bootstrapState struct {
	// membership lists the first members with the identities bound so far; an
	// unbound identity is zero.
	membership *pb.Membership
	// decided is set once all first members announced the same membership.
	decided bool
	// announced holds the latest membership that each peer has stored.
	announced []announcement
	// nextHelloAt is the tick at which the next hello messages are due.
	nextHelloAt uint64
	// mismatchReported is set once IdentityMismatch was emitted.
	mismatchReported bool
}

// announcement is the membership that a peer sent in a hello message.
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

// restoreBootstrap continues a stored bootstrap, or begins one if the storage is
// empty.
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

// sendHello announces this replica's identity and the first membership with the
// identities bound so far. The message is held until that binding is on stable
// storage.
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

// bindIdentity binds the first identity that each first member announces.
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

// reportIdentityMismatch emits IdentityMismatch once if the sender binds another
// identity to this replica's ID.
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
// announced the same membership with all identities bound.
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
