package quorum

import "github.com/briarcross/briarcross/pb"

// Input is a value that the host code passes to Core.Step.
type Input interface{ isInput() }

// MessageReceived passes in a message from another replica.
type MessageReceived struct{ Message *pb.QuorumMessage }

// Proposal is one command to append to the log. The ID links it with the output
// that reports its outcome.
type Proposal struct {
	ID   uint64
	Data []byte
}

// Propose appends commands to the leader's log. The core responds to each with
// a ProposalAppended or a ProposalRefused output.
type Propose struct{ Proposals []Proposal }

// ReadIndex starts a linearizable read. The core responds with a ReadReady or a
// ReadFailed output with the same ID.
type ReadIndex struct{ ID uint64 }

// Saved reports that all Save outputs up to Ticket are on stable storage.
type Saved struct{ Ticket uint64 }

// Applied reports that the state machine has applied all entries up to Index.
type Applied struct{ Index uint64 }

// SnapshotInstalled reports that an InstallSnapshot output was carried out and
// synced.
type SnapshotInstalled struct{ Meta *pb.SnapshotMeta }

// SnapshotChunkRead returns the chunk that a ReadSnapshotChunk output requested.
// Peer is the ID of the replica that the chunk is for.
type SnapshotChunkRead struct {
	Peer  string
	Chunk *pb.SnapshotChunk
}

// TransferLeadership makes the leader transfer its leadership to another voter.
// Other replicas ignore it.
type TransferLeadership struct{}

// SetSpares replaces the list of replicas that may join the group in place of a
// lost or retiring member.
type SetSpares struct{ Spares []*pb.Replica }

// SetRetiring replaces the list of IDs of the replicas that are removed from the
// group once a spare has taken their place.
type SetRetiring struct{ IDs []string }

func (MessageReceived) isInput()    {}
func (Propose) isInput()            {}
func (ReadIndex) isInput()          {}
func (Saved) isInput()              {}
func (Applied) isInput()            {}
func (SnapshotInstalled) isInput()  {}
func (SnapshotChunkRead) isInput()  {}
func (TransferLeadership) isInput() {}
func (SetSpares) isInput()          {}
func (SetRetiring) isInput()        {}
