package quorum

import "github.com/briarcross/briarcross/pb"

// writeQueue numbers the writes and holds back the messages that depend on
// them.
type writeQueue struct {
	issued     uint64
	saved      uint64
	hardTicket uint64

	dirtyHard bool
	dirtyBoot bool
	// dirtyFrom is the first entry that no Save carries yet; zero for none.
	dirtyFrom uint64
	chunk     *pb.SnapshotChunk

	pending []pendingWrite
	held    []heldMessage
}

type pendingWrite struct {
	ticket uint64
	last   uint64
	// install is set when the write holds the last chunk of a snapshot.
	install *pb.SnapshotMeta
}

type heldMessage struct {
	ticket  uint64
	message *pb.QuorumMessage
}

func (w *writeQueue) dirty() bool {
	return w.dirtyHard || w.dirtyBoot || w.dirtyFrom != 0 || w.chunk != nil
}

func (w *writeQueue) noteEntry(index uint64) {
	if w.dirtyFrom == 0 || index < w.dirtyFrom {
		w.dirtyFrom = index
	}
}

// noteCut forgets the entries from an index on.
func (w *writeQueue) noteCut(from uint64) {
	for i := range w.pending {
		w.pending[i].last = min(w.pending[i].last, from-1)
	}
}

// dataTicket returns the ticket of the latest write.
func (w *writeQueue) dataTicket() uint64 {
	if w.dirty() {
		return w.issued + 1
	}
	return w.issued
}

// termTicket returns the ticket of the latest write of the term or the vote.
func (w *writeQueue) termTicket() uint64 {
	if w.dirtyHard {
		return w.issued + 1
	}
	return w.hardTicket
}

// send emits a message after the current term is on stable storage.
func (c *Core) send(m *pb.QuorumMessage) {
	c.sendAfter(m, c.writes.termTicket())
}

// sendAfterData emits a message after all writes so far.
func (c *Core) sendAfterData(m *pb.QuorumMessage) {
	c.sendAfter(m, c.writes.dataTicket())
}

func (c *Core) sendAfter(m *pb.QuorumMessage, ticket uint64) {
	m.Group = c.options.Group
	m.From = c.options.ID
	m.FromIdentity = c.options.Identity
	if ticket <= c.writes.saved {
		c.out.Put(Send{m})
		return
	}
	c.writes.held = append(c.writes.held, heldMessage{ticket, m})
}

func (c *Core) flushWrites() {
	w := &c.writes
	if !w.dirty() {
		return
	}
	w.issued++
	save := Save{Ticket: w.issued, Chunk: w.chunk, HardState: c.hardState()}
	if w.dirtyHard {
		w.hardTicket = w.issued
	}
	if w.dirtyBoot {
		save.Bootstrap = c.boot.record()
	}
	if w.dirtyFrom != 0 {
		save.Entries = c.log.between(w.dirtyFrom, c.log.last())
	}
	p := pendingWrite{ticket: w.issued, last: c.log.last()}
	if w.chunk != nil && w.chunk.Last {
		p.install = w.chunk.Meta
	}
	w.pending = append(w.pending, p)
	w.dirtyHard, w.dirtyBoot, w.dirtyFrom, w.chunk = false, false, 0, nil
	c.out.Put(save)
}

func (c *Core) hardState() *pb.HardState {
	return &pb.HardState{
		Term:         c.term,
		Vote:         c.vote,
		VoteIdentity: c.voteIdentity,
		Commit:       c.commit,
	}
}

// saved releases what depended on the writes up to a ticket.
func (c *Core) saved(ticket uint64) {
	w := &c.writes
	w.saved = max(w.saved, ticket)
	done := 0
	for done < len(w.pending) && w.pending[done].ticket <= ticket {
		c.stable = max(c.stable, w.pending[done].last)
		if meta := w.pending[done].install; meta != nil {
			c.out.Put(InstallSnapshot{meta})
		}
		done++
	}
	w.pending = append(w.pending[:0], w.pending[done:]...)
	kept := w.held[:0]
	for _, h := range w.held {
		if h.ticket <= w.saved {
			c.out.Put(Send{h.message})
			continue
		}
		kept = append(kept, h)
	}
	clear(w.held[len(kept):])
	w.held = kept
	c.advanceCommit()
}
