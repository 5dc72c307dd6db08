package replica

import (
	"io"
	"time"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
)

// DefaultTickInterval is used when Options.TickInterval is not set.
const DefaultTickInterval = 50 * time.Millisecond

// StateMachine is the application state that replicated commands modify.
type StateMachine interface {
	// Apply applies one command to the batch. It must be deterministic. The
	// batch has a key space of its own.
	Apply(batch kv.Batch, index uint64, command *pb.Command) *pb.CommandResult
	// Restore rebuilds the in-memory tables from the store after a start or
	// after a snapshot was installed.
	Restore(reader kv.Reader)
}

// Options configures a Replica.
type Options struct {
	ID         string
	Address    string
	DataCentre string
	Group      uint32
	// Folder is the data folder. If empty, all data is kept in memory.
	Folder string
	// Bootstrap lists the first members and must be the same on each replica.
	// They form the group if their folders are new, and may rejoin as spares
	// later.
	Bootstrap []*pb.Replica
	// Spares lists the replicas that may replace a lost one.
	Spares []*pb.Replica
	// TargetVoters is the number of voters that the group grows to and then
	// keeps. Zero means the number of Bootstrap members.
	TargetVoters uint32
	// UnstableInodes is set if the files of the data folder may have other inode
	// numbers after a restart. A copied folder is then not detected.
	UnstableInodes bool
	// Join starts the replica without a membership; it waits to be added as a
	// learner.
	Join         bool
	StateMachine StateMachine
	// Send sends a message to the replica m.To. It must not block and may drop
	// messages.
	Send func(*pb.QuorumMessage)
	// TickInterval is the length of one tick. Zero means DefaultTickInterval.
	TickInterval time.Duration
	// ElectionTicks is the minimum election timeout and HeartbeatTicks the
	// heartbeat interval, both in ticks. Zero means the default of package quorum.
	ElectionTicks  uint64
	HeartbeatTicks uint64
	// RepairAfter is the time without contact after which a voter is replaced.
	// Zero disables automatic replacement.
	RepairAfter time.Duration
	// RetainLogBytes is the size of the applied log that is kept for slow
	// replicas. Zero means the default of package quorum.
	RetainLogBytes uint64
	// Seed seeds the random numbers, together with the identity of the data
	// folder and the number of its starts.
	Seed uint64
	// Logger may be nil.
	Logger *log.Logger
	// OnApply is called on the apply goroutine once View shows the effects of
	// the command. It must not block.
	OnApply func(index uint64, command *pb.Command, result *pb.CommandResult)
	// OnLeadershipChange is called when the replica, as leader, has applied the
	// first entry of its term, and when it steps down. It must not block.
	OnLeadershipChange func(term uint64, leading bool)
	// OnStorageError is called once, after the first failed storage operation.
	// The process must then stop.
	OnStorageError func(error)
}

func (o *Options) validateAndSetDefaults() error {
	if o.ID == "" {
		return eris.New("replica options: ID is empty")
	}
	if o.StateMachine == nil || o.Send == nil {
		return eris.Errorf("options of replica %s: StateMachine or Send is nil", o.ID)
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
