package quorum

import (
	"slices"

	"github.com/briarcross/briarcross/pb"
	"google.golang.org/protobuf/proto"
)

// candidateSpare is a replica outside the membership that answered a hello.
type candidateSpare struct {
	replica *pb.Replica
	heard   uint64
}

// noteSpare keeps the identity that a known replica announces.
func (c *Core) noteSpare(m *pb.QuorumMessage) {
	if c.role != leader || c.bound(m.From, m.FromIdentity) {
		return
	}
	known := c.knownReplica(m.From)
	if known == nil {
		return
	}
	spare := candidateSpare{
		replica: &pb.Replica{
			Id:         known.Id,
			Address:    known.Address,
			DataCentre: known.DataCentre,
			Identity:   m.FromIdentity,
		},
		heard: c.tick,
	}
	for i := range c.candidates {
		if c.candidates[i].replica.Id == m.From {
			c.candidates[i] = spare
			return
		}
	}
	c.candidates = append(c.candidates, spare)
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
		if r.Id == c.options.ID || p != nil && c.active(p) || slices.Contains(probed, r.Id) {
			continue
		}
		probed = append(probed, r.Id)
		c.sendHello(pb.QuorumKind_QUORUM_HELLO, r.Id, 0)
	}
}

// repair advances the replacement of a lost replica by one membership change.
func (c *Core) repair() {
	if c.role != leader || c.options.RepairTicks == 0 || !c.membershipSettled() {
		return
	}
	if p := c.learner(); p != nil {
		c.repairLearner(p)
		return
	}
	c.repairVoters()
}

func (c *Core) repairVoters() {
	size := int(c.membership().Size)
	have := voters(c.membership())
	if have > size {
		c.removeLost()
		return
	}
	if have < size {
		c.replace(c.membership().Repair.GetLost())
		return
	}
	if id, ok := c.emptiedVoter(); ok {
		c.replace(id)
		return
	}
	if lost := c.lostVoter(); lost != nil {
		c.replace(lost.replica.Id)
		return
	}
	if id, ok := c.retiringVoter(); ok {
		c.replace(id)
	}
}

// emptiedVoter returns a voter that announces another identity than the one
// that is bound: the folder that voted is gone, so no silence has to pass.
func (c *Core) emptiedVoter() (string, bool) {
	for _, s := range c.candidates {
		if c.fresh(s) && c.isRemoteVoter(s.replica.Id) {
			return s.replica.Id, true
		}
	}
	return "", false
}

func (c *Core) isRemoteVoter(id string) bool {
	p := c.peer(id)
	return p != nil && !p.replica.Learner && !c.active(p)
}

// retiringVoter returns a voter that is to leave the group.
func (c *Core) retiringVoter() (string, bool) {
	for _, r := range c.membership().Replicas {
		if !r.Learner && slices.Contains(c.retiring, r.Id) {
			return r.Id, true
		}
	}
	return "", false
}

func (c *Core) learner() *progress {
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
	if c.silent(p) > c.options.RepairTicks {
		removeReplica(next, p.replica.Id)
		next.Repair.Phase = pb.RepairPhase_REPAIR_ABANDONED
		c.changeMembership(next)
		return
	}
	if !c.active(p) || p.match < c.commit {
		return
	}
	findReplica(next, p.replica.Id).Learner = false
	next.Repair.Phase = pb.RepairPhase_REPAIR_PROMOTED
	if voters(next) <= int(next.Size) {
		next.Repair.Phase = pb.RepairPhase_REPAIR_DONE
	}
	c.changeMembership(next)
}

// removeLost ends a repair: one voter more than wanted remains.
func (c *Core) removeLost() {
	next := proto.CloneOf(c.membership())
	lost := next.Repair.GetLost()
	if !c.removable(lost) {
		lost = c.surplusVoter()
	}
	if !c.survivesWithout(lost) {
		return
	}
	next.Repair.Lost = lost
	next.Repair.Phase = pb.RepairPhase_REPAIR_DONE
	removeReplica(next, lost)
	c.changeMembership(next)
}

// removable reports whether a voter is lost, or to leave the group.
func (c *Core) removable(id string) bool {
	if slices.Contains(c.retiring, id) && findReplica(c.membership(), id) != nil {
		return true
	}
	p := c.peer(id)
	return p != nil && !c.active(p)
}

// surplusVoter picks the voter that has been silent longest, or the one that
// joined last when all answer.
func (c *Core) surplusVoter() string {
	var worst *progress
	for _, p := range c.peers {
		if p.replica.Learner {
			continue
		}
		if worst == nil || c.active(worst) || p.heard < worst.heard {
			worst = p
		}
	}
	return worst.replica.Id
}

// survivesWithout reports whether the voters that remain after a removal can
// commit it.
func (c *Core) survivesWithout(id string) bool {
	answering, total := 0, 0
	for _, r := range c.membership().Replicas {
		if r.Learner || r.Id == id {
			continue
		}
		total++
		if p := c.peer(r.Id); p == nil || c.active(p) && p.match >= c.commit {
			answering++
		}
	}
	return answering >= total/2+1
}

// lostVoter returns the voter that has been silent longest beyond the limit.
func (c *Core) lostVoter() *progress {
	var lost *progress
	for _, p := range c.peers {
		if p.replica.Learner || c.silent(p) <= c.options.RepairTicks {
			continue
		}
		if lost == nil || p.heard < lost.heard {
			lost = p
		}
	}
	return lost
}

// replace adds a spare as a learner. A replica that returned with an emptied
// folder takes its own place: its voter can never answer again.
func (c *Core) replace(lost string) {
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
	for _, s := range c.candidates {
		if !c.fresh(s) || slices.Contains(c.retiring, s.replica.Id) {
			continue
		}
		if s.replica.Id == lost {
			return s.replica
		}
		if findReplica(c.membership(), s.replica.Id) != nil {
			continue
		}
		if best == nil || c.crowded(best, lost) && !c.crowded(s.replica, lost) {
			best = s.replica
		}
	}
	return best
}

// fresh reports whether a candidate has announced itself lately.
func (c *Core) fresh(s candidateSpare) bool {
	return c.tick <= s.heard+c.options.ElectionTicks
}

// crowded reports whether a spare's data centre has another voter.
func (c *Core) crowded(spare *pb.Replica, lost string) bool {
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
