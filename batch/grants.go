package batch

import (
	"time"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const (
	// maxReplyBytes bounds the item bodies in one answer.
	maxReplyBytes = 1 << 20
	// retryExclusionTime is how long an item avoids a worker that failed it while
	// other workers serve it.
	retryExclusionTime = 30 * time.Second
	// maxSpeculatedPerReply bounds the second runs in one answer.
	maxSpeculatedPerReply = 8
)

// pendingClaim is a claim of non-idempotent items that is being committed.
type pendingClaim struct {
	worker   *workerState
	sequence uint64
	leases   []*lease
}

// grant fills the room of a parked request.
func (s *Scheduler) grant(now time.Time, w *workerState) {
	room := s.grantCapacity(now, w)
	if room <= 0 || (s.hasNoNewWork(w) && !s.speculationPossible) {
		return
	}
	s.grantRound++
	granted := 0
	for granted < room {
		run := s.pickJob(w)
		if run == nil {
			break
		}
		run.lastGrantRound = s.grantRound
		limit := s.chunkLimit(run, room-granted)
		granted += s.leaseItems(now, w, run, s.takeItems(now, w, run, limit))
	}
	if granted == 0 {
		s.recordNoWork(w)
		s.speculate(now, w, room)
	}
}

// hasNoNewWork reports whether nothing has become available since a request found
// nothing for the worker's services.
func (s *Scheduler) hasNoNewWork(w *workerState) bool {
	for _, service := range w.services {
		if s.jobs.rate(service).noWorkVersion != s.workVersion {
			return false
		}
	}
	return true
}

func (s *Scheduler) recordNoWork(w *workerState) {
	for _, service := range w.services {
		if !s.jobs.anyAvailable(service) {
			s.jobs.rate(service).noWorkVersion = s.workVersion
		}
	}
}

// grantCapacity returns how many items a worker may be given now.
func (s *Scheduler) grantCapacity(now time.Time, w *workerState) int {
	p := w.pending
	if p == nil || w.draining || p.claims > 0 {
		return 0
	}
	if now.Before(w.pausedUntil) || now.Before(w.cooldownUntil) {
		return 0
	}
	room := p.capacity - len(p.items)
	if w.pauseLevel > 0 {
		return min(room, 1-len(w.leases))
	}
	return room
}

// pickJob returns the job that is next for a worker: the caller that has had the
// least for its weight, and of its jobs the one that has had the least.
func (s *Scheduler) pickJob(w *workerState) *scheduledJob {
	var best *scheduledJob
	for _, run := range s.jobs.sorted {
		if run.lastGrantRound == s.grantRound || run.available() == 0 || !s.grantable(run) {
			continue
		}
		if w.serves(run.record.GetService()) && (best == nil || servedBefore(run, best)) {
			best = run
		}
	}
	return best
}

func (s *Scheduler) grantable(run *scheduledJob) bool {
	return run.record.GetState() == pb.JobState_JOB_RUNNING
}

func servedBefore(a, b *scheduledJob) bool {
	if a.share != b.share {
		if a.share.pass != b.share.pass {
			return a.share.pass < b.share.pass
		}
		return a.share.caller < b.share.caller
	}
	if a.pass != b.pass {
		return a.pass < b.pass
	}
	return a.record.GetDueUnixMs() < b.record.GetDueUnixMs()
}

// chunkLimit returns how many items of a job one answer may carry. At the end
// of a job chunks shrink, so that no single worker holds its tail.
func (s *Scheduler) chunkLimit(run *scheduledJob, room int) int {
	workers := max(1, s.workers.workersByService[run.record.GetService()])
	const rounds = 2
	share := (run.available() + rounds*workers - 1) / (rounds * workers)
	return min(room, s.options.ChunkItems, max(1, share))
}

// takeItems removes up to limit items from those that wait.
func (s *Scheduler) takeItems(now time.Time, w *workerState, run *scheduledJob, limit int) []uint32 {
	taken := s.takeRequeued(now, w, run, limit)
	for len(taken) < limit {
		index, ok := s.takeFirstRun(run)
		if !ok {
			break
		}
		taken = append(taken, index)
	}
	return taken
}

func (s *Scheduler) takeRequeued(now time.Time, w *workerState, run *scheduledJob, limit int) []uint32 {
	if len(run.requeued) == 0 {
		return nil
	}
	var taken []uint32
	kept := run.requeued[:0]
	for _, index := range run.requeued {
		switch {
		case !run.isUnassigned(index):
			delete(run.requeuedSet, index)
		case len(taken) == limit || s.excluded(now, w, run, index) || s.commits.contains(itemKey{run.record.GetJobId(), index}):
			kept = append(kept, index)
		default:
			delete(run.requeuedSet, index)
			taken = append(taken, index)
		}
	}
	run.requeued = kept
	return taken
}

// excluded reports whether an item should go to another worker because it
// failed at this one.
func (s *Scheduler) excluded(now time.Time, w *workerState, run *scheduledJob, index uint32) bool {
	entry, ok := run.retries[index]
	if !ok || !entry.wasFailedBy(w.id) || now.Sub(entry.lastFailedAt) >= retryExclusionTime {
		return false
	}
	return s.workers.workersByService[run.record.GetService()] > len(entry.failedBy)
}

// takeFirstRun returns an item that was never handed out. While workers may hold
// items of an earlier leader it keeps clear of those.
func (s *Scheduler) takeFirstRun(run *scheduledJob) (uint32, bool) {
	if !s.inGracePeriod || run.acceptedThisTerm || !run.record.GetIdempotent() {
		return run.nextFirstRun(false)
	}
	if run.tail <= run.graceFloor {
		return 0, false
	}
	return run.nextFirstRun(true)
}

// leaseItems leases items to a worker and returns how many it was given.
func (s *Scheduler) leaseItems(now time.Time, w *workerState, run *scheduledJob, indexes []uint32) int {
	if len(indexes) == 0 {
		return 0
	}
	s.chargeShares(run, len(indexes))
	fence := s.nextFencingNumber()
	leases := make([]*lease, 0, len(indexes))
	for _, index := range indexes {
		if len(run.leased[index]) > 0 {
			continue
		}
		leases = append(leases, s.addLease(now, w, run, ItemRef{run.record.GetJobId(), index, fence}))
	}
	if !run.record.GetIdempotent() {
		s.proposeClaim(w, run, fence, leases)
		return len(leases)
	}
	return s.addToReply(w, leases)
}

// chargeShares counts items against the shares of a job and its caller.
func (s *Scheduler) chargeShares(run *scheduledJob, items int) {
	s.jobs.globalPass = run.share.pass
	run.pass += float64(items) / run.weight
	run.share.pass += float64(items) / run.share.weight
}

// proposeClaim proposes the durable proposeClaim that precedes a non-idempotent run.
func (s *Scheduler) proposeClaim(w *workerState, run *scheduledJob, fence uint64, leases []*lease) {
	start := &pb.ItemsStart{JobId: run.record.GetJobId(), FencingNumber: fence}
	for _, l := range leases {
		l.claiming = true
		start.Indexes = append(start.Indexes, l.ref.Index)
	}
	token := s.propose(&pb.Command{Op: &pb.Command_ItemsStart{ItemsStart: start}})
	s.pendingClaims[token] = &pendingClaim{worker: w, sequence: w.sequence, leases: leases}
	w.pending.claims++
}

// addToReply reads the bodies of leased items into the answer of a parked
// request. Items beyond the answer's size become available again.
func (s *Scheduler) addToReply(w *workerState, leases []*lease) int {
	given := 0
	size := 0
	for _, item := range w.pending.items {
		size += len(item.GetBody())
	}
	s.options.Reader(func(r kv.Reader) {
		for _, l := range leases {
			item, ok := readItem(r, l.ref.JobID, l.ref.Index)
			if !ok || (size > 0 && size+len(item.GetBody()) > maxReplyBytes) {
				s.undoLease(l)
				continue
			}
			size += len(item.GetBody())
			given++
			w.pending.items = append(w.pending.items, leasedItem(l, item))
		}
	})
	s.stats.ItemsLeased += uint64(given)
	return given
}

// undoLease ends a lease whose item was not sent to its worker.
func (s *Scheduler) undoLease(l *lease) {
	s.dropLease(l)
	if l.run.record.GetIdempotent() {
		s.makeAvailable(l.run, l.ref.Index)
		return
	}
	s.queueResult(l.grantedAt, notRunResult(l.ref), nil)
}

func leasedItem(l *lease, item *pb.Item) *pb.LeasedItem {
	job := l.run.record
	attempt := uint32(1)
	if entry, ok := l.run.retries[l.ref.Index]; ok {
		attempt += entry.failures
	}
	return &pb.LeasedItem{
		JobId:         l.ref.JobID,
		Index:         l.ref.Index,
		CustomId:      item.GetCustomId(),
		Body:          item.GetBody(),
		FencingNumber: l.ref.FencingNumber,
		Attempt:       attempt,
		Idempotent:    job.GetIdempotent(),
		Service:       job.GetService(),
		Endpoint:      job.GetEndpoint(),
		DueUnixMs:     job.GetDueUnixMs(),
	}
}

// claimDone hands out claimed items, or gives them up.
func (s *Scheduler) claimDone(now time.Time, start *pendingClaim, done ProposalResult) {
	w := start.worker
	p := w.pending
	waiting := p != nil && p.sequence == start.sequence
	if waiting {
		p.claims--
	}
	claimed := done.Err == nil && done.Result.GetJob().GetError() == pb.JobError_JOB_OK
	var ready []*lease
	for _, l := range start.leases {
		l.claiming = false
		if claimed && waiting && !l.ended {
			ready = append(ready, l)
			continue
		}
		s.dropLease(l)
		s.releaseClaim(now, l, done, claimed)
	}
	if len(ready) > 0 {
		s.addToReply(w, ready)
	}
	s.repliesDue = true
}

// releaseClaim makes a claimed item that nobody was given available again.
func (s *Scheduler) releaseClaim(now time.Time, l *lease, done ProposalResult, claimed bool) {
	unsure := done.Err != nil && certaintyOf(done.Err) == mayBeCommitted
	if claimed || unsure {
		s.queueResult(now, notRunResult(l.ref), nil)
		return
	}
	s.makeAvailable(l.run, l.ref.Index)
}

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

// speculate gives a worker second runs of items that run long elsewhere, when
// their job is idempotent, near its due time, and has nothing else to hand
// out.
func (s *Scheduler) speculate(now time.Time, w *workerState, room int) {
	given := 0
	for _, run := range s.jobs.sorted {
		if !s.canSpeculate(now, run) || !w.serves(run.record.GetService()) {
			continue
		}
		for given < min(room, maxSpeculatedPerReply) {
			l := s.longestRunning(now, w, run)
			if l == nil {
				break
			}
			ref := ItemRef{l.ref.JobID, l.ref.Index, s.nextFencingNumber()}
			second := s.addLease(now, w, run, ref)
			s.stats.ItemsSpeculated++
			given += s.addToReply(w, []*lease{second})
		}
	}
}

func (s *Scheduler) canSpeculate(now time.Time, run *scheduledJob) bool {
	return run.record.GetIdempotent() && run.available() == 0 && s.grantable(run) &&
		len(run.leased) > 0 && run.dueTime().Sub(now) < s.options.SpeculationWindow
}

// longestRunning returns the item that has run longestRunning at another worker, if that is
// well beyond the usual time.
func (s *Scheduler) longestRunning(now time.Time, w *workerState, run *scheduledJob) *lease {
	const patience = 2
	usual := s.jobs.rate(run.record.GetService()).typicalRunTime
	var oldest *lease
	for index, leases := range run.leased {
		l := leases[0]
		if len(leases) > 1 || l.reported || l.worker == w || s.commits.contains(itemKey{run.record.GetJobId(), index}) {
			continue
		}
		if usual == 0 || now.Sub(l.grantedAt) < patience*usual {
			continue
		}
		if oldest == nil || l.grantedAt.Before(oldest.grantedAt) ||
			(l.grantedAt.Equal(oldest.grantedAt) && index < oldest.ref.Index) {
			oldest = l
		}
	}
	return oldest
}
