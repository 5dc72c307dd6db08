package quorum

import (
	"slices"

	"github.com/briarcross/briarcross/pb"
)

// read is a local read, or one that a follower has forwarded.
type read struct {
	id uint64
	// deadline is a tick.
	deadline     uint64
	peerID       string
	peerIdentity uint64
	peerRoundID  uint64
}

// confirmedRead waits for an index to be applied.
type confirmedRead struct {
	id    uint64
	index uint64
}

// readState batches reads into rounds. On the leader a round is a heartbeat
// that a majority answers; on a follower it is one question to the leader.
type readState struct {
	queued []read
	round  []read
	// roundID numbers the latest round.
	roundID uint64
	// readIndex is the commit readIndex at the start of the round.
	readIndex uint64
	acks      []string
	sentAt    uint64
	confirmed []confirmedRead
}

func (c *Core) startRead(id uint64) {
	deadline := c.tick + readTimeoutElections*c.options.ElectionTicks
	c.reads.queued = append(c.reads.queued, read{id: id, deadline: deadline})
	c.startReadRound()
}

// startReadRound begins a round for all waiting reads unless one is running.
func (c *Core) startReadRound() {
	if len(c.reads.round) > 0 || len(c.reads.queued) == 0 {
		return
	}
	if c.role == leader && c.commitIndex < c.barrierIndex || c.role != leader && c.leaderID == "" {
		return
	}
	c.reads.round, c.reads.queued = c.reads.queued, nil
	c.reads.roundID++
	c.reads.sentAt = c.tick
	if c.role != leader {
		c.forwardRound()
		return
	}
	c.reads.readIndex = c.commitIndex
	c.reads.acks = nil
	c.broadcastHeartbeat()
	c.tryEndRound()
}

func (c *Core) forwardRound() {
	r := findReplica(c.membership(), c.leaderID)
	if r == nil {
		return
	}
	c.send(&pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_READ,
		To:         r.Id,
		ToIdentity: r.Identity,
		Term:       c.term,
		Context:    c.reads.roundID,
	})
}

func (c *Core) recordReadAck(m *pb.QuorumMessage) {
	if len(c.reads.round) == 0 || m.Context != c.reads.roundID || slices.Contains(c.reads.acks, m.From) {
		return
	}
	c.reads.acks = append(c.reads.acks, m.From)
	c.tryEndRound()
}

// tryEndRound answers the round's reads when a majority has confirmed it.
func (c *Core) tryEndRound() {
	confirmations := 0
	for _, r := range c.membership().Replicas {
		if !r.Learner && (r.Id == c.options.ID || slices.Contains(c.reads.acks, r.Id)) {
			confirmations++
		}
	}
	if confirmations < c.quorumSize() {
		return
	}
	c.endRound(c.reads.readIndex)
}

func (c *Core) endRound(index uint64) {
	round := c.reads.round
	c.reads.round = nil
	for _, r := range round {
		if r.peerID == "" {
			c.reads.confirmed = append(c.reads.confirmed, confirmedRead{r.id, index})
			continue
		}
		c.send(&pb.QuorumMessage{
			Kind:       pb.QuorumKind_QUORUM_READ_REPLY,
			To:         r.peerID,
			ToIdentity: r.peerIdentity,
			Term:       c.term,
			LogIndex:   index,
			Context:    r.peerRoundID,
		})
	}
	c.releaseReads()
	c.startReadRound()
}

// handleRead queues a follower's question on the leader.
func (c *Core) handleRead(m *pb.QuorumMessage) {
	if c.role != leader {
		return
	}
	c.reads.queued = append(c.reads.queued, read{
		deadline:     c.tick + readTimeoutElections*c.options.ElectionTicks,
		peerID:       m.From,
		peerIdentity: m.FromIdentity,
		peerRoundID:  m.Context,
	})
	c.startReadRound()
}

func (c *Core) handleReadReply(m *pb.QuorumMessage) {
	if c.role == leader || len(c.reads.round) == 0 || m.Context != c.reads.roundID {
		return
	}
	c.endRound(m.LogIndex)
}

// releaseReads answers the confirmed reads that the applied state covers.
func (c *Core) releaseReads() {
	kept := c.reads.confirmed[:0]
	for _, r := range c.reads.confirmed {
		if r.index > c.appliedIndex {
			kept = append(kept, r)
			continue
		}
		c.out.Put(ReadReady{r.id})
	}
	c.reads.confirmed = kept
}

// requeueReads returns the local reads to the queue when the role changes;
// followers repeat forwarded reads themselves.
func (c *Core) requeueReads() {
	reads := append(c.reads.round, c.reads.queued...)
	c.reads.round = nil
	c.reads.queued = slices.DeleteFunc(reads, func(r read) bool { return r.peerID != "" })
}

// tickReads repeats an unanswered question and fails reads past their
// deadline.
func (c *Core) tickReads() {
	if c.role != leader {
		c.resendForwardedRound()
	}
	c.reads.round = c.expireReads(c.reads.round)
	c.reads.queued = c.expireReads(c.reads.queued)
	c.startReadRound()
}

func (c *Core) resendForwardedRound() {
	if len(c.reads.round) == 0 || c.leaderID == "" || c.tick < c.reads.sentAt+c.options.HeartbeatTicks {
		return
	}
	c.reads.sentAt = c.tick
	c.forwardRound()
}

// expireReads drops the reads past their deadline; the oldest come first.
func (c *Core) expireReads(reads []read) []read {
	for len(reads) > 0 && reads[0].deadline <= c.tick {
		if reads[0].peerID == "" {
			c.out.Put(ReadFailed{reads[0].id})
		}
		reads = reads[1:]
	}
	return reads
}
