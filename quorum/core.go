package quorum

import (
	"math/rand/v2"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Core is one replica of a replicated log.
type Core struct {
	options Options
	rand    *rand.Rand
	out     core.Outbox[Output]
	now     time.Time
	// tick counts the calls of Tick.
	tick uint64

	role role
	term uint64
	// votedFor and votedForIdentity name the replica that got this replica's
	// vote in the current term; empty before a vote.
	votedFor         string
	votedForIdentity uint64
	// leaderID is empty while no leader of the current term is known.
	leaderID string
	// leaderReady is set while this replica leads and has applied an entry of
	// its own term.
	leaderReady bool
	// leaderContactAt is the tick of the last message from the leader.
	leaderContactAt uint64
	// electionAt is the tick at which the election timeout ends.
	electionAt uint64
	// shortTimeouts is the number of short election timeouts that are left after a start.
	shortTimeouts int
	// votes lists the IDs of the replicas that granted their (pre-)vote.
	votes []string

	log         entryLog
	commitIndex uint64
	// stableIndex is the last log index on this replica's stable storage.
	stableIndex uint64
	// applyingIndex is the last index emitted in an Apply output; appliedIndex
	// is the last one that an Applied input reported.
	applyingIndex uint64
	appliedIndex  uint64
	// memberships holds the latest committed membership and those after it.
	memberships []membershipVersion
	writes      writeQueue
	incoming    incomingSnapshot
	bootstrap   bootstrapState

	// Leader state; heartbeatAt and quorumCheckAt are the ticks at which the
	// next heartbeat and the next check-quorum are due.
	peers         []*progress
	heartbeatAt   uint64
	quorumCheckAt uint64
	// barrierIndex is the index of the first entry of the leader's own term.
	barrierIndex    uint64
	transfer        transferState
	announcedSpares []announcedSpare
	// retiringIDs lists the voters to replace by spares although they are active.
	retiringIDs []string

	reads readState
}

// New returns a core that continues from options.Stored.
func New(options Options) *Core {
	options.setDefaults()
	c := &Core{
		options:       options,
		rand:          core.NewRand(options.Seed),
		shortTimeouts: shortTimeoutsAfterStart,
		log:           newEntryLog(options.Stored.Base, options.Stored.Entries),
	}
	c.restoreHardState(options.Stored.HardState)
	c.restoreApplied(options.Stored.Applied)
	c.stableIndex = c.log.lastIndex()
	c.commitIndex = min(c.commitIndex, c.stableIndex)
	c.restoreBootstrap()
	c.reads.roundID = c.rand.Uint64()
	c.resetElectionTimer()
	return c
}

func (c *Core) restoreHardState(hardState *pb.HardState) {
	if hardState == nil {
		return
	}
	c.term = hardState.Term
	c.votedFor = hardState.Vote
	c.votedForIdentity = hardState.VoteIdentity
	c.commitIndex = hardState.Commit
}

func (c *Core) restoreApplied(applied *pb.SnapshotMeta) {
	if applied == nil {
		applied = &pb.SnapshotMeta{}
	}
	c.appliedIndex = applied.Index
	c.applyingIndex = applied.Index
	c.commitIndex = max(c.commitIndex, applied.Index)
	bootstrap := c.options.Stored.Bootstrap
	switch {
	case applied.Membership != nil:
		c.memberships = []membershipVersion{{applied.Index, applied.Membership}}
	case bootstrap.GetDecided():
		c.memberships = []membershipVersion{{0, bootstrap.Membership}}
	}
	for index := max(applied.Index+1, c.log.firstIndex()); index <= c.log.lastIndex(); index++ {
		c.adoptMembership(c.log.get(index))
	}
}

// Step handles one input.
func (c *Core) Step(now time.Time, in Input) {
	c.now = now
	switch in := in.(type) {
	case MessageReceived:
		c.receive(in.Message)
	case Propose:
		c.propose(in.Proposals)
	case ReadIndex:
		c.startRead(in.ID)
	case Saved:
		c.onSaved(in.Ticket)
	case Applied:
		c.onApplied(in.Index)
	case SnapshotInstalled:
		c.onInstalled(in.Meta)
	case SnapshotChunkRead:
		c.onChunkRead(in)
	case TransferLeadership:
		c.startTransfer()
	case SetSpares:
		c.options.Spares = in.Spares
	case SetRetiring:
		c.retiringIDs = in.IDs
	}
	c.flush()
}

// Tick advances the timers by one tick.
func (c *Core) Tick(now time.Time) {
	c.now = now
	c.tick++
	if c.role == leader {
		c.tickLeader()
	} else {
		c.tickFollower()
	}
	c.tickBootstrap()
	c.tickReads()
	c.flush()
}

// Drain returns the outputs since the last call.
func (c *Core) Drain() []Output {
	return c.out.Drain()
}

func (c *Core) tickFollower() {
	if c.tick >= c.electionAt {
		c.startPreVote()
	}
}

func (c *Core) tickLeader() {
	if c.tick >= c.quorumCheckAt {
		c.quorumCheckAt = c.tick + c.options.ElectionTicks
		if !c.isQuorumActive() {
			c.becomeFollower(c.term, "")
			return
		}
	}
	if c.tick >= c.heartbeatAt {
		c.heartbeatAt = c.tick + c.options.HeartbeatTicks
		c.broadcastHeartbeat()
		c.resendChunks()
		c.probeSpares()
	}
	c.tickTransfer()
	c.repair()
}

// flush emits the pending write and the newly committed entries.
func (c *Core) flush() {
	c.flushWrites()
	c.flushApply()
}

func (c *Core) flushApply() {
	to := min(c.commitIndex, c.stableIndex)
	if to <= c.applyingIndex || c.incoming.installing != nil {
		return
	}
	entries := c.log.slice(c.applyingIndex+1, to)
	c.applyingIndex = to
	c.out.Put(Apply{entries})
}

func (c *Core) onApplied(index uint64) {
	if index <= c.appliedIndex {
		return
	}
	c.appliedIndex = index
	if c.role == leader && !c.leaderReady && index >= c.barrierIndex {
		c.leaderReady = true
		c.out.Put(LeaderReady{c.term})
	}
	c.releaseReads()
	c.compactLog()
}

// compactLog removes the oldest applied entries once their size exceeds
// RetainLogBytes, until at most half of RetainLogBytes is left. While a snapshot is
// being sent, the applied log may grow to maxRetainFactor times RetainLogBytes.
func (c *Core) compactLog() {
	size := c.log.bytes(c.log.base.Index, c.appliedIndex)
	if size <= c.options.RetainLogBytes {
		return
	}
	if c.sendingSnapshot() && size <= maxRetainFactor*c.options.RetainLogBytes {
		return
	}
	upTo := c.log.base.Index
	for c.log.bytes(upTo, c.appliedIndex) > c.options.RetainLogBytes/2 {
		upTo++
	}
	c.log.compact(upTo)
	c.out.Put(CompactLog{c.log.base})
}

// propose appends commands to the log and sends them to the peers. It refuses
// them if this replica does not lead or is transferring its leadership, or if
// more than maxUncommittedBytes are uncommitted. A leader also refuses them until
// it has committed an entry of its own term: appended commands can no longer be
// refused, and it may never commit them.
func (c *Core) propose(proposals []Proposal) {
	accepted := false
	for _, p := range proposals {
		if c.role != leader || c.commitIndex < c.barrierIndex || c.transfer.active() {
			c.out.Put(ProposalRefused{p.ID, RefusedNotLeader})
			continue
		}
		if c.log.bytes(c.commitIndex, c.log.lastIndex()) > maxUncommittedBytes {
			c.out.Put(ProposalRefused{p.ID, RefusedOverloaded})
			continue
		}
		e := c.appendLeaderEntry(pb.EntryKind_ENTRY_COMMAND, p.Data)
		c.out.Put(ProposalAppended{p.ID, e.Index, e.Term})
		accepted = true
	}
	if accepted {
		c.broadcastAppend(false)
	}
}

// appendLeaderEntry appends an entry of the leader's own term. Its timestamp is
// never below that of the entry before.
func (c *Core) appendLeaderEntry(kind pb.EntryKind, data []byte) *pb.LogEntry {
	e := &pb.LogEntry{
		Term:   c.term,
		Index:  c.log.lastIndex() + 1,
		Kind:   kind,
		Data:   data,
		UnixMs: max(uint64(max(c.now.UnixMilli(), 0)), c.log.lastUnixMs()),
	}
	c.appendEntry(e)
	return e
}

func (c *Core) appendEntry(e *pb.LogEntry) {
	c.log.append(e)
	c.writes.markEntryDirty(e.Index)
	c.adoptMembership(e)
}
