package quorum

import "github.com/briarcross/briarcross/pb"

// installation is a snapshot that this replica receives.
type installation struct {
	// stream is the snapshot whose chunks were staged so far.
	stream uint64
	// next is the sequence of the next chunk.
	next uint64
	// meta is set from the last chunk until the state is in place; entries are
	// refused in between.
	meta *pb.SnapshotMeta
}

// startSnapshot begins to send the state to a replica that needs entries
// which the log no longer holds.
func (c *Core) startSnapshot(p *progress) {
	if !c.active(p) {
		return
	}
	p.state = snapshotting
	p.chunk = nil
	p.stream = c.rand.Uint64()
	c.out.Put(ReadSnapshotChunk{p.replica.Id, p.stream, 0})
}

func (c *Core) sendingSnapshot() bool {
	for _, p := range c.peers {
		if p.state == snapshotting && c.active(p) {
			return true
		}
	}
	return false
}

func (c *Core) onChunkRead(in SnapshotChunkRead) {
	p := c.peer(in.Peer)
	if p == nil || p.state != snapshotting || p.stream != in.Chunk.Stream {
		return
	}
	p.chunk = in.Chunk
	c.sendChunk(p)
}

func (c *Core) sendChunk(p *progress) {
	p.chunkAt = c.tick
	c.send(&pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_SNAPSHOT,
		To:         p.replica.Id,
		ToIdentity: p.replica.Identity,
		Term:       c.term,
		Snapshot:   p.chunk,
	})
}

// resendChunks repeats chunks that are unanswered for a heartbeat interval.
func (c *Core) resendChunks() {
	for _, p := range c.peers {
		if p.state != snapshotting || p.chunk == nil {
			continue
		}
		if !c.active(p) {
			c.endSnapshot(p)
			continue
		}
		if c.tick >= p.chunkAt+c.options.HeartbeatTicks {
			c.sendChunk(p)
		}
	}
}

// endSnapshot returns a replica to normal replication.
func (c *Core) endSnapshot(p *progress) {
	c.out.Put(ReleaseSnapshot{p.stream})
	p.probe(p.match + 1)
}

func (c *Core) onSnapshotReply(m *pb.QuorumMessage) {
	p := c.hear(m)
	if p == nil || p.state != snapshotting || p.chunk == nil {
		return
	}
	if m.Snapshot.GetStream() != p.stream || m.Snapshot.Sequence != p.chunk.Sequence {
		return
	}
	if m.Reject {
		c.endSnapshot(p)
		c.sendAppends(p, true)
		return
	}
	if p.chunk.Last {
		c.finishSnapshot(p)
		return
	}
	c.out.Put(ReadSnapshotChunk{p.replica.Id, p.stream, p.chunk.Sequence + 1})
	p.chunk = nil
}

func (c *Core) finishSnapshot(p *progress) {
	p.match = max(p.match, p.chunk.Meta.Index)
	c.endSnapshot(p)
	c.advanceCommit()
	c.sendAppends(p, true)
}

// answerSnapshot stages a chunk. The reply to the last chunk follows once the
// state is installed.
func (c *Core) answerSnapshot(m *pb.QuorumMessage) {
	c.heardLeader(m.From)
	chunk := m.Snapshot
	if chunk.GetMeta() == nil || c.install.meta != nil {
		return
	}
	if term, known := c.log.term(chunk.Meta.Index); known && term == chunk.Meta.Term {
		c.commitUpTo(chunk.Meta.Index)
	}
	if chunk.Meta.Index <= c.commit {
		c.acknowledge(m, c.commit)
		return
	}
	if chunk.Sequence == 0 && c.install.stream != chunk.Stream {
		c.install = installation{stream: chunk.Stream}
	}
	if c.install.stream != chunk.Stream || chunk.Sequence > c.install.next {
		c.replyChunk(m, true)
		return
	}
	if chunk.Sequence < c.install.next {
		c.replyChunk(m, false)
		return
	}
	c.install.next++
	c.writes.chunk = chunk
	if chunk.Last {
		c.install.meta = chunk.Meta
		return
	}
	c.replyChunk(m, false)
}

func (c *Core) replyChunk(m *pb.QuorumMessage, reject bool) {
	c.sendAfterData(&pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_SNAPSHOT_REPLY,
		To:         m.From,
		ToIdentity: m.FromIdentity,
		Term:       c.term,
		Reject:     reject,
		Snapshot:   &pb.SnapshotChunk{Stream: m.Snapshot.Stream, Sequence: m.Snapshot.Sequence},
	})
}

// onInstalled continues from an installed state. The leader's next message
// finds the commit index ahead and is acknowledged with it.
func (c *Core) onInstalled(meta *pb.SnapshotMeta) {
	c.install = installation{}
	c.log = newEntryLog(&pb.SnapshotMeta{Term: meta.Term, Index: meta.Index, UnixMs: meta.UnixMs}, nil)
	c.commit = max(c.commit, meta.Index)
	c.stable = meta.Index
	c.applying = meta.Index
	c.applied = meta.Index
	c.members = []memberVersion{{meta.Index, meta.Membership}}
	c.writes.noteInstalled(meta.Index)
	c.releaseReads()
}

// noteInstalled keeps earlier writes of entries from counting.
func (w *writeQueue) noteInstalled(index uint64) {
	for i := range w.pending {
		w.pending[i].last = index
	}
}
