package quorum

import "github.com/briarcross/briarcross/pb"

// incomingSnapshot tracks a snapshot that this replica receives.
type incomingSnapshot struct {
	// stream identifies the snapshot whose chunks are being staged.
	stream uint64
	// nextSequence is the sequence number of the next chunk to stage.
	nextSequence uint64
	// installing describes the complete snapshot from its last chunk until the
	// state is installed. Log entries are ignored in between.
	installing *pb.SnapshotMeta
}

// startSnapshot starts sending a snapshot to a replica that needs entries that the
// log no longer holds.
func (c *Core) startSnapshot(p *progress) {
	if !c.isActive(p) {
		return
	}
	p.state = snapshotting
	p.pendingChunk = nil
	p.snapshotStream = c.rand.Uint64()
	c.out.Put(ReadSnapshotChunk{p.replica.Id, p.snapshotStream, 0})
}

// sendingSnapshot reports whether a snapshot is being sent to an active replica.
func (c *Core) sendingSnapshot() bool {
	for _, p := range c.peers {
		if p.state == snapshotting && c.isActive(p) {
			return true
		}
	}
	return false
}

func (c *Core) onChunkRead(in SnapshotChunkRead) {
	p := c.peer(in.Peer)
	if p == nil || p.state != snapshotting || p.snapshotStream != in.Chunk.Stream {
		return
	}
	p.pendingChunk = in.Chunk
	c.sendChunk(p)
}

func (c *Core) sendChunk(p *progress) {
	p.chunkSentAt = c.tick
	c.send(&pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_SNAPSHOT,
		To:         p.replica.Id,
		ToIdentity: p.replica.Identity,
		Term:       c.term,
		Snapshot:   p.pendingChunk,
	})
}

// resendChunks resends the chunks that got no reply for a heartbeat interval, and
// ends the snapshots of inactive replicas.
func (c *Core) resendChunks() {
	for _, p := range c.peers {
		if p.state != snapshotting || p.pendingChunk == nil {
			continue
		}
		if !c.isActive(p) {
			c.endSnapshot(p)
			continue
		}
		if c.tick >= p.chunkSentAt+c.options.HeartbeatTicks {
			c.sendChunk(p)
		}
	}
}

// endSnapshot releases a snapshot and returns the replica to replication by log
// entries.
func (c *Core) endSnapshot(p *progress) {
	c.out.Put(ReleaseSnapshot{p.snapshotStream})
	p.becomeProbing(p.matchIndex + 1)
}

func (c *Core) handleSnapshotReply(m *pb.QuorumMessage) {
	p := c.recordPeerContact(m)
	if p == nil || p.state != snapshotting || p.pendingChunk == nil {
		return
	}
	if m.Snapshot.GetStream() != p.snapshotStream || m.Snapshot.Sequence != p.pendingChunk.Sequence {
		return
	}
	if m.Reject {
		c.endSnapshot(p)
		c.sendAppends(p, true)
		return
	}
	if p.pendingChunk.Last {
		c.finishSnapshot(p)
		return
	}
	c.out.Put(ReadSnapshotChunk{p.replica.Id, p.snapshotStream, p.pendingChunk.Sequence + 1})
	p.pendingChunk = nil
}

func (c *Core) finishSnapshot(p *progress) {
	p.matchIndex = max(p.matchIndex, p.pendingChunk.Meta.Index)
	c.endSnapshot(p)
	c.advanceCommit()
	c.sendAppends(p, true)
}

// handleSnapshot stages a chunk. The last chunk is acknowledged only after the
// state is installed; see onInstalled.
func (c *Core) handleSnapshot(m *pb.QuorumMessage) {
	c.recordLeaderContact(m.From)
	chunk := m.Snapshot
	if chunk.GetMeta() == nil || c.incoming.installing != nil {
		return
	}
	if term, known := c.log.term(chunk.Meta.Index); known && term == chunk.Meta.Term {
		c.commitUpTo(chunk.Meta.Index)
	}
	if chunk.Meta.Index <= c.commitIndex {
		c.acknowledge(m, c.commitIndex)
		return
	}
	if chunk.Sequence == 0 && c.incoming.stream != chunk.Stream {
		c.incoming = incomingSnapshot{stream: chunk.Stream}
	}
	if c.incoming.stream != chunk.Stream || chunk.Sequence > c.incoming.nextSequence {
		c.sendChunkReply(m, true)
		return
	}
	if chunk.Sequence < c.incoming.nextSequence {
		c.sendChunkReply(m, false)
		return
	}
	c.incoming.nextSequence++
	c.writes.chunk = chunk
	if chunk.Last {
		c.incoming.installing = chunk.Meta
		return
	}
	c.sendChunkReply(m, false)
}

func (c *Core) sendChunkReply(m *pb.QuorumMessage, reject bool) {
	c.sendAfterAllWrites(&pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_SNAPSHOT_REPLY,
		To:         m.From,
		ToIdentity: m.FromIdentity,
		Term:       c.term,
		Reject:     reject,
		Snapshot:   &pb.SnapshotChunk{Stream: m.Snapshot.Stream, Sequence: m.Snapshot.Sequence},
	})
}

// onInstalled continues from an installed state. It sends no reply itself: the
// leader's next message is acknowledged with the commit index, which is then ahead
// of it.
func (c *Core) onInstalled(meta *pb.SnapshotMeta) {
	c.incoming = incomingSnapshot{}
	c.log = newEntryLog(&pb.SnapshotMeta{Term: meta.Term, Index: meta.Index, UnixMs: meta.UnixMs}, nil)
	c.commitIndex = max(c.commitIndex, meta.Index)
	c.stableIndex = meta.Index
	c.applyingIndex = meta.Index
	c.appliedIndex = meta.Index
	c.memberships = []membershipVersion{{meta.Index, meta.Membership}}
	c.writes.setPendingLastIndex(meta.Index)
	c.releaseReads()
}

// setPendingLastIndex sets the last index of all pending writes to that of an
// installed snapshot, so that entries written before do not count as stable.
func (w *writeQueue) setPendingLastIndex(index uint64) {
	for i := range w.pending {
		w.pending[i].lastIndex = index
	}
}
