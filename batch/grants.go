package batch

import (
	"time"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const (
	// maxAnswerBytes bounds the item bodies in one answer.
	maxAnswerBytes = 1 << 20
	// exclusionTime is how long an item avoids a worker that failed it while
	// other workers serve it.
	exclusionTime = 30 * time.Second
	// maxSpeculated bounds the second runs in one answer.
	maxSpeculated = 8
)

// pendingStart is a claim of non-idempotent items that is being committed.
type pendingStart struct {
	worker   *workerEntry
	sequence uint64
	leases   []*lease
}

// grant fills the room of a parked request.
func (s *Scheduler) grant(now time.Time, w *workerEntry) {
	room := s.roomOf(now, w)
	if room <= 0 || (s.dry(w) && !s.speculative) {
		return
	}
	s.visit++
	granted := 0
	for granted < room {
		run := s.pick(w)
		if run == nil {
			break
		}
		run.visited = s.visit
		limit := s.chunkLimit(run, room-granted)
		granted += s.give(now, w, run, s.take(now, w, run, limit))
	}
	if granted == 0 {
		s.noteDry(w)
		s.speculate(now, w, room)
	}
}

// dry reports whether nothing has become available since a request found
// nothing for the worker's services.
func (s *Scheduler) dry(w *workerEntry) bool {
	for _, service := range w.services {
		if s.jobs.rate(service).dryVersion != s.workVersion {
			return false
		}
	}
	return true
}

func (s *Scheduler) noteDry(w *workerEntry) {
	for _, service := range w.services {
		if !s.jobs.anyAvailable(service) {
			s.jobs.rate(service).dryVersion = s.workVersion
		}
	}
}

// roomOf returns how many items a worker may be given now.
func (s *Scheduler) roomOf(now time.Time, w *workerEntry) int {
	p := w.parked
	if p == nil || w.draining || p.starts > 0 {
		return 0
	}
	if now.Before(w.pausedUntil) || now.Before(w.restUntil) {
		return 0
	}
	room := p.room - len(p.items)
	if w.pauseLevel > 0 {
		return min(room, 1-len(w.leases))
	}
	return room
}

// pick returns the job that is next for a worker: the caller that has had the
// least for its weight, and of its jobs the one that has had the least.
func (s *Scheduler) pick(w *workerEntry) *jobRun {
	var best *jobRun
	for _, run := range s.jobs.order {
		if run.visited == s.visit || run.available() == 0 || !s.grantable(run) {
			continue
		}
		if w.serves(run.job.GetService()) && (best == nil || before(run, best)) {
			best = run
		}
	}
	return best
}

func (s *Scheduler) grantable(run *jobRun) bool {
	return run.job.GetState() == pb.JobState_JOB_RUNNING
}

func before(a, b *jobRun) bool {
	if a.share != b.share {
		if a.share.pass != b.share.pass {
			return a.share.pass < b.share.pass
		}
		return a.share.caller < b.share.caller
	}
	if a.pass != b.pass {
		return a.pass < b.pass
	}
	return a.job.GetDueUnixMs() < b.job.GetDueUnixMs()
}

// chunkLimit returns how many items of a job one answer may carry. At the end
// of a job chunks shrink, so that no single worker holds its tail.
func (s *Scheduler) chunkLimit(run *jobRun, room int) int {
	workers := max(1, s.workers.serving[run.job.GetService()])
	const rounds = 2
	share := (run.available() + rounds*workers - 1) / (rounds * workers)
	return min(room, s.options.ChunkItems, max(1, share))
}

// take removes up to limit items from those that wait.
func (s *Scheduler) take(now time.Time, w *workerEntry, run *jobRun, limit int) []uint32 {
	taken := s.takeReturned(now, w, run, limit)
	for len(taken) < limit {
		index, ok := s.takeFresh(run)
		if !ok {
			break
		}
		taken = append(taken, index)
	}
	return taken
}

func (s *Scheduler) takeReturned(now time.Time, w *workerEntry, run *jobRun, limit int) []uint32 {
	if len(run.returned) == 0 {
		return nil
	}
	var taken []uint32
	kept := run.returned[:0]
	for _, index := range run.returned {
		switch {
		case !run.free(index):
			delete(run.waiting, index)
		case len(taken) == limit || s.excluded(now, w, run, index) || s.commits.holds(itemKey{run.job.GetJobId(), index}):
			kept = append(kept, index)
		default:
			delete(run.waiting, index)
			taken = append(taken, index)
		}
	}
	run.returned = kept
	return taken
}

// excluded reports whether an item should go to another worker because it
// failed at this one.
func (s *Scheduler) excluded(now time.Time, w *workerEntry, run *jobRun, index uint32) bool {
	entry, ok := run.retries[index]
	if !ok || !entry.wasFailedBy(w.id) || now.Sub(entry.lastAt) >= exclusionTime {
		return false
	}
	return s.workers.serving[run.job.GetService()] > len(entry.failedBy)
}

// takeFresh returns an item that was never handed out. While workers may hold
// items of an earlier leader it keeps clear of those.
func (s *Scheduler) takeFresh(run *jobRun) (uint32, bool) {
	if !s.inGrace || run.recent || !run.job.GetIdempotent() {
		return run.nextFresh(false)
	}
	if run.tail <= run.graceFloor {
		return 0, false
	}
	return run.nextFresh(true)
}

// give leases items to a worker and returns how many it was given.
func (s *Scheduler) give(now time.Time, w *workerEntry, run *jobRun, indexes []uint32) int {
	if len(indexes) == 0 {
		return 0
	}
	s.charge(run, len(indexes))
	fence := s.fence()
	leases := make([]*lease, 0, len(indexes))
	for _, index := range indexes {
		if len(run.leased[index]) > 0 {
			continue
		}
		leases = append(leases, s.addLease(now, w, run, ItemRef{run.job.GetJobId(), index, fence}))
	}
	if !run.job.GetIdempotent() {
		s.claim(w, run, fence, leases)
		return len(leases)
	}
	return s.handOut(w, leases)
}

// charge counts items against the shares of a job and its caller.
func (s *Scheduler) charge(run *jobRun, items int) {
	s.jobs.virtual = run.share.pass
	run.pass += float64(items) / run.weight
	run.share.pass += float64(items) / run.share.weight
}

// claim proposes the durable claim that precedes a non-idempotent run.
func (s *Scheduler) claim(w *workerEntry, run *jobRun, fence uint64, leases []*lease) {
	start := &pb.ItemsStart{JobId: run.job.GetJobId(), FencingNumber: fence}
	for _, l := range leases {
		l.starting = true
		start.Indexes = append(start.Indexes, l.ref.Index)
	}
	token := s.propose(&pb.Command{Op: &pb.Command_ItemsStart{ItemsStart: start}})
	s.starts[token] = &pendingStart{worker: w, sequence: w.sequence, leases: leases}
	w.parked.starts++
}

// handOut reads the bodies of leased items into the answer of a parked
// request. Items beyond the answer's size become available again.
func (s *Scheduler) handOut(w *workerEntry, leases []*lease) int {
	given := 0
	size := 0
	for _, item := range w.parked.items {
		size += len(item.GetBody())
	}
	s.options.Reader(func(r kv.Reader) {
		for _, l := range leases {
			item, ok := readItem(r, l.ref.JobID, l.ref.Index)
			if !ok || (size > 0 && size+len(item.GetBody()) > maxAnswerBytes) {
				s.takeBack(l)
				continue
			}
			size += len(item.GetBody())
			given++
			w.parked.items = append(w.parked.items, leasedItem(l, item))
		}
	})
	s.stats.ItemsLeased += uint64(given)
	return given
}

// takeBack ends a lease whose item was not sent to its worker.
func (s *Scheduler) takeBack(l *lease) {
	s.dropLease(l)
	if l.run.job.GetIdempotent() {
		s.makeAvailable(l.run, l.ref.Index)
		return
	}
	s.queueResult(l.grantedAt, releaseOf(l.ref), nil)
}

func leasedItem(l *lease, item *pb.Item) *pb.LeasedItem {
	job := l.run.job
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

// startDone hands out claimed items, or gives them up.
func (s *Scheduler) startDone(now time.Time, start *pendingStart, done ProposalResult) {
	w := start.worker
	p := w.parked
	waiting := p != nil && p.sequence == start.sequence
	if waiting {
		p.starts--
	}
	claimed := done.Err == nil && done.Result.GetJob().GetError() == pb.JobError_JOB_OK
	var ready []*lease
	for _, l := range start.leases {
		l.starting = false
		if claimed && waiting && !l.gone {
			ready = append(ready, l)
			continue
		}
		s.dropLease(l)
		s.giveUpClaim(now, l, done, claimed)
	}
	if len(ready) > 0 {
		s.handOut(w, ready)
	}
	s.answersDue = true
}

// giveUpClaim makes a claimed item that nobody was given available again.
func (s *Scheduler) giveUpClaim(now time.Time, l *lease, done ProposalResult, claimed bool) {
	unsure := done.Err != nil && certainty(done.Err) == mayHaveHappened
	if claimed || unsure {
		s.queueResult(now, releaseOf(l.ref), nil)
		return
	}
	s.makeAvailable(l.run, l.ref.Index)
}

type proposalCertainty int

const (
	mayHaveHappened proposalCertainty = iota
	didNotHappen
)

func certainty(err *pb.ControlError) proposalCertainty {
	switch err.GetCode() {
	case pb.ControlError_NOT_LEADER, pb.ControlError_OVERLOADED, pb.ControlError_INVALID:
		return didNotHappen
	}
	return mayHaveHappened
}

// speculate gives a worker second runs of items that run long elsewhere, when
// their job is idempotent, near its due time, and has nothing else to hand
// out.
func (s *Scheduler) speculate(now time.Time, w *workerEntry, room int) {
	given := 0
	for _, run := range s.jobs.order {
		if !s.speculable(now, run) || !w.serves(run.job.GetService()) {
			continue
		}
		for given < min(room, maxSpeculated) {
			l := s.longest(now, w, run)
			if l == nil {
				break
			}
			ref := ItemRef{l.ref.JobID, l.ref.Index, s.fence()}
			second := s.addLease(now, w, run, ref)
			s.stats.ItemsSpeculated++
			given += s.handOut(w, []*lease{second})
		}
	}
}

func (s *Scheduler) speculable(now time.Time, run *jobRun) bool {
	return run.job.GetIdempotent() && run.available() == 0 && s.grantable(run) &&
		len(run.leased) > 0 && run.due().Sub(now) < s.options.SpeculationWindow
}

// longest returns the item that has run longest at another worker, if that is
// well beyond the usual time.
func (s *Scheduler) longest(now time.Time, w *workerEntry, run *jobRun) *lease {
	const patience = 2
	usual := s.jobs.rate(run.job.GetService()).runTime
	var oldest *lease
	for index, leases := range run.leased {
		l := leases[0]
		if len(leases) > 1 || l.reported || l.worker == w || s.commits.holds(itemKey{run.job.GetJobId(), index}) {
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
