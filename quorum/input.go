package quorum

import "github.com/briarcross/briarcross/pb"

// Input is a value that a shell feeds to Core.Step.
type Input interface{ isInput() }

// MessageReceived is a message from another replica.
type MessageReceived struct{ Message *pb.QuorumMessage }

// Proposal is one command to append. The ID links it with its answer.
type Proposal struct {
	ID   uint64
	Data []byte
}

// Propose appends commands on the leader. Each is answered by a Proposed or
// a Refused output.
type Propose struct{ Proposals []Proposal }

// ReadIndex asks for a linearizable read point. It is answered by a ReadReady
// or a ReadFailed output with the same ID.
type ReadIndex struct{ ID uint64 }

// Saved reports that all Save outputs up to a ticket are on stable storage.
type Saved struct{ Ticket uint64 }

// Applied reports that the state machine covers an index.
type Applied struct{ Index uint64 }

// SnapshotInstalled reports that an Install output was carried out and synced.
type SnapshotInstalled struct{ Meta *pb.SnapshotMeta }

// SnapshotChunkRead answers a ReadChunk output.
type SnapshotChunkRead struct {
	Peer  string
	Chunk *pb.SnapshotChunk
}

// TransferLeadership asks a leader to hand over to another voter.
type TransferLeadership struct{}

// SetSpares replaces the replicas that may join the group.
type SetSpares struct{ Spares []*pb.Replica }

// SetRetiring names the replicas that are to leave the group once a spare has
// taken their place.
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
