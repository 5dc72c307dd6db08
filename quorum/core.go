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

	role         role
	term         uint64
	vote         string
	voteIdentity uint64
	leader       string
	// led is set while this replica leads and has applied an entry of its term.
	led bool
	// heard is the tick of the last message of the leader.
	heard uint64
	// electionAt is the tick of the next campaign.
	electionAt uint64
	votes      []string

	log      entryLog
	commit   uint64
	stable   uint64
	applying uint64
	applied  uint64
	members  []memberVersion
	writes   writeQueue
	install  installation
	boot     bootstrap

	// Leader state.
	peers       []*progress
	heartbeatAt uint64
	checkAt     uint64
	barrier     uint64
	transfer    transferState
	candidates  []candidateSpare
	// retiring names the voters that a spare replaces while they still answer.
	retiring []string

	reads readTable
}

// New returns a core that continues from the stored state.
func New(options Options) *Core {
	options.setDefaults()
	c := &Core{
		options: options,
		rand:    core.NewRand(options.Seed),
		log:     newEntryLog(options.Stored.Base, options.Stored.Entries),
	}
	c.restoreHard(options.Stored.HardState)
	c.restoreApplied(options.Stored.Applied)
	c.stable = c.log.last()
	c.commit = min(c.commit, c.stable)
	c.restoreBootstrap()
	c.reads.context = c.rand.Uint64()
	c.resetElection()
	return c
}

func (c *Core) restoreHard(hard *pb.HardState) {
	if hard == nil {
		return
	}
	c.term = hard.Term
	c.vote = hard.Vote
	c.voteIdentity = hard.VoteIdentity
	c.commit = hard.Commit
}

func (c *Core) restoreApplied(applied *pb.SnapshotMeta) {
	if applied == nil {
		applied = &pb.SnapshotMeta{}
	}
	c.applied = applied.Index
	c.applying = applied.Index
	c.commit = max(c.commit, applied.Index)
	first := c.options.Stored.Bootstrap
	switch {
	case applied.Membership != nil:
		c.members = []memberVersion{{applied.Index, applied.Membership}}
	case first.GetDecided():
		c.members = []memberVersion{{0, first.Membership}}
	}
	for index := max(applied.Index+1, c.log.first()); index <= c.log.last(); index++ {
		c.noteMembership(c.log.get(index))
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
		c.confirm(in.ID)
	case Saved:
		c.saved(in.Ticket)
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
		c.retiring = in.IDs
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
		c.campaign()
	}
}

func (c *Core) tickLeader() {
	if c.tick >= c.checkAt {
		c.checkAt = c.tick + c.options.ElectionTicks
		if !c.quorumActive() {
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

// flush emits the write of this step and hands out newly committed entries.
func (c *Core) flush() {
	c.flushWrites()
	c.flushApply()
}

func (c *Core) flushApply() {
	to := min(c.commit, c.stable)
	if to <= c.applying || c.install.meta != nil {
		return
	}
	entries := c.log.between(c.applying+1, to)
	c.applying = to
	c.out.Put(Apply{entries})
}

func (c *Core) onApplied(index uint64) {
	if index <= c.applied {
		return
	}
	c.applied = index
	if c.role == leader && !c.led && index >= c.barrier {
		c.led = true
		c.out.Put(LeaderReady{c.term})
	}
	c.releaseReads()
	c.truncate()
}

// truncate drops applied entries beyond the retained size.
func (c *Core) truncate() {
	size := c.log.bytes(c.log.base.Index, c.applied)
	if size <= c.options.RetainLogBytes {
		return
	}
	if c.sendingSnapshot() && size <= maxRetainFactor*c.options.RetainLogBytes {
		return
	}
	upTo := c.log.base.Index
	for c.log.bytes(upTo, c.applied) > c.options.RetainLogBytes/2 {
		upTo++
	}
	c.log.truncate(upTo)
	c.out.Put(CompactLog{c.log.base})
}

// propose appends commands and starts their replication.
func (c *Core) propose(proposals []Proposal) {
	accepted := false
	for _, p := range proposals {
		if c.role != leader || c.transfer.active() {
			c.out.Put(ProposalRefused{p.ID, RefusedNotLeader})
			continue
		}
		if c.log.bytes(c.commit, c.log.last()) > maxUncommittedBytes {
			c.out.Put(ProposalRefused{p.ID, RefusedOverloaded})
			continue
		}
		e := c.appendNew(pb.EntryKind_ENTRY_COMMAND, p.Data)
		c.out.Put(ProposalAppended{p.ID, e.Index, e.Term})
		accepted = true
	}
	if accepted {
		c.broadcastAppend(false)
	}
}

// appendNew adds an entry of the leader's own term.
func (c *Core) appendNew(kind pb.EntryKind, data []byte) *pb.LogEntry {
	e := &pb.LogEntry{
		Term:   c.term,
		Index:  c.log.last() + 1,
		Kind:   kind,
		Data:   data,
		UnixMs: max(uint64(max(c.now.UnixMilli(), 0)), c.log.lastUnixMs()),
	}
	c.appendEntry(e)
	return e
}

func (c *Core) appendEntry(e *pb.LogEntry) {
	c.log.append(e)
	c.writes.noteEntry(e.Index)
	c.noteMembership(e)
}
