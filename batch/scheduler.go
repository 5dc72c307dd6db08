package batch

import (
	"math/rand/v2"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// SchedulerOptions configures a Scheduler. Zero durations and sizes select the
// defaults.
type SchedulerOptions struct {
	State *State
	// ReadStore calls its argument with a committed state of the store.
	ReadStore func(func(kv.Reader))
	Seed      uint64

	// LeaseTime is how long a worker may send no request before its leases
	// end.
	LeaseTime time.Duration
	// PollInterval is how long a worker waits before its next pull after a
	// response without items, if it holds leases.
	PollInterval time.Duration
	// LongPollTimeout is how long the leader holds the request of a worker
	// without leases open until there is work. It is at most a third of the
	// lease time, and must be less than the worker's request timeout.
	LongPollTimeout time.Duration
	// CommitDelay is how long a result waits for others to share its command.
	CommitDelay time.Duration
	// ChunkItems is the largest number of items of one job in one response.
	ChunkItems int
	// RunTimeout is how long an item may run before the run counts as failed.
	RunTimeout time.Duration
	// SpeculationWindow is the time before a job's due time in which a
	// long-running item may also be leased to a second worker.
	SpeculationWindow time.Duration
}

const (
	defaultLeaseTime         = 15 * time.Second
	defaultPollInterval      = time.Second
	defaultLongPollTimeout   = 3 * time.Second
	defaultCommitDelay       = 200 * time.Millisecond
	defaultChunkItems        = 64
	defaultRunTimeout        = 10 * time.Minute
	defaultSpeculationWindow = time.Minute

	// longPollsPerLease makes a long poll end well before the worker's lease.
	longPollsPerLease = 3
)

func (o SchedulerOptions) withDefaults() SchedulerOptions {
	setDefaultIfZero(&o.LeaseTime, defaultLeaseTime)
	setDefaultIfZero(&o.PollInterval, defaultPollInterval)
	setDefaultIfZero(&o.LongPollTimeout, defaultLongPollTimeout)
	setDefaultIfZero(&o.CommitDelay, defaultCommitDelay)
	setDefaultIfZero(&o.ChunkItems, defaultChunkItems)
	setDefaultIfZero(&o.RunTimeout, defaultRunTimeout)
	setDefaultIfZero(&o.SpeculationWindow, defaultSpeculationWindow)
	o.LongPollTimeout = min(o.LongPollTimeout, o.LeaseTime/longPollsPerLease)
	return o
}

func setDefaultIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SchedulerInput is an input of a Scheduler.
type SchedulerInput interface{ schedulerInput() }

// LeadershipChange reports whether this replica leads. Leading is true only
// while the replica holds the leader lease of its group and has applied all log
// entries of earlier terms.
type LeadershipChange struct {
	Term    uint64
	Leading bool
}

// WorkerRequest is a lease request from a worker. The scheduler responds to each
// token once.
type WorkerRequest struct {
	Token   uint64
	Message *pb.LeaseRequest
}

// CommandApplied is a batch command that State.Apply has applied on this
// replica. The scheduler must receive every such command, in log order, after
// its writes are visible to ReadStore.
type CommandApplied struct {
	Command *pb.Command
	Result  *pb.CommandResult
}

// ProposalResult is the outcome of a Propose. Exactly one of Result and Err is
// set. It comes after the CommandApplied of the same command.
type ProposalResult struct {
	Token  uint64
	Result *pb.CommandResult
	Err    *pb.ControlError
}

func (LeadershipChange) schedulerInput() {}
func (WorkerRequest) schedulerInput()    {}
func (CommandApplied) schedulerInput()   {}
func (ProposalResult) schedulerInput()   {}

// SchedulerOutput is an output of a Scheduler.
type SchedulerOutput interface{ schedulerOutput() }

// SendResponse responds to the WorkerRequest with the same token.
type SendResponse struct {
	Token   uint64
	Message *pb.LeaseResponse
}

// Propose submits a command to the log. The daemon that runs the scheduler sets
// the command's time.
type Propose struct {
	Token   uint64
	Command *pb.Command
}

func (SendResponse) schedulerOutput() {}
func (Propose) schedulerOutput()      {}

// SchedulerStats holds the counters of a scheduler. A follower counts only
// applied results and refused requests.
type SchedulerStats struct {
	ItemsLeased              uint64
	ItemsSpeculated          uint64
	ItemsRequeued            uint64
	ItemsOutcomeUnknown      uint64
	ItemsRetried             uint64
	ItemsOutOfAttempts       uint64
	LeasesAdopted            uint64
	LeasesRevoked            uint64
	ResultsCommitted         uint64
	ResultsDuplicate         uint64
	ResultsRefused           uint64
	WorkersExpired           uint64
	WorkersPaused            uint64
	SubmissionsAborted       uint64
	RequestsRefusedNotLeader uint64
}

// Scheduler leases the items of batch jobs to workers and proposes their results
// while its replica leads. On other replicas it only follows the running jobs.
type Scheduler struct {
	options SchedulerOptions
	state   *State
	outputs core.Outbox[SchedulerOutput]
	rand    *rand.Rand
	stats   SchedulerStats

	leading bool
	term    uint64
	// fenceCounter is the low half of the last fencing number of the term.
	fenceCounter uint64
	// firstFencingNumber is below all fencing numbers of this leadership, and not below any of
	// an earlier one.
	firstFencingNumber uint64
	// lastToken is the token of the last proposal.
	lastToken uint64

	jobs    jobTable
	workers workerTable

	workerDeadlines     core.Deadlines[string]
	longPollDeadlines   core.Deadlines[string]
	pauseDeadlines      core.Deadlines[string]
	retryDeadlines      core.Deadlines[itemKey]
	runDeadlines        core.Deadlines[LeaseRef]
	submissionDeadlines core.Deadlines[string]

	commits       commitQueue
	attempts      attemptsQueue
	pendingClaims map[uint64]*pendingClaim

	// inGracePeriod is set from the start of leadership until gracePeriodEnd,
	// while workers report the leases that an earlier leader granted.
	inGracePeriod  bool
	gracePeriodEnd time.Time
	// sweepAt is when claimed items without a lease are recorded as lost.
	sweepScheduled bool
	sweepAt        time.Time

	nextRetentionCheck time.Time
	nextEstimate       time.Time
	lastEstimate       time.Time
	// workAdded makes the next step try to grant items to pending requests,
	// responsesDue makes it only check whether they must be responded to.
	workAdded bool
	// workVersion grows whenever an item or a job becomes available.
	workVersion uint64
	// speculationPossible is set while some job allows a second run of its items.
	speculationPossible bool
	responsesDue        bool
	// openLeases counts the leases without a reported final result.
	openLeases int
	// grantRound numbers the calls of grant, so that a job contributes one
	// chunk to each.
	grantRound uint64
}

// NewScheduler returns a scheduler of a replica that does not lead.
func NewScheduler(o SchedulerOptions) *Scheduler {
	o = o.withDefaults()
	s := &Scheduler{options: o, state: o.State, rand: core.NewRand(o.Seed)}
	s.reset()
	return s
}

// reset drops the jobs, workers, leases and queued results. The service rates
// are kept.
func (s *Scheduler) reset() {
	s.jobs = newJobTable(s.jobs.rates)
	s.workers = newWorkerTable()
	s.workerDeadlines = core.Deadlines[string]{}
	s.longPollDeadlines = core.Deadlines[string]{}
	s.pauseDeadlines = core.Deadlines[string]{}
	s.retryDeadlines = core.Deadlines[itemKey]{}
	s.runDeadlines = core.Deadlines[LeaseRef]{}
	s.submissionDeadlines = core.Deadlines[string]{}
	s.commits = newCommitQueue()
	s.attempts = newAttemptsQueue()
	s.pendingClaims = make(map[uint64]*pendingClaim)
	s.inGracePeriod = false
	s.sweepScheduled = false
	s.openLeases = 0
}

// Stats returns the counters since the scheduler was created.
func (s *Scheduler) Stats() SchedulerStats {
	return s.stats
}

// Step implements core.Core.
func (s *Scheduler) Step(now time.Time, in SchedulerInput) {
	switch in := in.(type) {
	case LeadershipChange:
		s.stepLeadershipChange(now, in)
	case WorkerRequest:
		s.stepWorkerRequest(now, in)
	case CommandApplied:
		s.stepCommandApplied(now, in)
	case ProposalResult:
		s.stepProposalResult(now, in)
	}
	s.servePending(now)
}

// Tick implements core.Core.
func (s *Scheduler) Tick(now time.Time) {
	s.estimateJobs(now)
	if !s.leading {
		return
	}
	s.expireWorkers(now)
	s.endOverdueRuns(now)
	s.requeueDelayed(now)
	s.resumeWorkers(now)
	s.sweepClaims(now)
	s.abortStalledSubmissions(now)
	s.expireFinishedJobs(now)
	s.flushCommits(now)
	s.proposeAttempts()
	s.servePending(now)
	s.expireLongPolls(now)
}

// Drain implements core.Core.
func (s *Scheduler) Drain() []SchedulerOutput {
	return s.outputs.Drain()
}

func (s *Scheduler) propose(c *pb.Command) uint64 {
	s.lastToken++
	s.outputs.Put(Propose{s.lastToken, c})
	return s.lastToken
}

// fencingTermShift puts the term into the high half of a fencing number, so that
// a later leader's numbers are greater.
const fencingTermShift = 32

func (s *Scheduler) nextFencingNumber() uint64 {
	s.fenceCounter++
	return s.term<<fencingTermShift | s.fenceCounter
}
