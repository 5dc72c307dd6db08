package quorum

import "github.com/briarcross/briarcross/pb"

// Output is a value that a shell takes from Core.Drain.
type Output interface{ isOutput() }

// Send passes a message to the replica that it names.
type Send struct{ Message *pb.QuorumMessage }

// Save writes to stable storage. Absent parts are left unchanged.
type Save struct {
	Ticket    uint64
	HardState *pb.HardState
	// Entries replace all stored entries from the first one's index.
	Entries   []*pb.LogEntry
	Bootstrap *pb.Bootstrap
	// Chunk is staged beside the state; sequence zero discards earlier chunks.
	Chunk *pb.SnapshotChunk
}

// Apply carries committed entries to the state machine.
type Apply struct{ Entries []*pb.LogEntry }

// InstallSnapshot replaces the state and the log by the staged chunks, atomically.
type InstallSnapshot struct{ Meta *pb.SnapshotMeta }

// CompactLog deletes the stored entries up to a position, which becomes the
// stored base.
type CompactLog struct{ NewBase *pb.SnapshotMeta }

// ReadSnapshotChunk asks for a chunk of the state for a peer. Sequence zero takes a
// new snapshot; later numbers continue it. The chunk carries the stream.
type ReadSnapshotChunk struct {
	Peer     string
	Stream   uint64
	Sequence uint64
}

// ReleaseSnapshot ends the reading of a stream.
type ReleaseSnapshot struct{ Stream uint64 }

// ProposalAppended tells where a proposal stands in the log.
type ProposalAppended struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// RefusalReason tells why a proposal was not appended.
type RefusalReason uint8

// Reasons of a refusal.
const (
	RefusedNotLeader RefusalReason = iota
	RefusedOverloaded
)

// ProposalRefused tells that a proposal was certainly not appended.
type ProposalRefused struct {
	ID     uint64
	Reason RefusalReason
}

// ReadReady tells that everything acknowledged before the Confirm input is
// applied here.
type ReadReady struct{ ID uint64 }

// ReadFailed tells that no leader confirmed a read in time.
type ReadFailed struct{ ID uint64 }

// LeaderReady tells that this replica has applied the first entry of its own term.
type LeaderReady struct{ Term uint64 }

// SteppedDown tells that this replica no longer leads. Proposals beyond Commit
// have an unknown outcome.
type SteppedDown struct {
	Term        uint64
	CommitIndex uint64
}

// IdentityMismatch tells that a peer binds another identity to this replica's ID,
// so that this one must be added again.
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
