package quorum

import (
	"slices"

	"github.com/briarcross/briarcross/pb"
	"github.com/rotisserie/eris"
)

// hearsLeader reports whether a leader was heard within the shortest election
// timeout.
func (c *Core) hearsLeader() bool {
	if c.role == leader {
		return true
	}
	return c.leader != "" && c.tick < c.heard+c.options.ElectionTicks
}

// resetElection draws the next election timeout.
func (c *Core) resetElection() {
	spread := c.rand.Uint64N(c.options.ElectionTicks)
	c.electionAt = c.tick + c.options.ElectionTicks + spread
}

// heardLeader notes a message of the leader of the current term.
func (c *Core) heardLeader(id string) {
	if c.role == leader {
		panic(eris.Errorf("replicas %s and %s lead the same term %d", c.options.ID, id, c.term))
	}
	if c.role != follower {
		c.becomeFollower(c.term, id)
	}
	c.leader = id
	c.heard = c.tick
	c.resetElection()
}

func (c *Core) setTerm(term uint64) {
	if term == c.term {
		return
	}
	c.term = term
	c.vote = ""
	c.voteIdentity = 0
	c.writes.dirtyHard = true
}

func (c *Core) becomeFollower(term uint64, leaderID string) {
	if c.role == leader {
		c.stopLeading()
	}
	c.setTerm(term)
	c.role = follower
	c.leader = leaderID
	c.heard = c.tick
	c.votes = nil
	c.resetElection()
}

// stopLeading drops the leader's tables.
func (c *Core) stopLeading() {
	c.out.Put(SteppedDown{c.term, c.commit})
	for _, p := range c.peers {
		if p.state == snapshotting {
			c.out.Put(ReleaseSnapshot{p.stream})
		}
	}
	c.led = false
	c.peers = nil
	c.candidates = nil
	c.transfer = transferState{}
	c.requeueReads()
}

// campaign asks the voters whether an election could be won.
func (c *Core) campaign() {
	c.resetElection()
	if !c.isVoter() || c.install.meta != nil {
		return
	}
	c.role = preCandidate
	c.leader = ""
	c.requestVotes(pb.QuorumKind_QUORUM_PRE_VOTE, c.term+1, false)
	if c.wins() {
		c.startElection(false)
	}
}

// startElection votes for itself in a new term and asks the voters.
func (c *Core) startElection(transfer bool) {
	c.resetElection()
	c.setTerm(c.term + 1)
	c.role = candidate
	c.leader = ""
	c.vote = c.options.ID
	c.voteIdentity = c.options.Identity
	c.requestVotes(pb.QuorumKind_QUORUM_VOTE, c.term, transfer)
	if c.wins() {
		c.becomeLeader()
	}
}

func (c *Core) requestVotes(kind pb.QuorumKind, term uint64, transfer bool) {
	c.votes = []string{c.options.ID}
	for _, r := range c.membership().Replicas {
		if r.Learner || r.Id == c.options.ID {
			continue
		}
		c.send(&pb.QuorumMessage{
			Kind:       kind,
			To:         r.Id,
			ToIdentity: r.Identity,
			Term:       term,
			LogTerm:    c.log.lastTerm(),
			LogIndex:   c.log.last(),
			Transfer:   transfer,
		})
	}
}

// wins reports whether a majority of the voters granted their vote.
func (c *Core) wins() bool {
	granted := 0
	for _, r := range c.membership().GetReplicas() {
		if !r.Learner && slices.Contains(c.votes, r.Id) {
			granted++
		}
	}
	return granted >= c.quorum()
}

func (c *Core) upToDate(m *pb.QuorumMessage) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.LogIndex >= c.log.last()
}

func (c *Core) answerPreVote(m *pb.QuorumMessage) {
	granted := m.Term > c.term && !c.hearsLeader() && c.upToDate(m)
	reply := &pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_PRE_VOTE_REPLY,
		To:         m.From,
		ToIdentity: m.FromIdentity,
		Term:       m.Term,
		Reject:     !granted,
	}
	if !granted {
		reply.Term = c.term
	}
	c.send(reply)
}

func (c *Core) answerVote(m *pb.QuorumMessage) {
	same := c.vote == m.From && c.voteIdentity == m.FromIdentity
	granted := c.upToDate(m) && (same || c.vote == "" && c.leader == "")
	if granted && !same {
		c.vote = m.From
		c.voteIdentity = m.FromIdentity
		c.writes.dirtyHard = true
		c.resetElection()
	}
	c.send(&pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_VOTE_REPLY,
		To:         m.From,
		ToIdentity: m.FromIdentity,
		Term:       c.term,
		Reject:     !granted,
	})
}

// countVote counts a reply to a candidate. A granted pre-vote carries the
// term that the candidate would take.
func (c *Core) countVote(m *pb.QuorumMessage, asked role) {
	if c.role != asked || m.Reject || slices.Contains(c.votes, m.From) {
		return
	}
	if asked == preCandidate && m.Term != c.term+1 {
		return
	}
	c.votes = append(c.votes, m.From)
	if !c.wins() {
		return
	}
	if asked == preCandidate {
		c.startElection(false)
		return
	}
	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	c.role = leader
	c.leader = c.options.ID
	c.votes = nil
	c.checkAt = c.tick + c.options.ElectionTicks
	c.heartbeatAt = c.tick + c.options.HeartbeatTicks
	c.syncPeers()
	c.requeueReads()
	c.barrier = c.appendBarrier().Index
	c.broadcastAppend(true)
	c.advanceCommit()
}

// appendBarrier adds the first entry of a term. The first membership enters
// the log with it.
func (c *Core) appendBarrier() *pb.LogEntry {
	if c.members[len(c.members)-1].index > 0 {
		return c.appendNew(pb.EntryKind_ENTRY_BARRIER, nil)
	}
	return c.appendNew(pb.EntryKind_ENTRY_MEMBERSHIP, encodeMembership(c.membership()))
}
