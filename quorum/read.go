package quorum

import (
	"slices"

	"github.com/briarcross/briarcross/pb"
)

// read is a local read, or a round of reads that a follower forwarded.
type read struct {
	// id is the ID of the ReadIndex input of a local read.
	id uint64
	// deadline is the tick at which the read fails.
	deadline uint64
	// peerID, peerIdentity and peerRoundID identify a forwarded round; peerID is
	// empty for a local read.
	peerID       string
	peerIdentity uint64
	peerRoundID  uint64
}

// confirmedRead is a local read that waits until an index is applied.
type confirmedRead struct {
	id    uint64
	index uint64
}

// readState batches reads into rounds, one at a time. On the leader a majority
// confirms a round by its heartbeat replies; a follower forwards a round to the
// leader in one message.
type readState struct {
	// queued holds the reads of the next round, round those of the current one.
	queued []read
	round  []read
	// roundID numbers the latest round; heartbeats and forwarded reads carry it.
	roundID uint64
	// readIndex is the commit index at the start of the round.
	readIndex uint64
	// acks lists the IDs of the replicas that confirmed the round.
	acks []string
	// sentAt is the tick at which the round was last sent.
	sentAt    uint64
	confirmed []confirmedRead
}

func (c *Core) startRead(readID uint64) {
	deadline := c.tick + readTimeoutElections*c.options.ElectionTicks
	c.reads.queued = append(c.reads.queued, read{id: readID, deadline: deadline})
	c.startReadRound()
}

// startReadRound starts a round for all queued reads unless one is running. A
// leader must first have committed an entry of its own term, and a follower must
// know a leader.
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

// tryEndRound ends the round if a majority of the voters has confirmed it.
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

// endRound sends the read index to the followers that forwarded their reads, and
// emits ReadReady for the local ones once it is applied.
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

// handleRead queues the reads that a follower forwarded.
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

// releaseReads emits ReadReady for the confirmed reads whose index is applied.
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

// requeueReads returns the local reads to the queue when the role changes. It
// drops forwarded reads, as the followers send them again.
func (c *Core) requeueReads() {
	reads := append(c.reads.round, c.reads.queued...)
	c.reads.round = nil
	c.reads.queued = slices.DeleteFunc(reads, func(r read) bool { return r.peerID != "" })
}

// tickReads resends a forwarded round that the leader has not confirmed, and
// fails the reads past their deadline.
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

// expireReads removes the reads past their deadline from the front of a list that
// is ordered by deadline.
func (c *Core) expireReads(reads []read) []read {
	for len(reads) > 0 && reads[0].deadline <= c.tick {
		if reads[0].peerID == "" {
			c.out.Put(ReadFailed{reads[0].id})
		}
		reads = reads[1:]
	}
	return reads
}
