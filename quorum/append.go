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

// sendAppends sends append messages to a replica until it is up to date or its
// window of maxInflightBytes is full. With allowEmpty set it sends at least one
// unless the state of the replica forbids it.
func (c *Core) sendAppends(p *progress, allowEmpty bool) {
	for c.sendAppend(p, allowEmpty) {
		allowEmpty = false
	}
}

// sendAppend sends one append message and reports whether another may follow. It
// starts a snapshot if the log no longer holds the entries.
func (c *Core) sendAppend(p *progress, allowEmpty bool) bool {
	if p.state == snapshotting || p.state == probing && p.probeInFlight {
		return false
	}
	prevIndex := p.nextIndex - 1
	term, known := c.log.term(prevIndex)
	if !known {
		c.startSnapshot(p)
		return false
	}
	var entries []*pb.LogEntry
	if p.nextIndex <= c.log.lastIndex() && c.log.bytes(p.matchIndex, prevIndex) < maxInflightBytes {
		entries = c.log.entriesFrom(p.nextIndex, maxMessageBytes)
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
		LogIndex:   prevIndex,
		Commit:     c.commitIndex,
		Entries:    entries,
	})
	if p.state == probing {
		p.probeInFlight = true
		return false
	}
	p.nextIndex += uint64(len(entries))
	return len(entries) > 0
}

func (c *Core) handleAppend(m *pb.QuorumMessage) {
	c.recordLeaderContact(m.From)
	if c.incoming.installing != nil {
		return
	}
	if m.LogIndex < c.commitIndex {
		c.acknowledge(m, c.commitIndex)
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
			RejectHint: c.log.rejectHint(m.LogIndex, m.LogTerm),
		})
		return
	}
	c.storeEntries(m.Entries)
	last := m.LogIndex + uint64(len(m.Entries))
	c.commitUpTo(min(m.Commit, last))
	c.acknowledge(m, last)
}

// acknowledge replies to the leader, once all writes so far are synced, that the
// log matches up to an index.
func (c *Core) acknowledge(m *pb.QuorumMessage, index uint64) {
	c.sendAfterAllWrites(&pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_APPEND_REPLY,
		To:         m.From,
		ToIdentity: m.FromIdentity,
		Term:       c.term,
		LogIndex:   index,
	})
}

// storeEntries appends the entries that the log lacks. At the first conflict of
// terms it truncates the log.
func (c *Core) storeEntries(entries []*pb.LogEntry) {
	for _, e := range entries {
		term, known := c.log.term(e.Index)
		if known && term == e.Term {
			continue
		}
		if known {
			c.truncateLog(e.Index)
		}
		c.appendEntry(e)
	}
}

func (c *Core) truncateLog(from uint64) {
	if from <= c.commitIndex {
		panic(eris.Errorf("truncate log: committed entry %d conflicts with an entry of the leader of term %d", from, c.term))
	}
	c.log.truncateFrom(from)
	c.stableIndex = min(c.stableIndex, from-1)
	c.writes.discardEntriesFrom(from)
	for len(c.memberships) > 0 && c.memberships[len(c.memberships)-1].index >= from {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

func (c *Core) handleAppendReply(m *pb.QuorumMessage) {
	p := c.recordPeerContact(m)
	if p == nil {
		return
	}
	if m.Reject {
		c.handleAppendReject(p, m)
		return
	}
	if m.LogIndex > c.log.lastIndex() {
		panic(eris.Errorf("replica %s acknowledged index %d, but the last index of the log is %d", m.From, m.LogIndex, c.log.lastIndex()))
	}
	p.probeInFlight = false
	advanced := m.LogIndex > p.matchIndex
	p.matchIndex = max(p.matchIndex, m.LogIndex)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	if p.state == probing {
		p.state = replicating
	}
	if p.hasReachedSnapshot(c.log.base.Index) {
		c.endSnapshot(p)
	}
	if advanced {
		c.advanceCommit()
	}
	c.sendAppends(p, false)
	c.continueTransfer()
}

func (c *Core) handleAppendReject(p *progress, m *pb.QuorumMessage) {
	if p.state == snapshotting || m.LogIndex <= p.matchIndex {
		return
	}
	p.becomeProbing(min(m.LogIndex, m.RejectHint+1))
	c.sendAppends(p, true)
}

// advanceCommit commits the entries that a majority of the voters has synced, if
// the last of them is of the leader's own term.
func (c *Core) advanceCommit() {
	if c.role != leader {
		return
	}
	var matches []uint64
	if c.isVoter() {
		matches = append(matches, c.stableIndex)
	}
	for _, p := range c.peers {
		if !p.replica.Learner {
			matches = append(matches, p.matchIndex)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.quorumSize()]
	if index <= c.commitIndex {
		return
	}
	if term, _ := c.log.term(index); term != c.term {
		return
	}
	c.commitUpTo(index)
	c.broadcastAppend(true)
	c.startReadRound()
	c.stepDownIfRemoved()
}

func (c *Core) commitUpTo(index uint64) {
	c.commitIndex = max(c.commitIndex, index)
}

func (c *Core) broadcastHeartbeat() {
	for _, p := range c.peers {
		c.send(&pb.QuorumMessage{
			Kind:       pb.QuorumKind_QUORUM_HEARTBEAT,
			To:         p.replica.Id,
			ToIdentity: p.replica.Identity,
			Term:       c.term,
			Commit:     min(c.commitIndex, p.matchIndex),
			Context:    c.reads.roundID,
		})
	}
}

func (c *Core) handleHeartbeat(m *pb.QuorumMessage) {
	c.recordLeaderContact(m.From)
	if c.incoming.installing == nil {
		c.commitUpTo(min(m.Commit, c.log.lastIndex()))
	}
	c.send(&pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_HEARTBEAT_REPLY,
		To:         m.From,
		ToIdentity: m.FromIdentity,
		Term:       c.term,
		Context:    m.Context,
	})
}

func (c *Core) handleHeartbeatReply(m *pb.QuorumMessage) {
	p := c.recordPeerContact(m)
	if p == nil {
		return
	}
	c.recordReadAck(m)
	p.probeInFlight = false
	if p.matchIndex < c.log.lastIndex() {
		c.sendAppends(p, true)
	}
}
