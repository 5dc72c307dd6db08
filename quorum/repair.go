package quorum

import (
	"slices"

	"github.com/briarcross/briarcross/pb"
	"google.golang.org/protobuf/proto"
)

// announcedSpare is a replica outside the membership that answered a hello.
type announcedSpare struct {
	replica     *pb.Replica
	announcedAt uint64
}

// recordAnnouncedSpare keeps the identity that a known replica announces.
func (c *Core) recordAnnouncedSpare(m *pb.QuorumMessage) {
	if c.role != leader || c.isMember(m.From, m.FromIdentity) {
		return
	}
	known := c.knownReplica(m.From)
	if known == nil {
		return
	}
	spare := announcedSpare{
		replica: &pb.Replica{
			Id:         known.Id,
			Address:    known.Address,
			DataCentre: known.DataCentre,
			Identity:   m.FromIdentity,
		},
		announcedAt: c.tick,
	}
	for i := range c.announcedSpares {
		if c.announcedSpares[i].replica.Id == m.From {
			c.announcedSpares[i] = spare
			return
		}
	}
	c.announcedSpares = append(c.announcedSpares, spare)
}

// knownReplica finds the address of a replica that may join.
func (c *Core) knownReplica(id string) *pb.Replica {
	for _, r := range c.knownReplicas() {
		if r.Id == id {
			return r
		}
	}
	return nil
}

// knownReplicas lists the members, then the replicas that the options name; a
// replica may come twice.
func (c *Core) knownReplicas() []*pb.Replica {
	return slices.Concat(c.membership().GetReplicas(), c.options.Spares, c.options.Bootstrap)
}

// probeSpares asks the replicas outside the membership, and silent ones that
// may have lost their folder, for their identity.
func (c *Core) probeSpares() {
	if c.options.RepairTicks == 0 {
		return
	}
	var probed []string
	for _, r := range c.knownReplicas() {
		p := c.peer(r.Id)
		if r.Id == c.options.ID || p != nil && c.isActive(p) || slices.Contains(probed, r.Id) {
			continue
		}
		probed = append(probed, r.Id)
		c.sendHello(pb.QuorumKind_QUORUM_HELLO, r.Id, 0)
	}
}

// repair advances the replacement of a lost replica by one membership change.
func (c *Core) repair() {
	if c.role != leader || c.options.RepairTicks == 0 || !c.canChangeMembership() {
		return
	}
	if p := c.learnerProgress(); p != nil {
		c.repairLearner(p)
		return
	}
	c.repairVoters()
}

func (c *Core) repairVoters() {
	target := int(c.membership().Size)
	count := countVoters(c.membership())
	if count > target {
		c.removeExtraVoter()
		return
	}
	if count < target {
		c.addReplacement(c.membership().Repair.GetLost())
		return
	}
	if id, ok := c.voterWithNewIdentity(); ok {
		c.addReplacement(id)
		return
	}
	if lost := c.lostVoter(); lost != nil {
		c.addReplacement(lost.replica.Id)
		return
	}
	if id, ok := c.retiringVoter(); ok {
		c.addReplacement(id)
	}
}

// voterWithNewIdentity returns a voter that announces another identity than the one
// that is bound: the folder that voted is gone, so no silence has to pass.
func (c *Core) voterWithNewIdentity() (string, bool) {
	for _, s := range c.announcedSpares {
		if c.isRecentlyAnnounced(s) && c.isInactiveVoter(s.replica.Id) {
			return s.replica.Id, true
		}
	}
	return "", false
}

func (c *Core) isInactiveVoter(id string) bool {
	p := c.peer(id)
	return p != nil && !p.replica.Learner && !c.isActive(p)
}

// retiringVoter returns a voter that is to leave the group.
func (c *Core) retiringVoter() (string, bool) {
	for _, r := range c.membership().Replicas {
		if !r.Learner && slices.Contains(c.retiringIDs, r.Id) {
			return r.Id, true
		}
	}
	return "", false
}

func (c *Core) learnerProgress() *progress {
	for _, p := range c.peers {
		if p.replica.Learner {
			return p
		}
	}
	return nil
}

// repairLearner promotes a learner whose synced log covers everything
// committed, and gives a lost one up.
func (c *Core) repairLearner(p *progress) {
	next := proto.CloneOf(c.membership())
	if c.ticksSinceContact(p) > c.options.RepairTicks {
		removeReplica(next, p.replica.Id)
		next.Repair.Phase = pb.RepairPhase_REPAIR_ABANDONED
		c.changeMembership(next)
		return
	}
	if !c.isActive(p) || p.matchIndex < c.commitIndex {
		return
	}
	findReplica(next, p.replica.Id).Learner = false
	next.Repair.Phase = pb.RepairPhase_REPAIR_PROMOTED
	if countVoters(next) <= int(next.Size) {
		next.Repair.Phase = pb.RepairPhase_REPAIR_DONE
	}
	c.changeMembership(next)
}

// removeExtraVoter ends a repair: one voter more than wanted remains.
func (c *Core) removeExtraVoter() {
	next := proto.CloneOf(c.membership())
	removed := next.Repair.GetLost()
	if !c.isRemovable(removed) {
		removed = c.chooseExtraVoter()
	}
	if !c.canCommitWithout(removed) {
		return
	}
	next.Repair.Lost = removed
	next.Repair.Phase = pb.RepairPhase_REPAIR_DONE
	removeReplica(next, removed)
	c.changeMembership(next)
}

// isRemovable reports whether a voter is lost, or to leave the group.
func (c *Core) isRemovable(id string) bool {
	if slices.Contains(c.retiringIDs, id) && findReplica(c.membership(), id) != nil {
		return true
	}
	p := c.peer(id)
	return p != nil && !c.isActive(p)
}

// chooseExtraVoter picks the voter that has been silent longest, or the one that
// joined last when all answer.
func (c *Core) chooseExtraVoter() string {
	var chosen *progress
	for _, p := range c.peers {
		if p.replica.Learner {
			continue
		}
		if chosen == nil || c.isActive(chosen) || p.lastContactAt < chosen.lastContactAt {
			chosen = p
		}
	}
	return chosen.replica.Id
}

// canCommitWithout reports whether the voters that remain after a removal can
// commit it.
func (c *Core) canCommitWithout(id string) bool {
	upToDate, total := 0, 0
	for _, r := range c.membership().Replicas {
		if r.Learner || r.Id == id {
			continue
		}
		total++
		if p := c.peer(r.Id); p == nil || c.isActive(p) && p.matchIndex >= c.commitIndex {
			upToDate++
		}
	}
	return upToDate >= total/2+1
}

// lostVoter returns the voter that has been silent longest beyond the limit.
func (c *Core) lostVoter() *progress {
	var lost *progress
	for _, p := range c.peers {
		if p.replica.Learner || c.ticksSinceContact(p) <= c.options.RepairTicks {
			continue
		}
		if lost == nil || p.lastContactAt < lost.lastContactAt {
			lost = p
		}
	}
	return lost
}

// addReplacement adds a spare as a learner. A replica that returned with an emptied
// folder takes its own place: its voter can never answer again.
func (c *Core) addReplacement(lost string) {
	spare := c.chooseSpare(lost)
	if spare == nil {
		return
	}
	next := proto.CloneOf(c.membership())
	removeReplica(next, spare.Id)
	added := proto.CloneOf(spare)
	added.Learner = true
	next.Replicas = append(next.Replicas, added)
	next.Repair = &pb.Repair{
		Lost:  lost,
		Spare: spare.Id,
		Phase: pb.RepairPhase_REPAIR_LEARNING,
	}
	c.changeMembership(next)
}

// chooseSpare prefers the lost replica itself, then a data centre without
// another voter.
func (c *Core) chooseSpare(lost string) *pb.Replica {
	var best *pb.Replica
	for _, s := range c.announcedSpares {
		if !c.isRecentlyAnnounced(s) || slices.Contains(c.retiringIDs, s.replica.Id) {
			continue
		}
		if s.replica.Id == lost {
			return s.replica
		}
		if findReplica(c.membership(), s.replica.Id) != nil {
			continue
		}
		if best == nil || c.sharesDataCentre(best, lost) && !c.sharesDataCentre(s.replica, lost) {
			best = s.replica
		}
	}
	return best
}

// isRecentlyAnnounced reports whether a candidate has announced itself lately.
func (c *Core) isRecentlyAnnounced(s announcedSpare) bool {
	return c.tick <= s.announcedAt+c.options.ElectionTicks
}

// sharesDataCentre reports whether a spare's data centre has another voter.
func (c *Core) sharesDataCentre(spare *pb.Replica, lost string) bool {
	for _, r := range c.membership().Replicas {
		if r.Id != lost && r.DataCentre == spare.DataCentre {
			return true
		}
	}
	return false
}

func removeReplica(m *pb.Membership, id string) {
	kept := m.Replicas[:0]
	for _, r := range m.Replicas {
		if r.Id != id {
			kept = append(kept, r)
		}
	}
	m.Replicas = kept
}
