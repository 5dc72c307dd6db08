package quorum

import "github.com/briarcross/briarcross/pb"

// DefaultElectionTicks is the shortest election timeout, in ticks, if
// Options.ElectionTicks is zero.
const DefaultElectionTicks = 10

const (
	defaultHeartbeatTicks = 2
	defaultRetainLogBytes = 8 << 20
	// The leader refuses proposals while more bytes than this are uncommitted.
	maxUncommittedBytes = 32 << 20
	// Size of the entries in one append message, unless a single entry is larger.
	maxMessageBytes = 512 << 10
	// A replica is sent no further entries while this many bytes are
	// unacknowledged.
	maxInflightBytes = 4 << 20
	// While a snapshot is being sent, the applied log may grow to this multiple
	// of RetainLogBytes before it is compacted.
	maxRetainFactor = 4
	// A read fails if no leader confirms it within this many election timeouts.
	readTimeoutElections = 4
)

// Options configures a Core.
type Options struct {
	ID string
	// Identity is the random identity of the data folder.
	Identity uint64
	// Group identifies the replicated log; messages of other groups are dropped.
	Group uint32
	// Bootstrap lists the first members; it must be the same on each of them. If
	// the storage is empty, they form the group. Later they can join as spares.
	Bootstrap []*pb.Replica
	// TargetVoters is the number of voters that repair restores, and that a new
	// group with fewer members reaches by adding spares. Zero, or less than the
	// number of first members, means the number of first members.
	TargetVoters uint32
	// Join keeps a replica with empty storage from forming a new group; it waits
	// until a group adds it.
	Join bool
	// Spares lists replicas outside the group that may replace a lost one.
	Spares []*pb.Replica
	// ElectionTicks is the shortest election timeout in ticks; zero means the
	// default.
	ElectionTicks uint64
	// HeartbeatTicks is the heartbeat interval in ticks; zero means the default.
	HeartbeatTicks uint64
	// RepairTicks is the number of ticks without a message from a voter after
	// which it is replaced; zero disables repair.
	RepairTicks uint64
	// RetainLogBytes is the size of the applied log entries that are kept for
	// slow replicas; zero means the default.
	RetainLogBytes uint64
	// Seed seeds the random numbers; it must differ for each start of a replica.
	Seed uint64
	// Stored is the content of the storage at the start.
	Stored Stored
}

// Stored is the durable state of a replica. The zero value is a new replica.
type Stored struct {
	HardState *pb.HardState
	// Base is the position before the first log entry.
	Base *pb.SnapshotMeta
	// Applied is the log position and the membership of the applied state.
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
		o.RetainLogBytes = defaultRetainLogBytes
	}
}
