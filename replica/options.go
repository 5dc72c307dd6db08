package replica

import (
	"io"
	"time"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
)

// DefaultTickInterval is the length of a tick when the options leave it out.
const DefaultTickInterval = 50 * time.Millisecond

// StateMachine is what the replicated commands act on.
type StateMachine interface {
	// Apply runs one command; it must be deterministic. The keys of the batch
	// are private to the machine.
	Apply(batch kv.Batch, index uint64, command *pb.Command) *pb.CommandResult
	// Restore rebuilds the tables in memory from the storage after a start or
	// an installed snapshot.
	Restore(reader kv.Reader)
}

// Options configures a Replica.
type Options struct {
	ID         string
	Address    string
	DataCentre string
	Group      uint32
	// Folder is the data folder; empty keeps everything in memory.
	Folder string
	// Bootstrap lists the first members, the same on each replica. They found
	// the group when the folder is new, and may return as spares later.
	Bootstrap []*pb.Replica
	// Spares may replace a lost replica.
	Spares []*pb.Replica
	// TargetVoters is the number of voters that the group grows to and keeps; zero
	// means the number of first members.
	TargetVoters uint32
	// UnstableInodes is set where a data folder does not keep the inode numbers of
	// its files across restarts. A copied folder is then not recognised.
	UnstableInodes bool
	// Join starts without a membership and waits to be added as a learner.
	Join         bool
	StateMachine StateMachine
	// Send passes a message on. It must not block and may lose messages.
	Send func(*pb.QuorumMessage)
	// TickInterval is the length of one tick; zero means DefaultTick.
	TickInterval time.Duration
	// ElectionTicks is the shortest election timeout, HeartbeatTicks the
	// interval of heartbeats; zero means the defaults of package quorum.
	ElectionTicks  uint64
	HeartbeatTicks uint64
	// RepairAfter is the silence after which a voter is replaced; zero turns
	// repair off.
	RepairAfter time.Duration
	// RetainLogBytes is the size of the applied log kept for slow replicas; zero
	// means the default of package quorum.
	RetainLogBytes uint64
	// Seed sets the randomness, together with the identity of the folder and
	// the number of its starts.
	Seed uint64
	// Logger may be nil.
	Logger *log.Logger
	// OnApply is called on the apply goroutine after the effects are visible.
	// It must not block.
	OnApply func(index uint64, command *pb.Command, result *pb.CommandResult)
	// OnLeadershipChange is called when the replica has applied the first entry of its own
	// term, and when it leads no more. It must not block.
	OnLeadershipChange func(term uint64, leading bool)
	// OnStorageError is called once after a failed read or sync; the process must
	// stop.
	OnStorageError func(error)
}

func (o *Options) validateAndSetDefaults() error {
	if o.ID == "" {
		return eris.New("replica has no ID")
	}
	if o.StateMachine == nil || o.Send == nil {
		return eris.Errorf("replica %s has no state machine or no way to send", o.ID)
	}
	if o.TickInterval <= 0 {
		o.TickInterval = DefaultTickInterval
	}
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	o.Logger = o.Logger.WithPrefix("quorum")
	o.setDefaultCallbacks()
	return nil
}

func (o *Options) setDefaultCallbacks() {
	if o.OnApply == nil {
		o.OnApply = func(uint64, *pb.Command, *pb.CommandResult) {}
	}
	if o.OnLeadershipChange == nil {
		o.OnLeadershipChange = func(uint64, bool) {}
	}
	if o.OnStorageError == nil {
		o.OnStorageError = func(err error) { panic(err) }
	}
}

func (o *Options) repairTimeoutTicks() uint64 {
	return uint64(o.RepairAfter / o.TickInterval)
}
