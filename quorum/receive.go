package quorum

import "github.com/briarcross/briarcross/pb"

// receive filters a message by group and identity, compares terms and hands
// it to the part that it is for.
func (c *Core) receive(m *pb.QuorumMessage) {
	if m.Group != c.options.Group || m.To != c.options.ID || m.From == c.options.ID {
		return
	}
	if isHello(m.Kind) {
		c.receiveHello(m)
		return
	}
	if m.ToIdentity != c.options.Identity {
		return
	}
	if isReply(m.Kind) && !c.bound(m.From, m.FromIdentity) {
		return
	}
	if m.Term > c.term && !c.raiseTerm(m) {
		return
	}
	if m.Term < c.term && !acceptsOldTerm(m.Kind) {
		c.answerOldTerm(m)
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

// acceptsOldTerm reports whether a message stays valid when the term has
// grown since. A confirmed read index does: it was confirmed after the read
// began.
func acceptsOldTerm(kind pb.QuorumKind) bool {
	return kind == pb.QuorumKind_QUORUM_READ || kind == pb.QuorumKind_QUORUM_READ_REPLY
}

// raiseTerm adopts the higher term of a message. It reports whether the
// message is to be handled further.
func (c *Core) raiseTerm(m *pb.QuorumMessage) bool {
	switch m.Kind {
	case pb.QuorumKind_QUORUM_PRE_VOTE:
		return true
	case pb.QuorumKind_QUORUM_PRE_VOTE_REPLY:
		if !m.Reject {
			return true
		}
		c.becomeFollower(m.Term, "")
	case pb.QuorumKind_QUORUM_VOTE:
		if !m.Transfer && c.hearsLeader() {
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

// answerOldTerm tells a sender that its term has passed.
func (c *Core) answerOldTerm(m *pb.QuorumMessage) {
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
		c.answerPreVote(m)
	case pb.QuorumKind_QUORUM_PRE_VOTE_REPLY:
		c.countVote(m, preCandidate)
	case pb.QuorumKind_QUORUM_VOTE:
		c.answerVote(m)
	case pb.QuorumKind_QUORUM_VOTE_REPLY:
		c.countVote(m, candidate)
	case pb.QuorumKind_QUORUM_APPEND:
		c.answerAppend(m)
	case pb.QuorumKind_QUORUM_APPEND_REPLY:
		c.onAppendReply(m)
	case pb.QuorumKind_QUORUM_HEARTBEAT:
		c.answerHeartbeat(m)
	case pb.QuorumKind_QUORUM_HEARTBEAT_REPLY:
		c.onHeartbeatReply(m)
	case pb.QuorumKind_QUORUM_SNAPSHOT:
		c.answerSnapshot(m)
	case pb.QuorumKind_QUORUM_SNAPSHOT_REPLY:
		c.onSnapshotReply(m)
	case pb.QuorumKind_QUORUM_TIMEOUT_NOW:
		c.onTimeoutNow(m)
	case pb.QuorumKind_QUORUM_READ:
		c.onRead(m)
	case pb.QuorumKind_QUORUM_READ_REPLY:
		c.onReadReply(m)
	}
}
