package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

// repeatsSeeds is the number of seeds of the property test of repeated runs.
const repeatsSeeds = 100

func newFailingJob(id string, items int) simJob {
	j := newSimJob(id, items)
	j.failing = true
	return j
}

// mostRuns returns the largest number of runs of an item.
func (s *sim) mostRuns() int {
	most := 0
	for _, starts := range s.ledger.startTimes {
		most = max(most, len(starts))
	}
	return most
}

// Failures were counted by each leader alone, and a worker dropped a failure before it was recorded,
// so that an item had all its attempts again after each change of leader.
func TestNewLeaderCountsFailuresFromZero(t *testing.T) {
	g := NewWithT(t)
	s := newSim(31, 3)
	s.submitAccepted(g, newFailingJob("job-1", 4))
	for range 20 {
		s.advance(4 * time.Second)
		s.failLeader(false)
	}
	g.Expect(s.advanceUntil(5*time.Minute, s.allCompleted("job-1"))).To(BeTrue())
	g.Expect(s.mostRuns()).To(BeNumerically("<=", 2*DefaultMaxAttempts))
}

// Losses were counted by each leader alone, so that an item whose worker was lost each time had
// all its attempts again after each change of leader.
func TestNewLeaderCountsLossesFromZero(t *testing.T) {
	g := NewWithT(t)
	s := newSim(32, 1)
	s.setRunTime(time.Hour, 4, 0)
	s.submitAccepted(g, newSimJob("job-1", 1))
	for range 12 {
		s.advance(4 * time.Second)
		s.sidecars[0].crash()
		s.sidecars[0].startIncarnation()
		s.advance(4 * time.Second)
		s.failLeader(false)
	}
	g.Expect(s.advanceUntil(5*time.Minute, s.allCompleted("job-1"))).To(BeTrue())
	g.Expect(s.mostRuns()).To(BeNumerically("<=", DefaultMaxAttempts+extraLosses))
}

// The attempts of all items that were lost at once did not fit into one command.
func TestRecordOfManyLostItemsIsTooLarge(t *testing.T) {
	g := NewWithT(t)
	const items = 3*maxCommitResults + 1
	s := newSim(33, 1)
	s.setRunTime(time.Hour, items, 0)
	s.submitAccepted(g, newSimJob("job-1", items))
	g.Expect(s.advanceUntil(time.Minute, func() bool { return len(s.sidecars[0].running) == items })).To(BeTrue())
	s.sidecars[0].crash()
	largest := 0
	s.onCommand = func(c *pb.Command) { largest = max(largest, len(c.GetResultsCommit().GetResults())) }
	s.sidecars[0].startIncarnation()
	s.setRunTime(time.Second, items, 0)
	g.Expect(s.advanceUntil(5*time.Minute, s.allCompleted("job-1"))).To(BeTrue())
	g.Expect(largest).To(BeNumerically("<=", maxCommitResults))
	g.Expect(s.job("job-1").GetDone()).To(BeEquivalentTo(items))
}

// An item that fails at each run gets its attempts, those that were refunded, and those whose
// worker was lost, and one more for each loss of a worker and each change of leader, whatever
// happens to messages and proposals.
func TestRunsOfFailingItemsAreBounded(t *testing.T) {
	for seed := range uint64(repeatsSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { testRunsAreBounded(t, seed) })
	}
}

func testRunsAreBounded(t *testing.T, seed uint64) {
	g := NewWithT(t)
	s := newSim(seed, 3)
	s.submitAccepted(g, newFailingJob("job-1", 6))
	s.messageLoss, s.proposalFaultRate = 0.2*s.rand.Float64(), 0.5*s.rand.Float64()
	crashes, leaderChanges := 0, 0
	for range 8 {
		s.advance(time.Duration(s.rand.Int64N(int64(6 * time.Second))))
		switch s.rand.IntN(4) {
		case 0:
			crashSidecar(s)
			crashes++
		case 1:
			crashLeader(s)
			leaderChanges++
		case 2:
			replaceLiveLeader(s)
			leaderChanges++
		case 3:
			flapLeadership(s)
			leaderChanges++
		}
	}
	s.messageLoss, s.proposalFaultRate = 0, 0
	g.Expect(s.advanceUntil(10*time.Minute, s.allCompleted("job-1"))).To(BeTrue())
	bound := 2*DefaultMaxAttempts + crashes + leaderChanges
	g.Expect(s.mostRuns()).To(BeNumerically("<=", bound), "%d crashes of workers, %d changes of leader", crashes, leaderChanges)
	for _, result := range s.results("job-1") {
		key := itemKey{"job-1", result.GetIndex()}
		g.Expect(len(s.ledger.startTimes[key])).To(BeNumerically(">=", DefaultMaxAttempts), "item %d was given up too early", result.GetIndex())
	}
}
