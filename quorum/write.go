package quorum

import "github.com/briarcross/briarcross/pb"

// writeQueue collects the changes for the next Save output, numbers the outputs by
// ticket and holds back the messages that depend on them.
type writeQueue struct {
	// lastTicket is the ticket of the latest Save output, savedTicket that of the
	// latest one on stable storage, and lastHardStateTicket that of the latest one
	// that changed the term or the vote.
	lastTicket          uint64
	savedTicket         uint64
	lastHardStateTicket uint64

	dirtyHardState bool
	dirtyBootstrap bool
	// firstDirtyIndex is the index of the first log entry not yet in a Save output;
	// zero if there is none.
	firstDirtyIndex uint64
	// chunk is the snapshot chunk to stage with the next Save output.
	chunk *pb.SnapshotChunk

	pending      []pendingWrite
	heldMessages []heldMessage
}

// pendingWrite is a Save output that is not on stable storage yet.
type pendingWrite struct {
	ticket uint64
	// lastIndex is the last log index that is stable once the write is saved.
	lastIndex uint64
	// snapshotMeta is set if the write holds the last chunk of a snapshot.
	snapshotMeta *pb.SnapshotMeta
}

// heldMessage is a message to send once the write with its ticket is saved.
type heldMessage struct {
	ticket  uint64
	message *pb.QuorumMessage
}

func (w *writeQueue) dirty() bool {
	return w.dirtyHardState || w.dirtyBootstrap || w.firstDirtyIndex != 0 || w.chunk != nil
}

func (w *writeQueue) markEntryDirty(index uint64) {
	if w.firstDirtyIndex == 0 || index < w.firstDirtyIndex {
		w.firstDirtyIndex = index
	}
}

// discardEntriesFrom limits the last index of all pending writes to that before
// from, so that truncated entries do not count as stable.
func (w *writeQueue) discardEntriesFrom(from uint64) {
	for i := range w.pending {
		w.pending[i].lastIndex = min(w.pending[i].lastIndex, from-1)
	}
}

// allWritesTicket returns the ticket of the latest write, including the one that
// the current step emits at its end.
func (w *writeQueue) allWritesTicket() uint64 {
	if w.dirty() {
		return w.lastTicket + 1
	}
	return w.lastTicket
}

// hardStateTicket returns the ticket of the latest write of the term or the vote,
// including the one that the current step emits at its end.
func (w *writeQueue) hardStateTicket() uint64 {
	if w.dirtyHardState {
		return w.lastTicket + 1
	}
	return w.lastHardStateTicket
}

// send sends a message once the current term and vote are on stable storage.
func (c *Core) send(m *pb.QuorumMessage) {
	c.sendAfter(m, c.writes.hardStateTicket())
}

// sendAfterAllWrites sends a message once all writes so far are on stable storage.
func (c *Core) sendAfterAllWrites(m *pb.QuorumMessage) {
	c.sendAfter(m, c.writes.allWritesTicket())
}

func (c *Core) sendAfter(m *pb.QuorumMessage, ticket uint64) {
	m.Group = c.options.Group
	m.From = c.options.ID
	m.FromIdentity = c.options.Identity
	if ticket <= c.writes.savedTicket {
		c.out.Put(Send{m})
		return
	}
	c.writes.heldMessages = append(c.writes.heldMessages, heldMessage{ticket, m})
}

func (c *Core) flushWrites() {
	w := &c.writes
	if !w.dirty() {
		return
	}
	w.lastTicket++
	save := Save{Ticket: w.lastTicket, Chunk: w.chunk, HardState: c.hardState()}
	if w.dirtyHardState {
		w.lastHardStateTicket = w.lastTicket
	}
	if w.dirtyBootstrap {
		save.Bootstrap = c.bootstrap.toProto()
	}
	if w.firstDirtyIndex != 0 {
		save.Entries = c.log.slice(w.firstDirtyIndex, c.log.lastIndex())
	}
	p := pendingWrite{ticket: w.lastTicket, lastIndex: c.log.lastIndex()}
	if w.chunk != nil && w.chunk.Last {
		p.snapshotMeta = w.chunk.Meta
	}
	w.pending = append(w.pending, p)
	w.dirtyHardState, w.dirtyBootstrap, w.firstDirtyIndex, w.chunk = false, false, 0, nil
	c.out.Put(save)
}

func (c *Core) hardState() *pb.HardState {
	return &pb.HardState{
		Term:         c.term,
		Vote:         c.votedFor,
		VoteIdentity: c.votedForIdentity,
		Commit:       c.commitIndex,
	}
}

// onSaved advances the stable index, emits the installation of a completely staged
// snapshot and sends the messages that waited for the writes up to a ticket.
func (c *Core) onSaved(ticket uint64) {
	w := &c.writes
	w.savedTicket = max(w.savedTicket, ticket)
	done := 0
	for done < len(w.pending) && w.pending[done].ticket <= ticket {
		c.stableIndex = max(c.stableIndex, w.pending[done].lastIndex)
		if meta := w.pending[done].snapshotMeta; meta != nil {
			c.out.Put(InstallSnapshot{meta})
		}
		done++
	}
	w.pending = append(w.pending[:0], w.pending[done:]...)
	kept := w.heldMessages[:0]
	for _, h := range w.heldMessages {
		if h.ticket <= w.savedTicket {
			c.out.Put(Send{h.message})
			continue
		}
		kept = append(kept, h)
	}
	clear(w.heldMessages[len(kept):])
	w.heldMessages = kept
	c.advanceCommit()
}
