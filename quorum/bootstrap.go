package quorum

import (
	"github.com/briarcross/briarcross/pb"
	"google.golang.org/protobuf/proto"
)

// bootstrap binds the identities of the first members.
type bootstrap struct {
	list    *pb.Membership
	decided bool
	// announced holds the list that each peer has stored.
	announced []announcement
	// helloAt is the tick of the next announcement.
	helloAt   uint64
	displaced bool
}

type announcement struct {
	from string
	list *pb.Membership
}

func (b *bootstrap) record() *pb.Bootstrap {
	return &pb.Bootstrap{
		Membership: proto.CloneOf(b.list),
		Decided:    b.decided,
	}
}

// restoreBootstrap continues a bootstrap, or begins one in an empty storage.
func (c *Core) restoreBootstrap() {
	stored := c.options.Stored.Bootstrap
	switch {
	case stored != nil:
		c.boot.list = proto.CloneOf(stored.Membership)
		c.boot.decided = stored.Decided
	case !c.options.Join && len(c.options.Bootstrap) > 0 && len(c.members) == 0 && c.log.last() == 0:
		c.beginBootstrap()
	}
}

func (c *Core) beginBootstrap() {
	c.boot.list = &pb.Membership{Size: max(c.options.TargetVoters, uint32(len(c.options.Bootstrap)))}
	for _, r := range c.options.Bootstrap {
		member := proto.CloneOf(r)
		member.Identity = 0
		member.Learner = false
		if member.Id == c.options.ID {
			member.Identity = c.options.Identity
		}
		c.boot.list.Replicas = append(c.boot.list.Replicas, member)
	}
	c.writes.dirtyBoot = true
	c.tryDecide()
}

func (c *Core) bootstrapping() bool {
	return c.boot.list != nil && !c.boot.decided && len(c.members) == 0
}

func (c *Core) tickBootstrap() {
	if !c.bootstrapping() || c.tick < c.boot.helloAt {
		return
	}
	c.boot.helloAt = c.tick + c.options.HeartbeatTicks
	for _, r := range c.boot.list.Replicas {
		if r.Id != c.options.ID {
			c.sendHello(pb.QuorumKind_QUORUM_HELLO, r.Id, 0)
		}
	}
}

// sendHello announces the identity, and the first membership as far as it is
// on stable storage.
func (c *Core) sendHello(kind pb.QuorumKind, to string, identity uint64) {
	c.sendAfterData(&pb.QuorumMessage{
		Kind:       kind,
		To:         to,
		ToIdentity: identity,
		Membership: proto.CloneOf(c.boot.list),
	})
}

func (c *Core) receiveHello(m *pb.QuorumMessage) {
	if m.Kind == pb.QuorumKind_QUORUM_HELLO_REPLY && m.ToIdentity != c.options.Identity {
		return
	}
	c.noteSpare(m)
	if c.bootstrapping() {
		c.bind(m)
	}
	if m.Kind == pb.QuorumKind_QUORUM_HELLO {
		c.sendHello(pb.QuorumKind_QUORUM_HELLO_REPLY, m.From, m.FromIdentity)
	}
}

// bind keeps the first identity that is heard for each first member.
func (c *Core) bind(m *pb.QuorumMessage) {
	r := findReplica(c.boot.list, m.From)
	if r == nil {
		return
	}
	c.noteDisplaced(m)
	if r.Identity == 0 {
		r.Identity = m.FromIdentity
		c.writes.dirtyBoot = true
	}
	if r.Identity != m.FromIdentity {
		return
	}
	c.boot.note(m.From, m.Membership)
	c.tryDecide()
}

func (c *Core) noteDisplaced(m *pb.QuorumMessage) {
	self := findReplica(m.Membership, c.options.ID)
	if c.boot.displaced || self == nil || self.Identity == 0 || self.Identity == c.options.Identity {
		return
	}
	c.boot.displaced = true
	c.out.Put(IdentityMismatch{m.From, self.Identity})
}

func (b *bootstrap) note(from string, list *pb.Membership) {
	for i := range b.announced {
		if b.announced[i].from == from {
			b.announced[i].list = list
			return
		}
	}
	b.announced = append(b.announced, announcement{from, list})
}

func (b *bootstrap) complete() bool {
	for _, r := range b.list.GetReplicas() {
		if r.Identity == 0 {
			return false
		}
	}
	return b.list != nil
}

// tryDecide puts the first membership in force once every first member has
// announced the same complete list.
func (c *Core) tryDecide() {
	if !c.boot.complete() {
		return
	}
	agreed := 1
	for _, a := range c.boot.announced {
		if proto.Equal(a.list, c.boot.list) {
			agreed++
		}
	}
	if agreed == len(c.boot.list.Replicas) {
		c.decide()
	}
}

func (c *Core) decide() {
	c.boot.decided = true
	c.writes.dirtyBoot = true
	c.members = []memberVersion{{0, c.boot.list}}
	c.resetElection()
}
