package batch

import (
	"time"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const (
	// maxResponseBytes bounds the total size of the item bodies in one response.
	maxResponseBytes = 1 << 20
	// retryExclusionTime is how long after its last failure an item is not
	// leased to a worker at which it failed, while other workers serve its
	// service.
	retryExclusionTime = 30 * time.Second
	// maxSpeculatedPerResponse is the largest number of second runs in one
	// response.
	maxSpeculatedPerResponse = 8
)

// pendingClaim is a claim of non-idempotent items that is being committed.
type pendingClaim struct {
	worker *workerState
	// sequence is that of the request whose response waits for the claim.
	sequence uint64
	leases   []*lease
}

// grant leases items to the worker of a pending request, up to its free capacity.
func (s *Scheduler) grant(now time.Time, w *workerState) {
	capacity := s.grantCapacity(now, w)
	if capacity <= 0 || (s.hasNoNewWork(w) && !s.speculationPossible) {
		return
	}
	s.grantRound++
	granted := 0
	for granted < capacity {
		job := s.pickJob(w)
		if job == nil {
			break
		}
		job.lastGrantRound = s.grantRound
		limit := s.chunkLimit(job, capacity-granted)
		granted += s.leaseItems(now, w, job, s.takeItems(now, w, job, limit))
	}
	if granted == 0 {
		s.recordNoWork(w)
		s.speculate(now, w, capacity)
	}
}

// hasNoNewWork reports whether no item has become available since the last time
// that none was found for the worker's services.
func (s *Scheduler) hasNoNewWork(w *workerState) bool {
	for _, service := range w.services {
		if s.jobs.rate(service).noWorkVersion != s.workVersion {
			return false
		}
	}
	return true
}

// recordNoWork marks those of the worker's services that have no available items,
// so that hasNoNewWork reports true until work is added.
func (s *Scheduler) recordNoWork(w *workerState) {
	for _, service := range w.services {
		if !s.jobs.hasAvailable(service) {
			s.jobs.rate(service).noWorkVersion = s.workVersion
		}
	}
}

// grantCapacity returns how many items may be leased to a worker now. A worker
// whose pause has ended gets one item at a time until one succeeds.
func (s *Scheduler) grantCapacity(now time.Time, w *workerState) int {
	p := w.pending
	if p == nil || w.draining || p.claims > 0 {
		return 0
	}
	if now.Before(w.pausedUntil) || now.Before(w.cooldownUntil) {
		return 0
	}
	free := p.freeCapacity - len(p.items)
	if w.pauseLevel > 0 {
		return min(free, 1-len(w.leases))
	}
	return free
}

// pickJob returns the next job to serve a worker from, by stride scheduling: of
// the caller with the lowest pass, the job with the lowest pass.
func (s *Scheduler) pickJob(w *workerState) *scheduledJob {
	var best *scheduledJob
	for _, job := range s.jobs.sorted {
		if job.lastGrantRound == s.grantRound || job.availableItems() == 0 || !s.isGrantable(job) {
			continue
		}
		if w.serves(job.record.GetService()) && (best == nil || servedBefore(job, best)) {
			best = job
		}
	}
	return best
}

func (s *Scheduler) isGrantable(job *scheduledJob) bool {
	return job.record.GetState() == pb.JobState_JOB_RUNNING
}

// servedBefore orders jobs by the pass of their callers, then by their own pass
// and due time.
func servedBefore(a, b *scheduledJob) bool {
	if a.caller != b.caller {
		if a.caller.pass != b.caller.pass {
			return a.caller.pass < b.caller.pass
		}
		return a.caller.name < b.caller.name
	}
	if a.pass != b.pass {
		return a.pass < b.pass
	}
	return a.record.GetDueUnixMs() < b.record.GetDueUnixMs()
}

// chunkLimit returns how many items of a job one response may carry. Chunks
// shrink towards the end of a job, so that no single worker holds the last items.
func (s *Scheduler) chunkLimit(job *scheduledJob, capacity int) int {
	workers := max(1, s.workers.countByService[job.record.GetService()])
	const chunksPerWorker = 2
	chunk := (job.availableItems() + chunksPerWorker*workers - 1) / (chunksPerWorker * workers)
	return min(capacity, s.options.ChunkItems, max(1, chunk))
}

// takeItems removes up to limit items from the available ones, requeued items
// first.
func (s *Scheduler) takeItems(now time.Time, w *workerState, job *scheduledJob, limit int) []uint32 {
	taken := s.takeRequeued(now, w, job, limit)
	for len(taken) < limit {
		index, ok := s.takeNeverLeased(job)
		if !ok {
			break
		}
		taken = append(taken, index)
	}
	return taken
}

// takeRequeued removes up to limit requeued items that the worker may run.
func (s *Scheduler) takeRequeued(now time.Time, w *workerState, job *scheduledJob, limit int) []uint32 {
	if len(job.requeued) == 0 {
		return nil
	}
	var taken []uint32
	kept := job.requeued[:0]
	for _, index := range job.requeued {
		switch {
		case !job.isUnassigned(index):
			delete(job.requeuedSet, index)
		case len(taken) == limit || s.isExcluded(now, w, job, index) || s.isBeingRecorded(job, index):
			kept = append(kept, index)
		default:
			delete(job.requeuedSet, index)
			taken = append(taken, index)
		}
	}
	job.requeued = kept
	return taken
}

// isExcluded reports whether an item that failed at this worker should go to
// another one.
func (s *Scheduler) isExcluded(now time.Time, w *workerState, job *scheduledJob, index uint32) bool {
	retry, ok := job.retries[index]
	if !ok || !retry.wasFailedBy(w.id) || now.Sub(retry.lastFailedAt) >= retryExclusionTime {
		return false
	}
	return s.workers.countByService[job.record.GetService()] > len(retry.failedBy)
}

// takeNeverLeased returns an item that this leader has not leased yet. During the
// grace period it skips items that workers may hold from an earlier leader.
func (s *Scheduler) takeNeverLeased(job *scheduledJob) (uint32, bool) {
	fromTail := s.inGracePeriod && !job.acceptedWhileLeading && job.record.GetIdempotent()
	for !fromTail || job.tail > job.firstGraceIndex {
		index, ok := job.nextNeverLeased(fromTail)
		// An item that is skipped becomes available again once it is recorded.
		if !ok || !s.isBeingRecorded(job, index) {
			return index, ok
		}
	}
	return 0, false
}

// isBeingRecorded reports whether a result of an item, or what is known of its attempts, waits for
// its commit.
func (s *Scheduler) isBeingRecorded(job *scheduledJob, index uint32) bool {
	key := itemKey{job.record.GetJobId(), index}
	return s.commits.contains(key) || s.attempts.contains(key)
}

// leaseItems leases items to a worker and returns how many were leased.
func (s *Scheduler) leaseItems(now time.Time, w *workerState, job *scheduledJob, indexes []uint32) int {
	if len(indexes) == 0 {
		return 0
	}
	s.chargeShares(job, len(indexes))
	fencingNumber := s.nextFencingNumber()
	leases := make([]*lease, 0, len(indexes))
	for _, index := range indexes {
		if len(job.leasesByIndex[index]) > 0 {
			continue
		}
		leases = append(leases, s.addLease(now, w, job, LeaseRef{job.record.GetJobId(), index, fencingNumber}))
	}
	if !job.record.GetIdempotent() {
		s.proposeClaim(w, job, fencingNumber, leases)
		return len(leases)
	}
	return s.addToResponse(w, leases)
}

// chargeShares advances the passes of a job and its caller by a number of items.
func (s *Scheduler) chargeShares(job *scheduledJob, items int) {
	s.jobs.globalPass = job.caller.pass
	job.pass += float64(items) / job.weight
	job.caller.pass += float64(items) / job.caller.weight
}

// proposeClaim proposes the claim that must be committed before non-idempotent
// items are handed out.
func (s *Scheduler) proposeClaim(w *workerState, job *scheduledJob, fencingNumber uint64, leases []*lease) {
	claim := &pb.ItemsStart{JobId: job.record.GetJobId(), FencingNumber: fencingNumber}
	for _, l := range leases {
		l.claiming = true
		claim.Indexes = append(claim.Indexes, l.ref.Index)
	}
	token := s.propose(&pb.Command{Op: &pb.Command_ItemsStart{ItemsStart: claim}})
	s.pendingClaims[token] = &pendingClaim{worker: w, sequence: w.sequence, leases: leases}
	w.pending.claims++
}

// addToResponse reads leased items into the response to a pending request and
// returns how many were added. Leases of items that exceed maxResponseBytes are
// undone.
func (s *Scheduler) addToResponse(w *workerState, leases []*lease) int {
	added := 0
	bytes := 0
	for _, item := range w.pending.items {
		bytes += len(item.GetBody())
	}
	s.options.ReadStore(func(r kv.Reader) {
		for _, l := range leases {
			item, ok := readItem(r, l.ref.JobID, l.ref.Index)
			if !ok || (bytes > 0 && bytes+len(item.GetBody()) > maxResponseBytes) {
				s.undoLease(l)
				continue
			}
			bytes += len(item.GetBody())
			added++
			w.pending.items = append(w.pending.items, leasedItem(l, item))
		}
	})
	s.stats.ItemsLeased += uint64(added)
	return added
}

// undoLease ends a lease whose item was not sent and makes the item available
// again.
func (s *Scheduler) undoLease(l *lease) {
	s.dropLease(l)
	if l.job.record.GetIdempotent() {
		s.makeAvailable(l.job, l.ref.Index)
		return
	}
	s.queueResult(l.grantedAt, notRunResult(l.ref), nil)
}

func leasedItem(l *lease, item *pb.Item) *pb.LeasedItem {
	record := l.job.record
	attempt := uint32(1)
	if retry, ok := l.job.retries[l.ref.Index]; ok {
		attempt += retry.failures
	}
	return &pb.LeasedItem{
		JobId:         l.ref.JobID,
		Index:         l.ref.Index,
		CustomId:      item.GetCustomId(),
		Body:          item.GetBody(),
		FencingNumber: l.ref.FencingNumber,
		Attempt:       attempt,
		Idempotent:    record.GetIdempotent(),
		Service:       record.GetService(),
		Endpoint:      record.GetEndpoint(),
		DueUnixMs:     record.GetDueUnixMs(),
	}
}

// claimDone hands out claimed items, or releases them if the claim failed or the
// request was responded to meanwhile.
func (s *Scheduler) claimDone(now time.Time, claim *pendingClaim, result ProposalResult) {
	w := claim.worker
	p := w.pending
	requestPending := p != nil && p.sequence == claim.sequence
	if requestPending {
		p.claims--
	}
	committed := result.Err == nil && result.Result.GetJob().GetError() == pb.JobError_JOB_OK
	var claimed []*lease
	for _, l := range claim.leases {
		l.claiming = false
		if committed && requestPending && !l.ended {
			claimed = append(claimed, l)
			continue
		}
		s.dropLease(l)
		s.releaseClaim(now, l, result, committed)
	}
	if len(claimed) > 0 {
		s.addToResponse(w, claimed)
	}
	s.responsesDue = true
}

// releaseClaim makes an item that was not handed out available again. A claim
// that is or may be committed is released through the log first.
func (s *Scheduler) releaseClaim(now time.Time, l *lease, result ProposalResult, committed bool) {
	outcomeUnknown := result.Err != nil && certaintyOf(result.Err) == mayBeCommitted
	if committed || outcomeUnknown {
		s.queueResult(now, notRunResult(l.ref), nil)
		return
	}
	s.makeAvailable(l.job, l.ref.Index)
}

// commitCertainty says whether a failed proposal may have been committed.
type commitCertainty int

const (
	mayBeCommitted commitCertainty = iota
	notCommitted
)

func certaintyOf(err *pb.ControlError) commitCertainty {
	switch err.GetCode() {
	case pb.ControlError_NOT_LEADER, pb.ControlError_OVERLOADED, pb.ControlError_INVALID:
		return notCommitted
	}
	return mayBeCommitted
}

// speculate leases long-running items of other workers to this worker as well,
// for idempotent jobs that are near their due time and have no available items.
func (s *Scheduler) speculate(now time.Time, w *workerState, capacity int) {
	granted := 0
	for _, job := range s.jobs.sorted {
		if !s.canSpeculate(now, job) || !w.serves(job.record.GetService()) {
			continue
		}
		for granted < min(capacity, maxSpeculatedPerResponse) {
			slowest := s.longestRunning(now, w, job)
			if slowest == nil {
				break
			}
			ref := LeaseRef{slowest.ref.JobID, slowest.ref.Index, s.nextFencingNumber()}
			second := s.addLease(now, w, job, ref)
			s.stats.ItemsSpeculated++
			granted += s.addToResponse(w, []*lease{second})
		}
	}
}

func (s *Scheduler) canSpeculate(now time.Time, job *scheduledJob) bool {
	return job.record.GetIdempotent() && job.availableItems() == 0 && s.isGrantable(job) &&
		len(job.leasesByIndex) > 0 && job.dueTime().Sub(now) < s.options.SpeculationWindow
}

// longestRunning returns the oldest lease of a job's item at another worker, if
// it has run for at least twice the typical time.
func (s *Scheduler) longestRunning(now time.Time, w *workerState, job *scheduledJob) *lease {
	const minRunTimeFactor = 2
	typical := s.jobs.rate(job.record.GetService()).typicalRunTime
	var oldest *lease
	for index, leases := range job.leasesByIndex {
		l := leases[0]
		if len(leases) > 1 || l.reported || l.worker == w || s.isBeingRecorded(job, index) {
			continue
		}
		if typical == 0 || now.Sub(l.grantedAt) < minRunTimeFactor*typical {
			continue
		}
		if oldest == nil || l.grantedAt.Before(oldest.grantedAt) ||
			(l.grantedAt.Equal(oldest.grantedAt) && index < oldest.ref.Index) {
			oldest = l
		}
	}
	return oldest
}
