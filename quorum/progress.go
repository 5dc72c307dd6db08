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
	// match is the last index known to be synced on the replica.
	match uint64
	next  uint64
	// waiting is set while a probe is unanswered.
	waiting bool
	// heard is the tick of the last message from the replica.
	heard uint64
	// stream numbers the snapshot being sent.
	stream uint64
	chunk  *pb.SnapshotChunk
	// chunkAt is the tick at which the chunk was sent last.
	chunkAt uint64
}

func (p *progress) probe(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.waiting = false
	p.chunk = nil
}

// snapshotCovered reports whether the replica has reached the snapshot that it
// is being sent, or the first index of the log.
func (p *progress) snapshotCovered(base uint64) bool {
	if p.state != snapshotting {
		return false
	}
	return p.match >= base || p.chunk != nil && p.match >= p.chunk.Meta.Index
}

func (c *Core) peer(id string) *progress {
	for _, p := range c.peers {
		if p.replica.Id == id {
			return p
		}
	}
	return nil
}

// hear returns the progress of a message's sender and notes its activity.
func (c *Core) hear(m *pb.QuorumMessage) *progress {
	if c.role != leader {
		return nil
	}
	p := c.peer(m.From)
	if p != nil {
		p.heard = c.tick
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
			c.peers = append(c.peers, c.keepProgress(old, r))
		}
	}
	for _, p := range old {
		if p.state == snapshotting && !slices.Contains(c.peers, p) {
			c.out.Put(ReleaseSnapshot{p.stream})
		}
	}
}

func (c *Core) keepProgress(old []*progress, r *pb.Replica) *progress {
	for _, p := range old {
		if p.replica.Id == r.Id && p.replica.Identity == r.Identity {
			p.replica = r
			return p
		}
	}
	return &progress{replica: r, next: c.log.last() + 1, heard: c.tick}
}

// silent returns the ticks since the last message from a replica.
func (c *Core) silent(p *progress) uint64 {
	return c.tick - p.heard
}

func (c *Core) active(p *progress) bool {
	return c.silent(p) <= c.options.ElectionTicks
}

// quorumActive reports whether a majority of the voters was heard lately.
func (c *Core) quorumActive() bool {
	n := 0
	if c.isVoter() {
		n++
	}
	for _, p := range c.peers {
		if !p.replica.Learner && c.active(p) {
			n++
		}
	}
	return n >= c.quorum()
}
