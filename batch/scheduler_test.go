package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

func TestResponsesStayWithinSizeLimit(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		g := NewWithT(t)
		s := newSim(31, 2)
		j := newSimJob("job-1", 12)
		j.caller = strings.Repeat("x", maxNameBytes)
		j.idempotent = idempotent
		j.padding = 300 << 10
		s.submitAccepted(g, j)
		g.Expect(s.advanceUntil(time.Minute, s.allCompleted("job-1"))).To(BeTrue())
		g.Expect(s.ledger.check(s)).To(BeEmpty())
		g.Expect(s.ledger.largestResponseBytes).To(BeNumerically("<=", maxResponseBytes+j.padding))
	}
}

func TestRunBeyondRunTimeoutIsEnded(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		g := NewWithT(t)
		s := newSim(32, 2)
		s.options.RunTimeout = 10 * time.Second
		s.electLeader(s.now)
		s.sidecars[0].runTime = func() time.Duration { return time.Hour }
		j := newSimJob("job-1", 40)
		j.idempotent = idempotent
		s.submitAccepted(g, j)
		g.Expect(s.advanceUntil(2*time.Minute, s.allCompleted("job-1"))).To(BeTrue())
		g.Expect(s.job("job-1").GetFailed() == 0).To(Equal(idempotent))
		g.Expect(s.ledger.check(s)).To(BeEmpty())
	}
}

func TestUnreportedClaimOfEarlierLeaderHasUnknownOutcome(t *testing.T) {
	g := NewWithT(t)
	s := newSim(33, 0)
	j := newSimJob("job-1", 3)
	j.idempotent = false
	s.submitAccepted(g, j)
	s.failLeader(false)
	start := &pb.ItemsStart{JobId: "job-1", Indexes: []uint32{1}, FencingNumber: 1<<fencingTermShift | 7}
	s.commit(s.leader, &pb.Command{Op: &pb.Command_ItemsStart{ItemsStart: start}})
	s.sidecars = append(s.sidecars, newSimSidecar(s, "worker-00"))
	g.Expect(s.advanceUntil(time.Minute, s.allCompleted("job-1"))).To(BeTrue())
	g.Expect(s.results("job-1")[1].GetError()).To(Equal(ErrorOutcomeUnknown))
	g.Expect(s.job("job-1").GetDone()).To(Equal(uint32(2)))
	g.Expect(s.ledger.check(s)).To(BeEmpty())
}

func TestReplacedLeaderRefusesPendingRequests(t *testing.T) {
	g := NewWithT(t)
	s := newSim(34, 2)
	s.advance(time.Second)
	g.Expect(s.sidecars[0].worker.requestOutstanding).To(BeTrue())
	s.leader.scheduler.Step(s.now, LeadershipChange{Term: s.term})
	s.deliverOutputs(s.leader)
	s.advance(100 * time.Millisecond)
	g.Expect(s.sidecars[0].worker.Stats().RequestsFailed).To(BeNumerically(">", 0))
}

func TestJobListIsPagedAndFilteredByCaller(t *testing.T) {
	g := NewWithT(t)
	s := newSim(35, 0)
	for i := range 7 {
		j := newSimJob(fmt.Sprintf("job-%d", i), 2)
		j.caller = []string{"forbundet", "trasy"}[i%2]
		s.submitAccepted(g, j)
	}
	list := func(q *pb.JobListQuery) []string {
		answer, _ := s.leader.state.Query(s.store, &pb.Query{Query: &pb.Query_JobList{JobList: q}})
		var ids []string
		for _, job := range answer.GetJobList().GetJobs() {
			ids = append(ids, job.GetJobId())
		}
		return ids
	}
	g.Expect(list(&pb.JobListQuery{})).To(HaveLen(7))
	g.Expect(list(&pb.JobListQuery{Caller: "trasy"})).To(Equal([]string{"job-1", "job-3", "job-5"}))
	g.Expect(list(&pb.JobListQuery{Caller: "forbundet", After: "job-2", Limit: 1})).To(Equal([]string{"job-4"}))
	q := &pb.JobQuery{JobId: "job-1", Caller: "forbundet"}
	answer, _ := s.leader.state.Query(s.store, &pb.Query{Query: &pb.Query_Job{Job: q}})
	g.Expect(answer.GetJob().GetError()).To(Equal(pb.JobError_JOB_NOT_FOUND))
}

// sendRequest passes a request to the leader without delay and returns its token.
func (s *sim) sendRequest(m *pb.LeaseRequest) uint64 {
	token := s.ledger.recordRequest(newSimSidecar(s, m.GetWorker()), m.GetIncarnation())
	s.leader.scheduler.Step(s.now, WorkerRequest{token, m})
	return token
}

func TestCancelRemovesItemsFromResponseWaitingForClaim(t *testing.T) {
	g := NewWithT(t)
	s := newSim(36, 0)
	s.submitAccepted(g, newSimJob("job-1", 1))
	claimed := newSimJob("job-2", 1)
	claimed.idempotent = false
	s.submitAccepted(g, claimed)
	token := s.sendRequest(&pb.LeaseRequest{Worker: "w", Incarnation: 1, Sequence: 1, Services: []string{"dam-watch"}, Room: 2})
	g.Expect(s.leader.scheduler.workers.byID["w"].pending.items).To(HaveLen(1))
	s.cancelJob("job-1")
	s.advance(time.Second)
	g.Expect(s.ledger.responded[token]).To(BeTrue())
	g.Expect(s.ledger.violations).To(BeEmpty())
}

func TestLeaderRefusesRequestOfLaterTerm(t *testing.T) {
	g := NewWithT(t)
	s := newSim(37, 0)
	s.sendRequest(&pb.LeaseRequest{Worker: "w", Incarnation: 1, Sequence: 1, Term: s.term + 1})
	reply := s.leader.scheduler.Drain()[0].(SendResponse)
	g.Expect(reply.Message.GetError()).To(Equal(pb.ControlErrorCode_CONTROL_NOT_LEADER))
	g.Expect(s.leader.scheduler.workers.byID).To(BeEmpty())
}
