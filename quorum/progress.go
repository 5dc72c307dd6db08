package quorum

import (
	"slices"

	"github.com/briarcross/briarcross/pb"
)

type progressState uint8

const (
	// probing sends one message at a time to find the matching position.
	probing progressState = iota
	// replicating sends ahead of the acknowledgements.
	replicating
	// snapshotting sends chunks of the state.
	snapshotting
)

// progress is the leader's knowledge of one other replica.
type progress struct {
	replica *pb.Replica
	state   progressState
	// matchIndex is the last index known to be synced on the replica.
	matchIndex uint64
	nextIndex  uint64
	// probeInFlight is set while a probe is unanswered.
	probeInFlight bool
	// lastContactAt is the tick of the last message from the replica.
	lastContactAt uint64
	// snapshotStream numbers the snapshot being sent.
	snapshotStream uint64
	pendingChunk   *pb.SnapshotChunk
	// chunkSentAt is the tick at which the chunk was sent last.
	chunkSentAt uint64
}

func (p *progress) becomeProbing(next uint64) {
	p.state = probing
	p.nextIndex = max(next, p.matchIndex+1)
	p.probeInFlight = false
	p.pendingChunk = nil
}

// hasReachedSnapshot reports whether the replica has reached the snapshot that it
// is being sent, or the first index of the log.
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

// recordPeerContact returns the progress of a message's sender and notes its activity.
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

// syncPeers makes the progress table follow the membership.
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

func (c *Core) progressFor(old []*progress, r *pb.Replica) *progress {
	for _, p := range old {
		if p.replica.Id == r.Id && p.replica.Identity == r.Identity {
			p.replica = r
			return p
		}
	}
	return &progress{replica: r, nextIndex: c.log.lastIndex() + 1, lastContactAt: c.tick}
}

// ticksSinceContact returns the ticks since the last message from a replica.
func (c *Core) ticksSinceContact(p *progress) uint64 {
	return c.tick - p.lastContactAt
}

func (c *Core) isActive(p *progress) bool {
	return c.ticksSinceContact(p) <= c.options.ElectionTicks
}

// quorumActive reports whether a majority of the voters was heard lately.
func (c *Core) quorumActive() bool {
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
