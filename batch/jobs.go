package batch

import (
	"sort"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// lease is one item in the hands of one worker.
type lease struct {
	run       *jobRun
	ref       LeaseRef
	worker    *workerEntry
	grantedAt time.Time
	// sequence is the request in whose answer the item was given.
	sequence uint64
	// seen is the last request that listed the item as held or reported.
	seen uint64
	// acked is set once a request has listed the item.
	acked bool
	// reported is set once a final result waits to be committed.
	reported bool
	// starting is set while the claim of a non-idempotent item is proposed.
	starting bool
	gone     bool
}

// retryEntry remembers the failed runs of one item.
type retryEntry struct {
	failures uint32
	losses   uint32
	failedBy []string
	// refunds counts failures that were put down to a sick worker, the last
	// of which is refundedBy.
	refunds    uint32
	refundedBy string
	lastError  *pb.ItemResult
	lastAt     time.Time
}

// jobRun is a running job on the leader. Items that were never handed out are
// those from head up to tail; memory grows only with items in flight and
// items that failed.
type jobRun struct {
	job  *pb.Job
	live *liveJob
	head uint32
	tail uint32
	// returned are items that wait for another run, waiting is their set.
	returned []uint32
	waiting  map[uint32]struct{}
	leased   map[uint32][]*lease
	retries  map[uint32]*retryEntry
	share    *callerShare
	// pass grows with each item handed out, the faster the lower the weight.
	pass   float64
	weight float64
	// visited is the answer in which the job last gave items.
	visited uint64
	// recent is set when the job was accepted since this replica leads, so
	// that no earlier leader can have handed out its items.
	recent bool
	// graceFloor is the index from which on no item is likely to be held by
	// a worker that has not reported yet.
	graceFloor uint32
}

// callerShare counts what a caller's jobs have received.
type callerShare struct {
	caller string
	pass   float64
	jobs   int
	weight float64
	// total is the sum of the weights of the caller's jobs.
	total float64
}

// jobTable holds the running jobs in the order of their IDs.
type jobTable struct {
	byID    map[string]*jobRun
	order   []*jobRun
	callers map[string]*callerShare
	rates   map[string]*serviceRate
	// virtual is the pass of the caller served last.
	virtual float64
}

func newJobTable(rates map[string]*serviceRate) jobTable {
	if rates == nil {
		rates = make(map[string]*serviceRate)
	}
	return jobTable{
		byID:    make(map[string]*jobRun),
		callers: make(map[string]*callerShare),
		rates:   rates,
	}
}

func (t *jobTable) add(l *liveJob) *jobRun {
	job := l.job
	if run, ok := t.byID[job.GetJobId()]; ok {
		return run
	}
	share, ok := t.callers[job.GetCaller()]
	if !ok {
		share = &callerShare{caller: job.GetCaller(), pass: t.virtual, weight: 1}
		t.callers[job.GetCaller()] = share
	}
	share.jobs++
	run := &jobRun{
		job:     job,
		live:    l,
		tail:    job.GetItems(),
		waiting: make(map[uint32]struct{}),
		leased:  make(map[uint32][]*lease),
		retries: make(map[uint32]*retryEntry),
		share:   share,
		weight:  1,
		pass:    t.lowestPass(share),
	}
	t.byID[job.GetJobId()] = run
	at := sort.Search(len(t.order), func(i int) bool { return t.order[i].job.GetJobId() > job.GetJobId() })
	t.order = append(t.order, nil)
	copy(t.order[at+1:], t.order[at:])
	t.order[at] = run
	return run
}

// lowestPass returns the pass at which a new job of a caller starts.
func (t *jobTable) lowestPass(share *callerShare) float64 {
	lowest := 0.0
	found := false
	for _, run := range t.order {
		if run.share != share {
			continue
		}
		if !found || run.pass < lowest {
			lowest = run.pass
		}
		found = true
	}
	return lowest
}

func (t *jobTable) remove(run *jobRun) {
	delete(t.byID, run.job.GetJobId())
	for i, other := range t.order {
		if other == run {
			t.order = append(t.order[:i], t.order[i+1:]...)
			break
		}
	}
	run.share.jobs--
	if run.share.jobs == 0 {
		delete(t.callers, run.share.caller)
	}
}

// anyAvailable reports whether a job of a service has items to hand out.
func (t *jobTable) anyAvailable(service string) bool {
	for _, run := range t.order {
		if run.available() > 0 && run.job.GetService() == service {
			return true
		}
	}
	return false
}

// available returns the number of items that may be handed out.
func (r *jobRun) available() int {
	return len(r.returned) + int(r.tail-r.head)
}

// settled reports whether an item has a committed result.
func (r *jobRun) settled(index uint32) bool {
	return r.live.settled.get(index)
}

// free reports whether an item may be handed out for the first time since
// this replica leads.
func (r *jobRun) free(index uint32) bool {
	return !r.settled(index) && !r.live.claimed.get(index) && len(r.leased[index]) == 0
}

// nextFresh returns an item that was not handed out, from the head of the
// range or, with fromTail set, from its end.
func (r *jobRun) nextFresh(fromTail bool) (uint32, bool) {
	for r.head < r.tail {
		index := r.head
		if fromTail {
			r.tail--
			index = r.tail
		} else {
			r.head++
		}
		if r.free(index) {
			return index, true
		}
	}
	return 0, false
}

// guessFloor sets graceFloor. Items are handed out in order, so that those in
// flight lie around the last committed one, about as far beyond it as the
// open ones reach before it.
func (r *jobRun) guessFloor() {
	const (
		factor = 2
		least  = 256
	)
	last, ok := r.live.settled.last()
	if !ok {
		r.graceFloor = min(r.job.GetItems(), least)
		return
	}
	before := last + 1 - r.live.settled.count()
	floor := uint64(last) + factor*uint64(before) + least
	r.graceFloor = uint32(min(floor, uint64(r.job.GetItems())))
}

// giveBack makes an item available again.
func (r *jobRun) giveBack(index uint32) {
	if r.settled(index) || len(r.leased[index]) > 0 {
		return
	}
	if _, ok := r.waiting[index]; ok {
		return
	}
	r.waiting[index] = struct{}{}
	r.returned = append(r.returned, index)
}

// findLease returns the live lease with a reference.
func (r *jobRun) findLease(ref LeaseRef) (*lease, bool) {
	for _, l := range r.leased[ref.Index] {
		if l.ref == ref {
			return l, true
		}
	}
	return nil, false
}

func (r *jobRun) retry(index uint32) *retryEntry {
	entry, ok := r.retries[index]
	if !ok {
		entry = &retryEntry{}
		r.retries[index] = entry
	}
	return entry
}

func (e *retryEntry) addFailedBy(worker string) {
	if !e.wasFailedBy(worker) {
		e.failedBy = append(e.failedBy, worker)
	}
}

func (e *retryEntry) wasFailedBy(worker string) bool {
	for _, known := range e.failedBy {
		if known == worker {
			return true
		}
	}
	return false
}

// remaining returns the number of items without a committed result.
func (r *jobRun) remaining() uint32 {
	return r.job.GetItems() - r.job.GetDone() - r.job.GetFailed()
}

// due returns when a job is due; a job without a due time has a distant one.
func (r *jobRun) due() time.Time {
	if r.job.GetDueUnixMs() == 0 {
		const withoutDue = 365 * 24 * time.Hour
		return time.UnixMilli(int64(r.job.GetCreatedUnixMs())).Add(withoutDue)
	}
	return time.UnixMilli(int64(r.job.GetDueUnixMs()))
}
