package quorum

import (
	"slices"

	"github.com/briarcross/briarcross/pb"
	"google.golang.org/protobuf/proto"
)

// announcedSpare is a replica that announced an identity that the membership does
// not bind.
type announcedSpare struct {
	replica *pb.Replica
	// announcedAt is the tick of the latest announcement.
	announcedAt uint64
}

// recordAnnouncedSpare records on the leader the identity that a known replica
// announces, unless that identity is already a member.
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

// knownReplica returns a member, spare or first member by its ID, or nil.
func (c *Core) knownReplica(id string) *pb.Replica {
	for _, r := range c.knownReplicas() {
		if r.Id == id {
			return r
		}
	}
	return nil
}

// knownReplicas lists the members, the spares and the first members of the group,
// in this order and with duplicates.
func (c *Core) knownReplicas() []*pb.Replica {
	return slices.Concat(c.membership().GetReplicas(), c.options.Spares, c.options.Bootstrap)
}

// probeSpares requests the identity of the replicas outside the membership and of
// inactive members, whose data folder may have been emptied.
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

// repair advances the replacement of a lost or retiring replica by at most one
// membership change.
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

// repairVoters removes a voter beyond the target number, or adds the replacement
// of a missing, lost or retiring one.
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

// voterWithNewIdentity returns the ID of an inactive voter that was announced with
// another identity than the bound one. The data folder that voted is gone, so
// RepairTicks need not pass before it is replaced.
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

// retiringVoter returns the ID of a voter listed in SetRetiring.
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

// repairLearner promotes a learner to a voter once its synced log covers all
// committed entries, and removes it if it was inactive for RepairTicks.
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

// removeExtraVoter ends a repair by removing the replaced voter, or another if
// the replaced one is active and not retiring.
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

// isRemovable reports whether a member is inactive or retiring.
func (c *Core) isRemovable(id string) bool {
	if slices.Contains(c.retiringIDs, id) && findReplica(c.membership(), id) != nil {
		return true
	}
	p := c.peer(id)
	return p != nil && !c.isActive(p)
}

// chooseExtraVoter returns the ID of the voter that has been inactive longest, or
// of the one that joined last if all are active.
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

// canCommitWithout reports whether, after the removal of a voter, a majority of
// the remaining voters is active and up to date and so can commit the removal.
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

// lostVoter returns the voter that has been inactive longest, if for more than
// RepairTicks.
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

// addReplacement adds a spare as a learner. A replica whose data folder was emptied
// replaces itself at once, since its former identity cannot come back.
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

// chooseSpare returns the replica to add in place of a lost one, or nil. It prefers
// the lost replica itself, then a spare in a data centre without another voter.
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

// isRecentlyAnnounced reports whether a spare announced itself within the shortest
// election timeout.
func (c *Core) isRecentlyAnnounced(s announcedSpare) bool {
	return c.tick <= s.announcedAt+c.options.ElectionTicks
}

// sharesDataCentre reports whether a member other than the lost one is in the data
// centre of a spare.
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
