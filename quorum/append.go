package quorum

import (
	"slices"

	"github.com/briarcross/briarcross/pb"
	"github.com/rotisserie/eris"
)

func (c *Core) broadcastAppend(allowEmpty bool) {
	for _, p := range c.peers {
		c.sendAppends(p, allowEmpty)
	}
}

// sendAppends sends what the window of a replica has room for.
func (c *Core) sendAppends(p *progress, allowEmpty bool) {
	for c.sendAppend(p, allowEmpty) {
		allowEmpty = false
	}
}

// sendAppend sends one message and reports whether another may follow.
func (c *Core) sendAppend(p *progress, allowEmpty bool) bool {
	if p.state == snapshotting || p.state == probing && p.waiting {
		return false
	}
	previous := p.next - 1
	term, known := c.log.term(previous)
	if !known {
		c.startSnapshot(p)
		return false
	}
	var entries []*pb.LogEntry
	if p.next <= c.log.last() && c.log.bytes(p.match, previous) < maxInflightBytes {
		entries = c.log.page(p.next, maxMessageBytes)
	}
	if len(entries) == 0 && !allowEmpty {
		return false
	}
	c.send(&pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_APPEND,
		To:         p.replica.Id,
		ToIdentity: p.replica.Identity,
		Term:       c.term,
		LogTerm:    term,
		LogIndex:   previous,
		Commit:     c.commit,
		Entries:    entries,
	})
	if p.state == probing {
		p.waiting = true
		return false
	}
	p.next += uint64(len(entries))
	return len(entries) > 0
}

func (c *Core) answerAppend(m *pb.QuorumMessage) {
	c.heardLeader(m.From)
	if c.install.meta != nil {
		return
	}
	if m.LogIndex < c.commit {
		c.acknowledge(m, c.commit)
		return
	}
	term, known := c.log.term(m.LogIndex)
	if !known || term != m.LogTerm {
		c.send(&pb.QuorumMessage{
			Kind:       pb.QuorumKind_QUORUM_APPEND_REPLY,
			To:         m.From,
			ToIdentity: m.FromIdentity,
			Term:       c.term,
			LogIndex:   m.LogIndex,
			Reject:     true,
			RejectHint: c.log.hint(m.LogIndex, m.LogTerm),
		})
		return
	}
	c.storeEntries(m.Entries)
	last := m.LogIndex + uint64(len(m.Entries))
	c.commitUpTo(min(m.Commit, last))
	c.acknowledge(m, last)
}

// acknowledge tells the leader, once the writes so far are synced, that the
// log matches up to an index.
func (c *Core) acknowledge(m *pb.QuorumMessage, index uint64) {
	c.sendAfterData(&pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_APPEND_REPLY,
		To:         m.From,
		ToIdentity: m.FromIdentity,
		Term:       c.term,
		LogIndex:   index,
	})
}

// storeEntries appends what the log lacks and replaces what conflicts.
func (c *Core) storeEntries(entries []*pb.LogEntry) {
	for _, e := range entries {
		term, known := c.log.term(e.Index)
		if known && term == e.Term {
			continue
		}
		if known {
			c.cutLog(e.Index)
		}
		c.appendEntry(e)
	}
}

func (c *Core) cutLog(from uint64) {
	if from <= c.commit {
		panic(eris.Errorf("committed entry %d conflicts with the leader of term %d", from, c.term))
	}
	c.log.cut(from)
	c.stable = min(c.stable, from-1)
	c.writes.noteCut(from)
	for len(c.members) > 0 && c.members[len(c.members)-1].index >= from {
		c.members = c.members[:len(c.members)-1]
	}
}

func (c *Core) onAppendReply(m *pb.QuorumMessage) {
	p := c.hear(m)
	if p == nil {
		return
	}
	if m.Reject {
		c.onReject(p, m)
		return
	}
	if m.LogIndex > c.log.last() {
		panic(eris.Errorf("replica %s acknowledged index %d of %d", m.From, m.LogIndex, c.log.last()))
	}
	p.waiting = false
	advanced := m.LogIndex > p.match
	p.match = max(p.match, m.LogIndex)
	p.next = max(p.next, p.match+1)
	if p.state == probing {
		p.state = replicating
	}
	if p.snapshotCovered(c.log.base.Index) {
		c.endSnapshot(p)
	}
	if advanced {
		c.advanceCommit()
	}
	c.sendAppends(p, false)
	c.continueTransfer()
}

func (c *Core) onReject(p *progress, m *pb.QuorumMessage) {
	if p.state == snapshotting || m.LogIndex <= p.match {
		return
	}
	p.probe(min(m.LogIndex, m.RejectHint+1))
	c.sendAppends(p, true)
}

// advanceCommit commits what a majority of the voters has synced, if it
// belongs to the leader's own term.
func (c *Core) advanceCommit() {
	if c.role != leader {
		return
	}
	var matches []uint64
	if c.isVoter() {
		matches = append(matches, c.stable)
	}
	for _, p := range c.peers {
		if !p.replica.Learner {
			matches = append(matches, p.match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.quorum()]
	if index <= c.commit {
		return
	}
	if term, _ := c.log.term(index); term != c.term {
		return
	}
	c.commitUpTo(index)
	c.broadcastAppend(true)
	c.startReadRound()
	c.leaveWhenRemoved()
}

func (c *Core) commitUpTo(index uint64) {
	c.commit = max(c.commit, index)
}

func (c *Core) broadcastHeartbeat() {
	for _, p := range c.peers {
		c.send(&pb.QuorumMessage{
			Kind:       pb.QuorumKind_QUORUM_HEARTBEAT,
			To:         p.replica.Id,
			ToIdentity: p.replica.Identity,
			Term:       c.term,
			Commit:     min(c.commit, p.match),
			Context:    c.reads.context,
		})
	}
}

func (c *Core) answerHeartbeat(m *pb.QuorumMessage) {
	c.heardLeader(m.From)
	if c.install.meta == nil {
		c.commitUpTo(min(m.Commit, c.log.last()))
	}
	c.send(&pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_HEARTBEAT_REPLY,
		To:         m.From,
		ToIdentity: m.FromIdentity,
		Term:       c.term,
		Context:    m.Context,
	})
}

func (c *Core) onHeartbeatReply(m *pb.QuorumMessage) {
	p := c.hear(m)
	if p == nil {
		return
	}
	c.countReadAck(m)
	p.waiting = false
	if p.match < c.log.last() {
		c.sendAppends(p, true)
	}
}
