package quorum

import (
	"slices"

	"github.com/briarcross/briarcross/pb"
)

type progressState uint8

const (
	// probing sends one append at a time to find the last matching index.
	probing progressState = iota
	// replicating sends appends without waiting for acknowledgements.
	replicating
	// snapshotting sends a snapshot in chunks.
	snapshotting
)

// progress tracks the replication to one other replica on the leader.
type progress struct {
	replica *pb.Replica
	state   progressState
	// matchIndex is the last index known to be synced on the replica.
	matchIndex uint64
	// nextIndex is the index of the next entry to send.
	nextIndex uint64
	// probeInFlight is set while an append sent in the probing state awaits its
	// reply.
	probeInFlight bool
	// lastContactAt is the tick of the last message from the replica.
	lastContactAt uint64
	// snapshotStream is the random number of the snapshot being sent.
	snapshotStream uint64
	// pendingChunk is the chunk that awaits its reply; nil while it is being read.
	pendingChunk *pb.SnapshotChunk
	// chunkSentAt is the tick at which pendingChunk was last sent.
	chunkSentAt uint64
}

func (p *progress) becomeProbing(next uint64) {
	p.state = probing
	p.nextIndex = max(next, p.matchIndex+1)
	p.probeInFlight = false
	p.pendingChunk = nil
}

// hasReachedSnapshot reports whether a replica that is being sent a snapshot no
// longer needs it: its log has reached the snapshot or the base of the log.
func (p *progress) hasReachedSnapshot(baseIndex uint64) bool {
	if p.state != snapshotting {
		return false
	}
	return p.matchIndex >= baseIndex || p.pendingChunk != nil && p.matchIndex >= p.pendingChunk.Meta.Index
}

func (c *Core) peer(id string) *progress {
	for _, p := range c.peers {
		if p.replica.Id == id {
			return p
		}
	}
	return nil
}

// recordPeerContact records on the leader that a peer sent a message and returns
// the peer's progress, or nil if the sender is no member or this replica does
// not lead.
func (c *Core) recordPeerContact(m *pb.QuorumMessage) *progress {
	if c.role != leader {
		return nil
	}
	p := c.peer(m.From)
	if p != nil {
		p.lastContactAt = c.tick
	}
	return p
}

// syncPeers updates the list of peers to the membership in force and releases
// the snapshots of removed ones.
func (c *Core) syncPeers() {
	if c.role != leader {
		return
	}
	old := c.peers
	c.peers = nil
	for _, r := range c.membership().GetReplicas() {
		if r.Id != c.options.ID {
			c.peers = append(c.peers, c.progressFor(old, r))
		}
	}
	for _, p := range old {
		if p.state == snapshotting && !slices.Contains(c.peers, p) {
			c.out.Put(ReleaseSnapshot{p.snapshotStream})
		}
	}
}

// progressFor returns the progress of a replica from old if its identity is the
// same, and otherwise a new one.
func (c *Core) progressFor(old []*progress, r *pb.Replica) *progress {
	for _, p := range old {
		if p.replica.Id == r.Id && p.replica.Identity == r.Identity {
			p.replica = r
			return p
		}
	}
	return &progress{replica: r, nextIndex: c.log.lastIndex() + 1, lastContactAt: c.tick}
}

// ticksSinceContact returns the number of ticks since the last message from a
// replica.
func (c *Core) ticksSinceContact(p *progress) uint64 {
	return c.tick - p.lastContactAt
}

// isActive reports whether a replica sent a message within the shortest election
// timeout.
func (c *Core) isActive(p *progress) bool {
	return c.ticksSinceContact(p) <= c.options.ElectionTicks
}

// isQuorumActive reports whether a majority of the voters is active (check-quorum).
func (c *Core) isQuorumActive() bool {
	n := 0
	if c.isVoter() {
		n++
	}
	for _, p := range c.peers {
		if !p.replica.Learner && c.isActive(p) {
			n++
		}
	}
	return n >= c.quorumSize()
}
