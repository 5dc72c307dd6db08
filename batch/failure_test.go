package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

func (s *sim) countRuns(id string) (items, runs int) {
	for key, starts := range s.ledger.startTimes {
		if key.jobID == id {
			items++
			runs += len(starts)
		}
	}
	return items, runs
}

func TestItemsOfCrashedSidecarRunElsewhere(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent=%t", idempotent), func(t *testing.T) {
			g := NewWithT(t)
			s := newSim(11, 3)
			j := newSimJob("job-1", 120)
			j.idempotent = idempotent
			s.submitAccepted(g, j)
			s.advance(2 * time.Second)
			inFlight := len(s.sidecars[0].running)
			g.Expect(inFlight).To(BeNumerically(">", 0))
			s.sidecars[0].crash()
			g.Expect(s.advanceUntil(2*time.Minute, s.allCompleted("job-1"))).To(BeTrue())
			g.Expect(s.ledger.check(s)).To(BeEmpty())
			failed := int(s.job("job-1").GetFailed())
			if idempotent {
				g.Expect(failed).To(BeZero())
				return
			}
			g.Expect(failed).To(BeNumerically(">=", inFlight))
		})
	}
}

func TestAcknowledgedJobAndCancelSurviveLeaderLoss(t *testing.T) {
	g := NewWithT(t)
	s := newSim(12, 3)
	s.submitAccepted(g, newSimJob("job-1", 90))
	s.failLeader(false)
	g.Expect(s.advanceUntil(time.Minute, func() bool { return s.job("job-1").GetDone() > 0 })).To(BeTrue())
	s.failLeader(false)
	s.submitAccepted(g, newSimJob("job-2", 400))
	s.advance(4 * time.Second)
	g.Expect(s.cancelJob("job-2").GetError()).To(Equal(pb.JobError_JOB_OK))
	s.failLeader(true)
	g.Expect(s.advanceUntil(2*time.Minute, s.allCompleted("job-1"))).To(BeTrue())
	s.advance(10 * time.Second)
	g.Expect(s.ledger.check(s)).To(BeEmpty())
}

func TestResultsOfPartitionedSidecarAreKeptAndCommittedOnce(t *testing.T) {
	g := NewWithT(t)
	s := newSim(13, 2)
	s.submitAccepted(g, newSimJob("job-1", 60))
	s.advance(time.Second)
	c := s.sidecars[0]
	c.partitioned = true
	s.advance(3 * time.Second)
	g.Expect(c.worker.UnsettledResults()).To(BeNumerically(">", 0))
	g.Expect(s.advanceUntil(2*time.Minute, s.allCompleted("job-1"))).To(BeTrue())
	c.partitioned = false
	g.Expect(s.advanceUntil(time.Minute, func() bool { return c.worker.UnsettledResults() == 0 })).To(BeTrue())
	g.Expect(s.ledger.check(s)).To(BeEmpty())
}

func TestPartitionedSidecarStopsWithinLeaseTime(t *testing.T) {
	g := NewWithT(t)
	s := newSim(14, 1)
	s.setRunTime(time.Hour, 4, 2)
	s.submitAccepted(g, newSimJob("job-1", 60))
	s.advance(time.Second)
	c := s.sidecars[0]
	g.Expect(c.running).NotTo(BeEmpty())
	c.partitioned = true
	s.cancelJob("job-1")
	s.advance(s.options.LeaseTime)
	g.Expect(c.running).To(BeEmpty())
	g.Expect(c.queue).To(BeEmpty())
}

func TestRequestOfOldIncarnationIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := newSim(15, 1)
	s.submitAccepted(g, newSimJob("job-1", 20))
	s.advance(200 * time.Millisecond)
	c := s.sidecars[0]
	old := &pb.LeaseRequest{Worker: c.id, Incarnation: c.incarnation, Sequence: 1 << 20, Services: []string{"dam-watch"}, Room: 9}
	c.crash()
	c.startIncarnation()
	s.advance(200 * time.Millisecond)
	leased := s.leader.scheduler.Stats().ItemsLeased
	s.deliverRequest(s.leader, c, old)
	g.Expect(s.leader.scheduler.Stats().ItemsLeased).To(Equal(leased))
	g.Expect(s.advanceUntil(time.Minute, s.allCompleted("job-1"))).To(BeTrue())
	g.Expect(s.ledger.check(s)).To(BeEmpty())
}

func TestResponseOfReplacedLeaderIsIgnored(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	w := NewWorker(WorkerOptions{ID: "w", Incarnation: 1, Services: []string{"s"}})
	w.Step(now, FreeCapacity{4})
	request := w.Drain()[0].(SendRequest).Message
	item := &pb.LeasedItem{JobId: "job", Index: 3, FencingNumber: 2<<fencingTermShift | 1}
	w.Step(now, ResponseReceived{&pb.LeaseResponse{Sequence: request.GetSequence(), Term: 2, LeaseMs: 5000, Items: []*pb.LeasedItem{item}}})
	g.Expect(w.HeldItems()).To(Equal(1))
	w.Drain()
	now = now.Add(2 * time.Second)
	w.Tick(now)
	request = w.Drain()[0].(SendRequest).Message
	revoked := []*pb.LeaseRef{LeaseRefOf(item).toProto()}
	w.Step(now, ResponseReceived{&pb.LeaseResponse{Sequence: request.GetSequence(), Term: 1, LeaseMs: 5000, Revoked: revoked}})
	g.Expect(w.HeldItems()).To(Equal(1))
	g.Expect(w.Drain()).To(BeEmpty())
}

func TestDrainingSidecarReturnsQueuedItemsAndStops(t *testing.T) {
	g := NewWithT(t)
	s := newSim(16, 2)
	s.submitAccepted(g, newSimJob("job-1", 200))
	s.advance(time.Second)
	c := s.sidecars[0]
	c.step(Drain{})
	queued := append([]*pb.LeasedItem(nil), c.queue...)
	c.queue = nil
	for _, item := range queued {
		c.step(ItemFinished{LeaseRefOf(item), &pb.ItemResult{Outcome: pb.ItemOutcome_ITEM_NOT_RUN}})
	}
	g.Expect(s.advanceUntil(10*time.Second, func() bool { return c.drained })).To(BeTrue())
	g.Expect(c.running).To(BeEmpty())
	ran := c.worker.Stats().ItemsRun
	g.Expect(s.advanceUntil(2*time.Minute, s.allCompleted("job-1"))).To(BeTrue())
	g.Expect(c.worker.Stats().ItemsRun).To(Equal(ran))
	_, runs := s.countRuns("job-1")
	g.Expect(runs).To(Equal(200))
	g.Expect(s.ledger.check(s)).To(BeEmpty())
}

func TestFailingEngineIsPausedAndItemsSucceedElsewhere(t *testing.T) {
	g := NewWithT(t)
	s := newSim(17, 3)
	s.sidecars[0].failing = true
	s.submitAccepted(g, newSimJob("job-1", 600))
	g.Expect(s.advanceUntil(5*time.Minute, s.allCompleted("job-1"))).To(BeTrue())
	g.Expect(s.job("job-1").GetFailed()).To(BeZero())
	g.Expect(s.ledger.check(s)).To(BeEmpty())
	stats := s.leader.scheduler.Stats()
	g.Expect(stats.WorkersPaused).To(BeNumerically(">", 0))
	g.Expect(s.sidecars[0].worker.Stats().ItemsRun).To(BeNumerically("<", 30))
}

func TestJobOfInvalidItemsDoesNotBlockOthers(t *testing.T) {
	g := NewWithT(t)
	s := newSim(18, 3)
	bad := newSimJob("job-1", 150)
	bad.poison = map[int]bool{}
	for i := range bad.items {
		bad.poison[i] = true
	}
	s.submitAccepted(g, bad)
	s.submitAccepted(g, newSimJob("job-2", 60))
	g.Expect(s.advanceUntil(3*time.Minute, s.allCompleted("job-1", "job-2"))).To(BeTrue())
	g.Expect(s.job("job-1").GetFailed()).To(Equal(uint32(150)))
	g.Expect(s.ledger.check(s)).To(BeEmpty())
	_, runs := s.countRuns("job-1")
	g.Expect(runs).To(BeNumerically("<=", 2*150+2*len(s.sidecars)))
}

func TestItemLostTooOftenFails(t *testing.T) {
	g := NewWithT(t)
	s := newSim(19, 1)
	s.setRunTime(time.Hour, 4, 0)
	j := newSimJob("job-1", 1)
	s.submitAccepted(g, j)
	for range 20 {
		s.advance(time.Second)
		s.sidecars[0].crash()
		s.sidecars[0].startIncarnation()
	}
	g.Expect(s.advanceUntil(time.Minute, s.allCompleted("job-1"))).To(BeTrue())
	g.Expect(s.results("job-1")[0].GetError()).To(Equal(ErrorWorkerLost))
}

func TestSmallJobIsNotStarvedByLargeJob(t *testing.T) {
	for _, caller := range []string{"forbundet", "trasy"} {
		g := NewWithT(t)
		s := newSim(20, 9)
		large := newSimJob("large", 20000)
		large.due = time.Minute
		s.submitAccepted(g, large)
		s.advance(20 * time.Second)
		small := newSimJob("small", 30)
		small.caller = caller
		from := s.now
		s.submitAccepted(g, small)
		g.Expect(s.advanceUntil(time.Minute, s.allCompleted("small"))).To(BeTrue())
		g.Expect(s.now.Sub(from)).To(BeNumerically("<", 10*time.Second))
	}
}

func TestJobThatCannotMeetItsDueTimeIsReportedAtRisk(t *testing.T) {
	g := NewWithT(t)
	s := newSim(21, 2)
	hopeless := newSimJob("hopeless", 3000)
	hopeless.due = 30 * time.Second
	s.submitAccepted(g, hopeless)
	g.Expect(s.advanceUntil(10*time.Second, func() bool { return s.job("hopeless").GetAtRisk() })).To(BeTrue())
	g.Expect(s.job("hopeless").GetEstimateUnixMs()).To(BeNumerically(">", s.job("hopeless").GetDueUnixMs()))
	easy := newSim(22, 2)
	easy.submitAccepted(g, newSimJob("easy", 200))
	easy.advance(10 * time.Second)
	g.Expect(easy.job("easy").GetState()).To(Equal(pb.JobState_JOB_RUNNING))
	g.Expect(easy.job("easy").GetAtRisk()).To(BeFalse())
	g.Expect(easy.job("easy").GetEstimateUnixMs()).To(BeNumerically(">", 0))
}

func TestJobWithoutWorkersIsReportedAtRisk(t *testing.T) {
	g := NewWithT(t)
	s := newSim(29, 0)
	s.submitAccepted(g, newSimJob("job-1", 5))
	g.Expect(s.advanceUntil(s.options.LeaseTime, func() bool { return s.job("job-1").GetAtRisk() })).To(BeTrue())
	s.sidecars = append(s.sidecars, newSimSidecar(s, "worker-00"))
	s.advance(2 * time.Second)
	g.Expect(s.job("job-1").GetAtRisk()).To(BeFalse())
}

func TestSlowItemIsSpeculatedNearDueTime(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent=%t", idempotent), func(t *testing.T) {
			g := NewWithT(t)
			s := newSim(23, 3)
			s.sidecars[0].runTime = func() time.Duration { return time.Minute }
			j := newSimJob("job-1", 60)
			j.idempotent = idempotent
			j.due = 30 * time.Second
			s.submitAccepted(g, j)
			done := s.advanceUntil(30*time.Second, s.allCompleted("job-1"))
			g.Expect(done).To(Equal(idempotent))
			g.Expect(s.leader.scheduler.Stats().ItemsSpeculated > 0).To(Equal(idempotent))
			g.Expect(s.advanceUntil(2*time.Minute, s.allCompleted("job-1"))).To(BeTrue())
			g.Expect(s.ledger.check(s)).To(BeEmpty())
		})
	}
}
