package quorum

import (
	"slices"

	"github.com/briarcross/briarcross/pb"
)

// read is a local read, or one that a follower has forwarded.
type read struct {
	id uint64
	// deadline is a tick.
	deadline uint64
	peer     string
	identity uint64
	context  uint64
}

// confirmedRead waits for an index to be applied.
type confirmedRead struct {
	id    uint64
	index uint64
}

// readTable batches reads into rounds. On the leader a round is a heartbeat
// that a majority answers; on a follower it is one question to the leader.
type readTable struct {
	waiting []read
	round   []read
	// context numbers the latest round.
	context uint64
	// index is the commit index at the start of the round.
	index     uint64
	acks      []string
	sentAt    uint64
	confirmed []confirmedRead
}

func (c *Core) confirm(id uint64) {
	deadline := c.tick + readTimeoutElections*c.options.ElectionTicks
	c.reads.waiting = append(c.reads.waiting, read{id: id, deadline: deadline})
	c.startReadRound()
}

// startReadRound begins a round for all waiting reads unless one is running.
func (c *Core) startReadRound() {
	if len(c.reads.round) > 0 || len(c.reads.waiting) == 0 {
		return
	}
	if c.role == leader && c.commit < c.barrier || c.role != leader && c.leader == "" {
		return
	}
	c.reads.round, c.reads.waiting = c.reads.waiting, nil
	c.reads.context++
	c.reads.sentAt = c.tick
	if c.role != leader {
		c.forwardRound()
		return
	}
	c.reads.index = c.commit
	c.reads.acks = nil
	c.broadcastHeartbeat()
	c.finishRound()
}

func (c *Core) forwardRound() {
	r := findReplica(c.membership(), c.leader)
	if r == nil {
		return
	}
	c.send(&pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_READ,
		To:         r.Id,
		ToIdentity: r.Identity,
		Term:       c.term,
		Context:    c.reads.context,
	})
}

func (c *Core) countReadAck(m *pb.QuorumMessage) {
	if len(c.reads.round) == 0 || m.Context != c.reads.context || slices.Contains(c.reads.acks, m.From) {
		return
	}
	c.reads.acks = append(c.reads.acks, m.From)
	c.finishRound()
}

// finishRound answers the round's reads when a majority has confirmed it.
func (c *Core) finishRound() {
	confirmations := 0
	for _, r := range c.membership().Replicas {
		if !r.Learner && (r.Id == c.options.ID || slices.Contains(c.reads.acks, r.Id)) {
			confirmations++
		}
	}
	if confirmations < c.quorum() {
		return
	}
	c.endRound(c.reads.index)
}

func (c *Core) endRound(index uint64) {
	round := c.reads.round
	c.reads.round = nil
	for _, r := range round {
		if r.peer == "" {
			c.reads.confirmed = append(c.reads.confirmed, confirmedRead{r.id, index})
			continue
		}
		c.send(&pb.QuorumMessage{
			Kind:       pb.QuorumKind_QUORUM_READ_REPLY,
			To:         r.peer,
			ToIdentity: r.identity,
			Term:       c.term,
			LogIndex:   index,
			Context:    r.context,
		})
	}
	c.releaseReads()
	c.startReadRound()
}

// onRead queues a follower's question on the leader.
func (c *Core) onRead(m *pb.QuorumMessage) {
	if c.role != leader {
		return
	}
	c.reads.waiting = append(c.reads.waiting, read{
		deadline: c.tick + readTimeoutElections*c.options.ElectionTicks,
		peer:     m.From,
		identity: m.FromIdentity,
		context:  m.Context,
	})
	c.startReadRound()
}

func (c *Core) onReadReply(m *pb.QuorumMessage) {
	if c.role == leader || len(c.reads.round) == 0 || m.Context != c.reads.context {
		return
	}
	c.endRound(m.LogIndex)
}

// releaseReads answers the confirmed reads that the applied state covers.
func (c *Core) releaseReads() {
	kept := c.reads.confirmed[:0]
	for _, r := range c.reads.confirmed {
		if r.index > c.applied {
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
	queued := append(c.reads.round, c.reads.waiting...)
	c.reads.round = nil
	c.reads.waiting = slices.DeleteFunc(queued, func(r read) bool { return r.peer != "" })
}

// tickReads repeats an unanswered question and fails reads past their
// deadline.
func (c *Core) tickReads() {
	if c.role != leader {
		c.repeatForward()
	}
	c.reads.round = c.expireReads(c.reads.round)
	c.reads.waiting = c.expireReads(c.reads.waiting)
	c.startReadRound()
}

func (c *Core) repeatForward() {
	if len(c.reads.round) == 0 || c.leader == "" || c.tick < c.reads.sentAt+c.options.HeartbeatTicks {
		return
	}
	c.reads.sentAt = c.tick
	c.forwardRound()
}

// expireReads drops the reads past their deadline; the oldest come first.
func (c *Core) expireReads(reads []read) []read {
	for len(reads) > 0 && reads[0].deadline <= c.tick {
		if reads[0].peer == "" {
			c.out.Put(ReadFailed{reads[0].id})
		}
		reads = reads[1:]
	}
	return reads
}
