package quorum

import "github.com/briarcross/briarcross/pb"

// receive drops a message of another group or identity, handles a difference of
// terms and dispatches the message.
func (c *Core) receive(m *pb.QuorumMessage) {
	if m.Group != c.options.Group || m.To != c.options.ID || m.From == c.options.ID {
		return
	}
	if isHello(m.Kind) {
		c.handleHello(m)
		return
	}
	if m.ToIdentity != c.options.Identity {
		return
	}
	if isReply(m.Kind) && !c.isMember(m.From, m.FromIdentity) {
		return
	}
	if m.Term > c.term && !c.handleHigherTerm(m) {
		return
	}
	if m.Term < c.term && !acceptsLowerTerm(m.Kind) {
		c.rejectLowerTerm(m)
		return
	}
	c.dispatch(m)
}

func isHello(kind pb.QuorumKind) bool {
	return kind == pb.QuorumKind_QUORUM_HELLO || kind == pb.QuorumKind_QUORUM_HELLO_REPLY
}

func isReply(kind pb.QuorumKind) bool {
	switch kind {
	case pb.QuorumKind_QUORUM_APPEND_REPLY,
		pb.QuorumKind_QUORUM_PRE_VOTE_REPLY,
		pb.QuorumKind_QUORUM_VOTE_REPLY,
		pb.QuorumKind_QUORUM_HEARTBEAT_REPLY,
		pb.QuorumKind_QUORUM_SNAPSHOT_REPLY:
		return true
	}
	return false
}

// acceptsLowerTerm reports whether a message is valid although its term is lower
// than that of this replica. A confirmed read index is: it was confirmed after the
// read began.
func acceptsLowerTerm(kind pb.QuorumKind) bool {
	return kind == pb.QuorumKind_QUORUM_READ || kind == pb.QuorumKind_QUORUM_READ_REPLY
}

// handleHigherTerm adopts the term of a message, unless it is a pre-vote request
// or a granted pre-vote, whose term is only proposed. It reports whether to
// dispatch the message: a vote request is dropped while a leader is active,
// unless that leader transfers its leadership.
func (c *Core) handleHigherTerm(m *pb.QuorumMessage) bool {
	switch m.Kind {
	case pb.QuorumKind_QUORUM_PRE_VOTE:
		return true
	case pb.QuorumKind_QUORUM_PRE_VOTE_REPLY:
		if !m.Reject {
			return true
		}
		c.becomeFollower(m.Term, "")
	case pb.QuorumKind_QUORUM_VOTE:
		if !m.Transfer && c.hasActiveLeader() {
			return false
		}
		c.becomeFollower(m.Term, "")
	case pb.QuorumKind_QUORUM_APPEND,
		pb.QuorumKind_QUORUM_HEARTBEAT,
		pb.QuorumKind_QUORUM_SNAPSHOT:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, "")
	}
	return true
}

// rejectLowerTerm replies to a pre-vote request or a message from a former leader
// with the current term.
func (c *Core) rejectLowerTerm(m *pb.QuorumMessage) {
	kind := pb.QuorumKind_QUORUM_APPEND_REPLY
	switch m.Kind {
	case pb.QuorumKind_QUORUM_PRE_VOTE:
		kind = pb.QuorumKind_QUORUM_PRE_VOTE_REPLY
	case pb.QuorumKind_QUORUM_APPEND,
		pb.QuorumKind_QUORUM_HEARTBEAT,
		pb.QuorumKind_QUORUM_SNAPSHOT:
	default:
		return
	}
	c.send(&pb.QuorumMessage{
		Kind:       kind,
		To:         m.From,
		ToIdentity: m.FromIdentity,
		Term:       c.term,
		Reject:     true,
	})
}

func (c *Core) dispatch(m *pb.QuorumMessage) {
	switch m.Kind {
	case pb.QuorumKind_QUORUM_PRE_VOTE:
		c.handlePreVote(m)
	case pb.QuorumKind_QUORUM_PRE_VOTE_REPLY:
		c.handleVoteReply(m, preCandidate)
	case pb.QuorumKind_QUORUM_VOTE:
		c.handleVote(m)
	case pb.QuorumKind_QUORUM_VOTE_REPLY:
		c.handleVoteReply(m, candidate)
	case pb.QuorumKind_QUORUM_APPEND:
		c.handleAppend(m)
	case pb.QuorumKind_QUORUM_APPEND_REPLY:
		c.handleAppendReply(m)
	case pb.QuorumKind_QUORUM_HEARTBEAT:
		c.handleHeartbeat(m)
	case pb.QuorumKind_QUORUM_HEARTBEAT_REPLY:
		c.handleHeartbeatReply(m)
	case pb.QuorumKind_QUORUM_SNAPSHOT:
		c.handleSnapshot(m)
	case pb.QuorumKind_QUORUM_SNAPSHOT_REPLY:
		c.handleSnapshotReply(m)
	case pb.QuorumKind_QUORUM_TIMEOUT_NOW:
		c.handleTimeoutNow(m)
	case pb.QuorumKind_QUORUM_READ:
		c.handleRead(m)
	case pb.QuorumKind_QUORUM_READ_REPLY:
		c.handleReadReply(m)
	}
}
