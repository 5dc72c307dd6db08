package quorum

import "github.com/briarcross/briarcross/pb"

// DefaultElectionTicks is the shortest election timeout when the options
// leave it out.
const DefaultElectionTicks = 10

const (
	defaultHeartbeatTicks = 2
	defaultRetainBytes    = 8 << 20
	maxUncommittedBytes   = 32 << 20
	maxMessageBytes       = 512 << 10
	maxInflightBytes      = 4 << 20
	// A log that a running snapshot holds back is truncated at this multiple
	// of the retained size.
	maxRetainFactor = 4
	// Reads that no leader confirms fail after this many election timeouts.
	readTimeoutElections = 4
)

// Options configures a Core.
type Options struct {
	ID       string
	Identity uint64
	Group    uint32
	// Bootstrap lists the first members, the same on each of them. They found
	// the group when the storage is empty, and may return as spares later.
	Bootstrap []*pb.Replica
	// TargetVoters is the number of voters that repair restores and that a new group
	// grows to with spares; zero means the number of first members.
	TargetVoters uint32
	// Join keeps an empty replica from founding a group; it waits to be added.
	Join bool
	// Spares may replace a lost replica.
	Spares []*pb.Replica
	// ElectionTicks is the shortest election timeout; zero means the default.
	ElectionTicks uint64
	// HeartbeatTicks is the heartbeat interval; zero means the default.
	HeartbeatTicks uint64
	// RepairTicks is the silence after which a voter is replaced; zero turns
	// repair off.
	RepairTicks uint64
	// RetainLogBytes is the size of the applied log kept for slow replicas; zero
	// means the default.
	RetainLogBytes uint64
	// Seed must differ for each start of a replica.
	Seed uint64
	// Stored is what the storage held at the start.
	Stored Stored
}

// Stored is the durable state of a replica. The zero value is a new replica.
type Stored struct {
	HardState *pb.HardState
	// Base is the position before the first entry.
	Base *pb.SnapshotMeta
	// Applied is the position and membership of the applied state.
	Applied   *pb.SnapshotMeta
	Entries   []*pb.LogEntry
	Bootstrap *pb.Bootstrap
}

func (o *Options) setDefaults() {
	if o.ElectionTicks == 0 {
		o.ElectionTicks = DefaultElectionTicks
	}
	if o.HeartbeatTicks == 0 {
		o.HeartbeatTicks = defaultHeartbeatTicks
	}
	if o.RetainLogBytes == 0 {
		o.RetainLogBytes = defaultRetainBytes
	}
}
