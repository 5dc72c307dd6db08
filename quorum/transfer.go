package quorum

import "github.com/briarcross/briarcross/pb"

// transferState tracks a leadership transfer.
type transferState struct {
	// targetID is empty while no transfer is running.
	targetID string
	// deadline is the tick at which the transfer is abandoned.
	deadline uint64
}

func (t transferState) active() bool {
	return t.targetID != ""
}

// startTransfer starts to transfer the leadership to the active voter with the
// longest synced log.
func (c *Core) startTransfer() {
	if c.role != leader || c.transfer.active() {
		return
	}
	var best *progress
	for _, p := range c.peers {
		if p.replica.Learner || !c.isActive(p) {
			continue
		}
		if best == nil || p.matchIndex > best.matchIndex {
			best = p
		}
	}
	if best == nil {
		return
	}
	c.transfer = transferState{best.replica.Id, c.tick + c.options.ElectionTicks}
	c.continueTransfer()
}

// continueTransfer tells the target to start an election once its log is complete
// and every proposal so far is committed.
func (c *Core) continueTransfer() {
	if !c.transfer.active() {
		return
	}
	p := c.peer(c.transfer.targetID)
	if p == nil || p.matchIndex < c.log.lastIndex() || c.commitIndex < c.log.lastIndex() {
		return
	}
	c.send(&pb.QuorumMessage{
		Kind:       pb.QuorumKind_QUORUM_TIMEOUT_NOW,
		To:         p.replica.Id,
		ToIdentity: p.replica.Identity,
		Term:       c.term,
	})
}

func (c *Core) tickTransfer() {
	if c.transfer.active() && c.tick >= c.transfer.deadline {
		c.transfer = transferState{}
	}
	c.continueTransfer()
}

func (c *Core) handleTimeoutNow(m *pb.QuorumMessage) {
	if c.role != follower || !c.isVoter() || c.incoming.installing != nil || m.From != c.leaderID {
		return
	}
	c.startElection(true)
}
