package quorum

import "github.com/briarcross/briarcross/pb"

// Output is a value that the host code takes from Core.Drain.
type Output interface{ isOutput() }

// Send sends a message to the replica Message.To.
type Send struct{ Message *pb.QuorumMessage }

// Save writes to stable storage. Parts that are nil or empty stay as stored.
// Tickets increase by one with each Save.
type Save struct {
	Ticket    uint64
	HardState *pb.HardState
	// Entries replace all stored entries from the index of the first one on.
	Entries   []*pb.LogEntry
	Bootstrap *pb.Bootstrap
	// Chunk is staged beside the current state until InstallSnapshot; sequence
	// zero discards all chunks staged before.
	Chunk *pb.SnapshotChunk
}

// Apply applies committed entries to the state machine.
type Apply struct{ Entries []*pb.LogEntry }

// InstallSnapshot atomically replaces the state and the log by the staged chunks.
type InstallSnapshot struct{ Meta *pb.SnapshotMeta }

// CompactLog deletes the stored entries up to and including NewBase.Index and
// stores NewBase as the base of the log.
type CompactLog struct{ NewBase *pb.SnapshotMeta }

// ReadSnapshotChunk requests a chunk of the state for a peer. Sequence zero takes
// a new snapshot; later numbers continue it. Stream identifies the snapshot and
// is copied into the chunk.
type ReadSnapshotChunk struct {
	Peer     string
	Stream   uint64
	Sequence uint64
}

// ReleaseSnapshot ends the reading of the snapshot with this stream number.
type ReleaseSnapshot struct{ Stream uint64 }

// ProposalAppended reports the log position of a proposal. The proposal is not
// committed yet.
type ProposalAppended struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// RefusalReason is the reason why a proposal was not appended.
type RefusalReason uint8

// Reasons of a refusal.
const (
	// RefusedNotLeader also covers a leader that is transferring its leadership or
	// has not committed an entry of its own term.
	RefusedNotLeader RefusalReason = iota
	// RefusedOverloaded means that too many bytes of the log are uncommitted.
	RefusedOverloaded
)

// ProposalRefused reports that a proposal was certainly not appended.
type ProposalRefused struct {
	ID     uint64
	Reason RefusalReason
}

// ReadReady reports that everything acknowledged before the ReadIndex input is
// applied on this replica.
type ReadReady struct{ ID uint64 }

// ReadFailed reports that no leader confirmed a read before its deadline.
type ReadFailed struct{ ID uint64 }

// LeaderReady reports that this replica leads and has applied the first entry of
// its own term.
type LeaderReady struct{ Term uint64 }

// SteppedDown reports that this replica no longer leads Term. Proposals beyond
// CommitIndex have an unknown outcome.
type SteppedDown struct {
	Term        uint64
	CommitIndex uint64
}

// IdentityMismatch reports that Peer binds another identity, Identity, to this
// replica's ID, so that this replica must be added to the group again.
type IdentityMismatch struct {
	Peer     string
	Identity uint64
}

func (Send) isOutput()              {}
func (Save) isOutput()              {}
func (Apply) isOutput()             {}
func (InstallSnapshot) isOutput()   {}
func (CompactLog) isOutput()        {}
func (ReadSnapshotChunk) isOutput() {}
func (ReleaseSnapshot) isOutput()   {}
func (ProposalAppended) isOutput()  {}
func (ProposalRefused) isOutput()   {}
func (ReadReady) isOutput()         {}
func (ReadFailed) isOutput()        {}
func (LeaderReady) isOutput()       {}
func (SteppedDown) isOutput()       {}
func (IdentityMismatch) isOutput()  {}
