package quorum

import (
	"slices"

	"github.com/briarcross/briarcross/pb"
	"github.com/rotisserie/eris"
)

// hasActiveLeader reports whether this replica leads, or received a message from
// the leader within the shortest election timeout.
func (c *Core) hasActiveLeader() bool {
	if c.role == leader {
		return true
	}
	return c.leaderID != "" && c.tick < c.leaderContactAt+c.options.ElectionTicks
}

// shortTimeoutsAfterStart is the number of election timeouts after a start that are short,
// so that a group whose replicas all started has a leader soon.
const shortTimeoutsAfterStart = 3

// resetElectionTimer starts a new election timeout, drawn at random between one
// and two times ElectionTicks. After a start it is shorter until a leader is known. If
// there is one already, its heartbeats arrive within HeartbeatTicks, and the voters that
// hear them refuse a pre-vote.
func (c *Core) resetElectionTimer() {
	shortest, spread := c.options.ElectionTicks, c.options.ElectionTicks
	if c.shortTimeouts > 0 {
		c.shortTimeouts--
		shortest, spread = min(c.options.HeartbeatTicks+1, shortest), max(1, spread/2)
	}
	c.electionAt = c.tick + shortest + c.rand.Uint64N(spread)
}

// recordLeaderContact records a message from the leader of the current term.
func (c *Core) recordLeaderContact(id string) {
	if c.role == leader {
		panic(eris.Errorf("replicas %s and %s lead the same term %d", c.options.ID, id, c.term))
	}
	if c.role != follower {
		c.becomeFollower(c.term, id)
	}
	c.leaderID = id
	c.leaderContactAt = c.tick
	c.shortTimeouts = 0
	c.resetElectionTimer()
}

func (c *Core) setTerm(term uint64) {
	if term == c.term {
		return
	}
	c.term = term
	c.votedFor = ""
	c.votedForIdentity = 0
	c.writes.dirtyHardState = true
}

func (c *Core) becomeFollower(term uint64, leaderID string) {
	if c.role == leader {
		c.stopLeading()
	}
	c.setTerm(term)
	c.role = follower
	c.leaderID = leaderID
	c.leaderContactAt = c.tick
	c.votes = nil
	c.resetElectionTimer()
}

// stopLeading emits SteppedDown and clears the leader state.
func (c *Core) stopLeading() {
	c.out.Put(SteppedDown{c.term, c.commitIndex})
	for _, p := range c.peers {
		if p.state == snapshotting {
			c.out.Put(ReleaseSnapshot{p.snapshotStream})
		}
	}
	c.leaderReady = false
	c.peers = nil
	c.announcedSpares = nil
	c.transfer = transferState{}
	c.requeueReads()
}

// startPreVote asks the voters whether they would vote for this replica in the
// next term. It does not change the term.
func (c *Core) startPreVote() {
	c.resetElectionTimer()
	if !c.isVoter() || c.incoming.installing != nil {
		return
	}
	c.role = preCandidate
	c.leaderID = ""
	c.requestVotes(pb.QuorumKind_QUORUM_PRE_VOTE, c.term+1, false)
	if c.hasVoteMajority() {
		c.startElection(false)
	}
}

// startElection starts a new term, votes for this replica and requests the votes
// of the other voters. transfer is set if the leader requested the election.
func (c *Core) startElection(transfer bool) {
	c.resetElectionTimer()
	c.setTerm(c.term + 1)
	c.role = candidate
	c.leaderID = ""
	c.votedFor = c.options.ID
	c.votedForIdentity = c.options.Identity
	c.requestVotes(pb.QuorumKind_QUORUM_VOTE, c.term, transfer)
	if c.hasVoteMajority() {
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
			LogIndex:   c.log.lastIndex(),
			Transfer:   transfer,
		})
	}
}

// hasVoteMajority reports whether a majority of the voters granted their vote to
// this replica.
func (c *Core) hasVoteMajority() bool {
	granted := 0
	for _, r := range c.membership().GetReplicas() {
		if !r.Learner && slices.Contains(c.votes, r.Id) {
			granted++
		}
	}
	return granted >= c.quorumSize()
}

// isCandidateUpToDate reports whether the log of a candidate is at least as up to
// date as the log of this replica.
func (c *Core) isCandidateUpToDate(m *pb.QuorumMessage) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.LogIndex >= c.log.lastIndex()
}

func (c *Core) handlePreVote(m *pb.QuorumMessage) {
	granted := m.Term > c.term && !c.hasActiveLeader() && c.isCandidateUpToDate(m)
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

func (c *Core) handleVote(m *pb.QuorumMessage) {
	alreadyGranted := c.votedFor == m.From && c.votedForIdentity == m.FromIdentity
	granted := c.isCandidateUpToDate(m) && (alreadyGranted || c.votedFor == "" && c.leaderID == "")
	if granted && !alreadyGranted {
		c.votedFor = m.From
		c.votedForIdentity = m.FromIdentity
		c.writes.dirtyHardState = true
		c.resetElectionTimer()
	}
	c.send(&pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_VOTE_REPLY,
		To:         m.From,
		ToIdentity: m.FromIdentity,
		Term:       c.term,
		Reject:     !granted,
	})
}

// handleVoteReply counts the reply to a vote or pre-vote request. It ignores the
// reply unless this replica still has the role in which it sent the request. A
// granted pre-vote carries the term in which the candidate would stand.
func (c *Core) handleVoteReply(m *pb.QuorumMessage, expectedRole role) {
	if c.role != expectedRole || m.Reject || slices.Contains(c.votes, m.From) {
		return
	}
	if expectedRole == preCandidate && m.Term != c.term+1 {
		return
	}
	c.votes = append(c.votes, m.From)
	if !c.hasVoteMajority() {
		return
	}
	if expectedRole == preCandidate {
		c.startElection(false)
		return
	}
	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	c.role = leader
	c.leaderID = c.options.ID
	c.votes = nil
	c.quorumCheckAt = c.tick + c.options.ElectionTicks
	c.heartbeatAt = c.tick + c.options.HeartbeatTicks
	c.syncPeers()
	c.requeueReads()
	c.barrierIndex = c.appendBarrier().Index
	c.broadcastAppend(true)
	c.advanceCommit()
}

// appendBarrier appends the first entry of a term. In the first term of a group
// this entry holds the first membership.
func (c *Core) appendBarrier() *pb.LogEntry {
	if c.memberships[len(c.memberships)-1].index > 0 {
		return c.appendLeaderEntry(pb.EntryKind_ENTRY_BARRIER, nil)
	}
	return c.appendLeaderEntry(pb.EntryKind_ENTRY_MEMBERSHIP, encodeMembership(c.membership()))
}
