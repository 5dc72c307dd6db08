package batch

import (
	"slices"
	"sort"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// lease is one item leased to one worker.
type lease struct {
	job       *scheduledJob
	ref       LeaseRef
	worker    *workerState
	grantedAt time.Time
	// grantSequence is the worker's request to which the item was granted.
	grantSequence uint64
	// lastListed is the worker's last request that listed the item as held or
	// reported its result; at first the one to which it was granted.
	lastListed uint64
	// acknowledged is set once a request has listed the item.
	acknowledged bool
	// reported is set once a final result is queued for commit.
	reported bool
	// claiming is set while the claim of a non-idempotent item is being
	// committed.
	claiming bool
	ended    bool
}

// retryState counts the failed runs of one item.
type retryState struct {
	// failures excludes refunded ones; losses counts runs whose worker was lost.
	failures uint32
	losses   uint32
	// failedBy lists the IDs of the workers at which the item failed.
	failedBy []string
	// refunds counts failures attributed to a failing worker instead of the
	// item; refundedBy is the last such worker.
	refunds      uint32
	refundedBy   string
	lastError    *pb.ItemResult
	lastFailedAt time.Time
	// countedRuns holds the fencing numbers of the failed runs.
	countedRuns []uint64
	// availableAt is when the item may run again, once its attempts are recorded.
	availableAt time.Time
}

// toProto returns the record of the attempts.
func (r *retryState) toProto() *pb.ItemAttempts {
	return &pb.ItemAttempts{
		Failures: r.failures, Refunds: r.refunds, Losses: r.losses,
		FailedBy: slices.Clone(r.failedBy), FencingNumbers: slices.Clone(r.countedRuns),
	}
}

func retryStateFromProto(recorded *pb.ItemAttempts) *retryState {
	return &retryState{
		failures: recorded.GetFailures(), refunds: recorded.GetRefunds(), losses: recorded.GetLosses(),
		failedBy: recorded.GetFailedBy(), countedRuns: recorded.GetFencingNumbers(),
	}
}

// scheduledJob is a running job. Items from head up to tail were never leased by
// this leader; memory grows only with items in flight and items that failed.
type scheduledJob struct {
	record *pb.Job
	live   *liveJob
	head   uint32
	tail   uint32
	// requeued lists the items that are available again, in the order in which
	// they were returned; requeuedSet holds the same items.
	requeued      []uint32
	requeuedSet   map[uint32]struct{}
	leasesByIndex map[uint32][]*lease
	retries       map[uint32]*retryState
	caller        *callerState
	// pass is the job's virtual time of stride scheduling: it grows by 1/weight
	// with each leased item.
	pass   float64
	weight float64
	// lastGrantRound is the last grant round in which the job was picked.
	lastGrantRound uint64
	// acceptedWhileLeading is set if the job was accepted after this replica
	// became leader, so that no earlier leader can have leased its items.
	acceptedWhileLeading bool
	// firstGraceIndex is the first item that may be leased during the grace
	// period: from there on, workers are unlikely to hold unreported leases.
	firstGraceIndex uint32
}

// callerState is the stride scheduling state of a caller with running jobs.
type callerState struct {
	name string
	pass float64
	// runningJobs is the number of the caller's running jobs.
	runningJobs int
	weight      float64
	// totalWeight is the sum of the weights of the caller's jobs.
	totalWeight float64
}

// jobTable holds the running jobs by ID, their callers by name, and the rates by
// service. The slice sorted lists the jobs in ascending order of their IDs.
type jobTable struct {
	byID    map[string]*scheduledJob
	sorted  []*scheduledJob
	callers map[string]*callerState
	rates   map[string]*serviceRate
	// globalPass is the pass of the caller served last, at which a new caller
	// starts.
	globalPass float64
}

func newJobTable(rates map[string]*serviceRate) jobTable {
	if rates == nil {
		rates = make(map[string]*serviceRate)
	}
	return jobTable{
		byID:    make(map[string]*scheduledJob),
		callers: make(map[string]*callerState),
		rates:   rates,
	}
}

func (t *jobTable) add(l *liveJob) *scheduledJob {
	record := l.job
	if job, ok := t.byID[record.GetJobId()]; ok {
		return job
	}
	caller, ok := t.callers[record.GetCaller()]
	if !ok {
		caller = &callerState{name: record.GetCaller(), pass: t.globalPass, weight: 1}
		t.callers[record.GetCaller()] = caller
	}
	caller.runningJobs++
	job := &scheduledJob{
		record:        record,
		live:          l,
		tail:          record.GetItems(),
		requeuedSet:   make(map[uint32]struct{}),
		leasesByIndex: make(map[uint32][]*lease),
		retries:       make(map[uint32]*retryState),
		caller:        caller,
		weight:        1,
		pass:          t.initialPass(caller),
	}
	t.byID[record.GetJobId()] = job
	position := sort.Search(len(t.sorted), func(i int) bool { return t.sorted[i].record.GetJobId() > record.GetJobId() })
	t.sorted = append(t.sorted, nil)
	copy(t.sorted[position+1:], t.sorted[position:])
	t.sorted[position] = job
	return job
}

// initialPass returns the pass at which a new job of a caller starts: the lowest
// of the caller's other jobs.
func (t *jobTable) initialPass(caller *callerState) float64 {
	lowest := 0.0
	found := false
	for _, job := range t.sorted {
		if job.caller != caller {
			continue
		}
		if !found || job.pass < lowest {
			lowest = job.pass
		}
		found = true
	}
	return lowest
}

func (t *jobTable) remove(job *scheduledJob) {
	delete(t.byID, job.record.GetJobId())
	for i, other := range t.sorted {
		if other == job {
			t.sorted = append(t.sorted[:i], t.sorted[i+1:]...)
			break
		}
	}
	job.caller.runningJobs--
	if job.caller.runningJobs == 0 {
		delete(t.callers, job.caller.name)
	}
}

// hasAvailable reports whether a job of a service has available items.
func (t *jobTable) hasAvailable(service string) bool {
	for _, job := range t.sorted {
		if job.availableItems() > 0 && job.record.GetService() == service {
			return true
		}
	}
	return false
}

// availableItems returns the number of requeued and never leased items.
func (j *scheduledJob) availableItems() int {
	return len(j.requeued) + int(j.tail-j.head)
}

// isSettled reports whether an item has a committed result.
func (j *scheduledJob) isSettled(index uint32) bool {
	return j.live.settled.get(index)
}

// isUnassigned reports whether an item is neither settled nor claimed nor leased.
func (j *scheduledJob) isUnassigned(index uint32) bool {
	return !j.isSettled(index) && !j.live.claimed.get(index) && len(j.leasesByIndex[index]) == 0
}

// nextNeverLeased removes and returns an item from the head of the never leased
// range or, with fromTail set, from its end.
func (j *scheduledJob) nextNeverLeased(fromTail bool) (uint32, bool) {
	for j.head < j.tail {
		index := j.head
		if fromTail {
			j.tail--
			index = j.tail
		} else {
			j.head++
		}
		if j.isUnassigned(index) {
			return index, true
		}
	}
	return 0, false
}

// estimateFirstGraceIndex sets firstGraceIndex. Items are leased in order, so
// those in flight are around the highest settled one, and reach about as far
// beyond it as there are unsettled items below it.
func (j *scheduledJob) estimateFirstGraceIndex() {
	const (
		spanFactor = 2
		minItems   = 256
	)
	last, ok := j.live.settled.last()
	if !ok {
		j.firstGraceIndex = min(j.record.GetItems(), minItems)
		return
	}
	unsettledBelow := last + 1 - j.live.settled.count()
	index := uint64(last) + spanFactor*uint64(unsettledBelow) + minItems
	j.firstGraceIndex = uint32(min(index, uint64(j.record.GetItems())))
}

// requeue makes an item available again unless it is settled or leased.
func (j *scheduledJob) requeue(index uint32) {
	if j.isSettled(index) || len(j.leasesByIndex[index]) > 0 {
		return
	}
	if _, ok := j.requeuedSet[index]; ok {
		return
	}
	j.requeuedSet[index] = struct{}{}
	j.requeued = append(j.requeued, index)
}

// findLease returns the lease that ref identifies, if it has not ended.
func (j *scheduledJob) findLease(ref LeaseRef) (*lease, bool) {
	for _, l := range j.leasesByIndex[ref.Index] {
		if l.ref == ref {
			return l, true
		}
	}
	return nil, false
}

func (j *scheduledJob) retryStateOf(index uint32) *retryState {
	retry, ok := j.retries[index]
	if !ok {
		retry = &retryState{}
		j.retries[index] = retry
	}
	return retry
}

func (r *retryState) addFailedBy(workerID string) {
	if !r.wasFailedBy(workerID) {
		r.failedBy = append(r.failedBy, workerID)
	}
}

func (r *retryState) wasFailedBy(workerID string) bool {
	for _, known := range r.failedBy {
		if known == workerID {
			return true
		}
	}
	return false
}

// remainingItems returns the number of items without a committed result.
func (j *scheduledJob) remainingItems() uint32 {
	return j.record.GetItems() - j.record.GetDone() - j.record.GetFailed()
}

// dueTime returns when a job is due. A job without a due time counts as due a
// year after its creation.
func (j *scheduledJob) dueTime() time.Time {
	if j.record.GetDueUnixMs() == 0 {
		const defaultDueAfter = 365 * 24 * time.Hour
		return time.UnixMilli(int64(j.record.GetCreatedUnixMs())).Add(defaultDueAfter)
	}
	return time.UnixMilli(int64(j.record.GetDueUnixMs()))
}
