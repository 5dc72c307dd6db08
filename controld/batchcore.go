package controld

import (
	"sync"
	"time"

	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// batchCore shares the state of the jobs between the goroutine that applies the
// log and the loop of the batch scheduler. Before the scheduler runs, it must have
// been given every command that is applied to the state, so that the state it
// reads is never ahead of its inputs.
type batchCore struct {
	mu sync.Mutex
	// delivered is signalled when a command was given to the scheduler.
	delivered *sync.Cond
	// undelivered is the number of commands that are applied to the state but
	// not yet given to the scheduler.
	undelivered int
	state       *batch.State
	scheduler   *batch.Scheduler
}

func newBatchCore(state *batch.State, scheduler *batch.Scheduler) *batchCore {
	c := &batchCore{state: state, scheduler: scheduler}
	c.delivered = sync.NewCond(&c.mu)
	return c
}

// Apply implements control.BatchState.
func (c *batchCore) Apply(b kv.Batch, index uint64, command *pb.Command) (*pb.CommandResult, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result, handled := c.state.Apply(b, index, command)
	if handled {
		c.undelivered++
	}
	return result, handled
}

// deliverApplied gives the scheduler an applied command whose writes are
// visible in the store. It reports whether the command concerns jobs.
func (c *batchCore) deliverApplied(command *pb.Command, result *pb.CommandResult) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !concernsJobs(command) {
		return false
	}
	c.scheduler.Step(time.Now(), batch.CommandApplied{Command: command, Result: result})
	c.undelivered--
	c.delivered.Broadcast()
	return true
}

func concernsJobs(command *pb.Command) bool {
	switch command.GetOp().(type) {
	case *pb.Command_JobBegin, *pb.Command_JobChunk, *pb.Command_JobAccept, *pb.Command_JobCancel,
		*pb.Command_JobAbort, *pb.Command_ResultsCommit, *pb.Command_ItemsStart, *pb.Command_RetentionExpire:
		return true
	default:
		return false
	}
}

// Restore implements control.BatchState.
func (c *batchCore) Restore(r kv.Reader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Restore(r)
}

// Query implements control.BatchState.
func (c *batchCore) Query(r kv.Reader, q *pb.Query) (*pb.QueryResult, bool) {
	return c.state.Query(r, q)
}

// Step implements core.Core.
func (c *batchCore) Step(now time.Time, in batch.SchedulerInput) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitDelivery()
	c.scheduler.Step(now, in)
}

// Tick implements core.Core.
func (c *batchCore) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitDelivery()
	c.scheduler.Tick(now)
}

// Drain implements core.Core.
func (c *batchCore) Drain() []batch.SchedulerOutput {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.Drain()
}

// awaitDelivery waits until the scheduler has been given all applied commands.
// The caller holds mu.
func (c *batchCore) awaitDelivery() {
	for c.undelivered > 0 {
		c.delivered.Wait()
	}
}
