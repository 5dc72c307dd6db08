package batch

import (
	"math/rand/v2"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// SchedulerOptions sets up a Scheduler. Zero values take the defaults.
type SchedulerOptions struct {
	State *State
	// ReadStore gives a committed state of the store to read items from.
	ReadStore func(func(kv.Reader))
	Seed      uint64

	// LeaseTime is how long a worker may be silent before its items are
	// taken back.
	LeaseTime time.Duration
	// PollInterval is when a worker without a full answer asks again.
	PollInterval time.Duration
	// LongPollTimeout is how long the request of a worker without items waits for
	// work. It is at most a third of the lease time, and less than what the
	// shells of the workers wait for an answer.
	LongPollTimeout time.Duration
	// CommitDelay is how long results wait for others to share a command.
	CommitDelay time.Duration
	// ChunkItems bounds the items of one job in one answer.
	ChunkItems int
	// RunTimeout is the longest run of an item before it counts as failed.
	RunTimeout time.Duration
	// SpeculationWindow is the time before a job's due time in which an item
	// that runs long may be given to a second worker.
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

	// longPollsPerLease keeps a waiting request well within its worker's lease.
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

// LeadershipChange tells whether this replica leads. On is true only while the replica
// holds the leader lease of its group and has applied all entries of earlier
// terms.
type LeadershipChange struct {
	Term    uint64
	Leading bool
}

// WorkerRequest is a worker's request. The scheduler answers each token once.
type WorkerRequest struct {
	Token   uint64
	Message *pb.LeaseRequest
}

// CommandApplied is a batch command that State.Apply has carried out on this
// replica. Every one is given, in the order of the log, after its writes are
// visible to the Reader.
type CommandApplied struct {
	Command *pb.Command
	Result  *pb.CommandResult
}

// ProposalResult is the outcome of a Propose. Exactly one field besides the
// token is set. It follows the Applied of the same command.
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

// SendResponse answers a Request.
type SendResponse struct {
	Token   uint64
	Message *pb.LeaseResponse
}

// Propose asks for a command to be committed. Its time is set by the shell.
type Propose struct {
	Token   uint64
	Command *pb.Command
}

func (SendResponse) schedulerOutput() {}
func (Propose) schedulerOutput()      {}

// SchedulerStats counts what a scheduler did as leader.
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

// Scheduler is the leader's core of batch work. On other replicas it only
// follows the jobs.
type Scheduler struct {
	options SchedulerOptions
	state   *State
	outputs core.Outbox[SchedulerOutput]
	rand    *rand.Rand
	stats   SchedulerStats

	leading      bool
	term         uint64
	fenceCounter uint64
	lastToken    uint64

	jobs    jobTable
	workers workerTable

	workerDeadlines     core.Deadlines[string]
	longPollDeadlines   core.Deadlines[string]
	pauseDeadlines      core.Deadlines[string]
	retryDeadlines      core.Deadlines[itemKey]
	runDeadlines        core.Deadlines[ItemRef]
	submissionDeadlines core.Deadlines[string]

	commits       commitQueue
	pendingClaims map[uint64]*pendingClaim

	// inGracePeriod is set until graceEnd, while workers report what they hold from
	// an earlier leader.
	inGracePeriod  bool
	gracePeriodEnd time.Time
	// sweepAt is when claimed items that nobody holds are taken as lost.
	sweepScheduled bool
	sweepAt        time.Time

	nextRetentionCheck time.Time
	nextEstimate       time.Time
	lastEstimate       time.Time
	// workAdded and answersDue make the next step look at parked requests.
	workAdded bool
	// workVersion counts the times that an item or a job became available.
	workVersion uint64
	// speculationPossible is set while some job may have items run a second time.
	speculationPossible bool
	responsesDue        bool
	// openLeases counts the leases whose outcome is not known yet.
	openLeases int
	// grantRound numbers the answers, so that a job gives one chunk to each.
	grantRound uint64
}

// NewScheduler returns a scheduler that does not lead.
func NewScheduler(o SchedulerOptions) *Scheduler {
	o = o.withDefaults()
	s := &Scheduler{options: o, state: o.State, rand: core.NewRand(o.Seed)}
	s.reset()
	return s
}

// reset forgets everything that only a leader knows.
func (s *Scheduler) reset() {
	s.jobs = newJobTable(s.jobs.rates)
	s.workers = newWorkerTable()
	s.workerDeadlines = core.Deadlines[string]{}
	s.longPollDeadlines = core.Deadlines[string]{}
	s.pauseDeadlines = core.Deadlines[string]{}
	s.retryDeadlines = core.Deadlines[itemKey]{}
	s.runDeadlines = core.Deadlines[ItemRef]{}
	s.submissionDeadlines = core.Deadlines[string]{}
	s.commits = newCommitQueue()
	s.pendingClaims = make(map[uint64]*pendingClaim)
	s.inGracePeriod = false
	s.sweepScheduled = false
	s.openLeases = 0
}

// Stats returns the counters since the start of the process.
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
	s.expireRuns(now)
	s.releaseDelayed(now)
	s.resumeWorkers(now)
	s.sweepClaims(now)
	s.abortStalledSubmissions(now)
	s.expireFinishedJobs(now)
	s.flushCommits(now)
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

const fencingTermShift = 32

func (s *Scheduler) nextFencingNumber() uint64 {
	s.fenceCounter++
	return s.term<<fencingTermShift | s.fenceCounter
}
