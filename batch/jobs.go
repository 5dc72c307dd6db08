package batch

import (
	"sort"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// lease is one item leased to one worker.
type lease struct {
	job       *scheduledJob
	ref       ItemRef
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
	share         *callerShare
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

// callerShare is the stride scheduling state of a caller with running jobs.
type callerShare struct {
	caller string
	pass   float64
	// jobs counts the caller's running jobs.
	jobs   int
	weight float64
	// totalWeight is the sum of the weights of the caller's jobs.
	totalWeight float64
}

// jobTable holds the running jobs, in sorted by ID, and the rates by service.
type jobTable struct {
	byID    map[string]*scheduledJob
	sorted  []*scheduledJob
	callers map[string]*callerShare
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
		callers: make(map[string]*callerShare),
		rates:   rates,
	}
}

func (t *jobTable) add(l *liveJob) *scheduledJob {
	record := l.job
	if job, ok := t.byID[record.GetJobId()]; ok {
		return job
	}
	share, ok := t.callers[record.GetCaller()]
	if !ok {
		share = &callerShare{caller: record.GetCaller(), pass: t.globalPass, weight: 1}
		t.callers[record.GetCaller()] = share
	}
	share.jobs++
	job := &scheduledJob{
		record:        record,
		live:          l,
		tail:          record.GetItems(),
		requeuedSet:   make(map[uint32]struct{}),
		leasesByIndex: make(map[uint32][]*lease),
		retries:       make(map[uint32]*retryState),
		share:         share,
		weight:        1,
		pass:          t.initialPass(share),
	}
	t.byID[record.GetJobId()] = job
	at := sort.Search(len(t.sorted), func(i int) bool { return t.sorted[i].record.GetJobId() > record.GetJobId() })
	t.sorted = append(t.sorted, nil)
	copy(t.sorted[at+1:], t.sorted[at:])
	t.sorted[at] = job
	return job
}

// initialPass returns the pass at which a new job of a caller starts: the lowest
// of the caller's other jobs.
func (t *jobTable) initialPass(share *callerShare) float64 {
	lowest := 0.0
	found := false
	for _, job := range t.sorted {
		if job.share != share {
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
	job.share.jobs--
	if job.share.jobs == 0 {
		delete(t.callers, job.share.caller)
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
func (r *scheduledJob) availableItems() int {
	return len(r.requeued) + int(r.tail-r.head)
}

// settled reports whether an item has a committed result.
func (r *scheduledJob) settled(index uint32) bool {
	return r.live.settled.get(index)
}

// isUnassigned reports whether an item is neither settled nor claimed nor leased.
func (r *scheduledJob) isUnassigned(index uint32) bool {
	return !r.settled(index) && !r.live.started.get(index) && len(r.leasesByIndex[index]) == 0
}

// nextNeverLeased removes and returns an item from the head of the never leased
// range or, with fromTail set, from its end.
func (r *scheduledJob) nextNeverLeased(fromTail bool) (uint32, bool) {
	for r.head < r.tail {
		index := r.head
		if fromTail {
			r.tail--
			index = r.tail
		} else {
			r.head++
		}
		if r.isUnassigned(index) {
			return index, true
		}
	}
	return 0, false
}

// estimateFirstGraceIndex sets firstGraceIndex. Items are leased in order, so
// those in flight are around the highest settled one, and reach about as far
// beyond it as there are unsettled items below it.
func (r *scheduledJob) estimateFirstGraceIndex() {
	const (
		spanFactor = 2
		minItems   = 256
	)
	last, ok := r.live.settled.last()
	if !ok {
		r.firstGraceIndex = min(r.record.GetItems(), minItems)
		return
	}
	unsettledBelow := last + 1 - r.live.settled.count()
	floor := uint64(last) + spanFactor*uint64(unsettledBelow) + minItems
	r.firstGraceIndex = uint32(min(floor, uint64(r.record.GetItems())))
}

// requeue makes an item available again unless it is settled or leased.
func (r *scheduledJob) requeue(index uint32) {
	if r.settled(index) || len(r.leasesByIndex[index]) > 0 {
		return
	}
	if _, ok := r.requeuedSet[index]; ok {
		return
	}
	r.requeuedSet[index] = struct{}{}
	r.requeued = append(r.requeued, index)
}

// findLease returns the lease that ref identifies, if it has not ended.
func (r *scheduledJob) findLease(ref ItemRef) (*lease, bool) {
	for _, l := range r.leasesByIndex[ref.Index] {
		if l.ref == ref {
			return l, true
		}
	}
	return nil, false
}

func (r *scheduledJob) retryStateOf(index uint32) *retryState {
	retry, ok := r.retries[index]
	if !ok {
		retry = &retryState{}
		r.retries[index] = retry
	}
	return retry
}

func (e *retryState) addFailedBy(worker string) {
	if !e.wasFailedBy(worker) {
		e.failedBy = append(e.failedBy, worker)
	}
}

func (e *retryState) wasFailedBy(worker string) bool {
	for _, known := range e.failedBy {
		if known == worker {
			return true
		}
	}
	return false
}

// remainingItems returns the number of items without a committed result.
func (r *scheduledJob) remainingItems() uint32 {
	return r.record.GetItems() - r.record.GetDone() - r.record.GetFailed()
}

// dueTime returns when a job is due. A job without a due time counts as due a
// year after its creation.
func (r *scheduledJob) dueTime() time.Time {
	if r.record.GetDueUnixMs() == 0 {
		const defaultDueAfter = 365 * 24 * time.Hour
		return time.UnixMilli(int64(r.record.GetCreatedUnixMs())).Add(defaultDueAfter)
	}
	return time.UnixMilli(int64(r.record.GetDueUnixMs()))
}
