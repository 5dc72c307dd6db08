package route

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

var start = time.Unix(1_000_000, 0)

func newMember(n int, dataCentre string) *pb.Member {
	return &pb.Member{
		Id: fmt.Sprintf("u%02d", n), Incarnation: 1, Version: 1, DataCentre: dataCentre,
		Services: []string{"check"}, State: pb.MemberState_MEMBER_SERVING,
		Load: &pb.Load{Window: 8},
	}
}

func newTestSelector(count int) *Selector {
	selector := NewSelector(Options{DataCentre: "a", Seed: 1})
	for n := range count {
		selector.Update(start, newMember(n, "a"))
	}
	return selector
}

func TestPrefixAffinityHoldsWithinCostBound(t *testing.T) {
	g := NewWithT(t)
	selector := newTestSelector(9)
	query := Query{Service: "check", PrefixHashes: []uint64{1, 2, 3, 4, 99}}
	first, ok := selector.Pick(start, query)
	g.Expect(ok).To(BeTrue())
	query.PrefixHashes = []uint64{1, 2, 3, 4, 77}
	sent := 0
	for {
		u, _ := selector.Pick(start, query)
		if u != first {
			break
		}
		selector.AttemptSent(u)
		sent++
	}
	g.Expect(sent).To(Equal(6), "affinity holds until six of the eight requests in the window are in use")
}

func TestJoiningUpstreamMovesFewPrefixes(t *testing.T) {
	g := NewWithT(t)
	selector := newTestSelector(9)
	const prefixes = 1000
	before := make([]*Upstream, prefixes)
	for i := range before {
		before[i], _ = selector.Pick(start, Query{Service: "check", PrefixHashes: []uint64{uint64(i)}})
	}
	selector.Update(start, newMember(9, "a"))
	moved := 0
	for i := range before {
		if u, _ := selector.Pick(start, Query{Service: "check", PrefixHashes: []uint64{uint64(i)}}); u != before[i] {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically("~", prefixes/10, prefixes/20))
}

func TestLocalDataCentreIsPreferredWhileItHasCapacity(t *testing.T) {
	g := NewWithT(t)
	selector := newTestSelector(2)
	selector.Update(start, newMember(2, "b"))
	for range 16 {
		u, _ := selector.Pick(start, Query{Service: "check"})
		g.Expect(u.Member().GetDataCentre()).To(Equal("a"))
		selector.AttemptSent(u)
	}
	seen := map[string]bool{}
	for range 20 {
		u, _ := selector.Pick(start, Query{Service: "check"})
		seen[u.Member().GetDataCentre()] = true
	}
	g.Expect(seen).To(HaveKey("b"))
}

func TestFailingUpstreamIsEjectedAndRecoversGradually(t *testing.T) {
	g := NewWithT(t)
	selector := newTestSelector(4)
	failing := selector.byID["u00"]
	for range ejectionThreshold {
		selector.RecordFailure(start, failing)
	}
	failingPicks := func(now time.Time) int {
		count := 0
		for range 400 {
			if u, _ := selector.Pick(now, Query{Service: "check"}); u == failing {
				count++
			}
		}
		return count
	}
	g.Expect(failingPicks(start)).To(BeZero())
	ejectionEnd := start.Add(baseEjectionTime)
	selector.AttemptSent(failing)
	for _, u := range selector.upstreamsOf("check") {
		if u != failing {
			u.inFlight = 3
		}
	}
	g.Expect(failingPicks(ejectionEnd)).To(BeZero(), "its initial share is less than one request")
	g.Expect(failingPicks(ejectionEnd.Add(recoveryTime))).To(BeNumerically(">", 150), "it has regained its full share")
	selector.AttemptDone(ejectionEnd, failing, nil)
	for _, u := range selector.upstreamsOf("check") {
		u.inFlight = 0
	}
	selector.RecordSuccess(ejectionEnd.Add(recoveryTime+time.Second), failing)
	g.Expect(failingPicks(ejectionEnd.Add(recoveryTime + time.Second))).To(BeNumerically("~", 100, 50))
}

func TestAtMostHalfOfUpstreamsAreEjected(t *testing.T) {
	g := NewWithT(t)
	selector := newTestSelector(5)
	for range 10 {
		for n := range 5 {
			selector.RecordFailure(start, selector.byID[fmt.Sprintf("u%02d", n)])
		}
	}
	ejected := 0
	for _, u := range selector.byID {
		if u.isEjected(start) {
			ejected++
		}
	}
	g.Expect(ejected).To(Equal(2))
}

func TestSlowUpstreamReceivesFewerRequests(t *testing.T) {
	g := NewWithT(t)
	selector := newTestSelector(4)
	for n := range 4 {
		load := &pb.Load{Window: 8, BetweenTokensUs: 10_000}
		if n == 0 {
			load.BetweenTokensUs = 100_000
		}
		selector.byID[fmt.Sprintf("u%02d", n)].recordLoad(start, load)
	}
	for range 16 {
		u, _ := selector.Pick(start, Query{Service: "check"})
		selector.AttemptSent(u)
	}
	g.Expect(selector.byID["u00"].inFlight).To(BeNumerically("<=", 2))
}

func TestReportedLoadDecaysAndSentAttemptsCountImmediately(t *testing.T) {
	g := NewWithT(t)
	selector := newTestSelector(2)
	u := selector.byID["u00"]
	u.recordLoad(start, &pb.Load{Window: 8, RunningOnline: 8})
	g.Expect(u.pending(start)).To(BeEquivalentTo(8))
	g.Expect(u.pending(start.Add(reportedLoadHalfLife))).To(BeEquivalentTo(4))
	selector.AttemptSent(u)
	g.Expect(u.pending(start)).To(BeEquivalentTo(9))
}

func TestOlderAnnouncementIsIgnored(t *testing.T) {
	g := NewWithT(t)
	selector := newTestSelector(0)
	drainingMember := newMember(0, "a")
	drainingMember.Version = 2
	drainingMember.State = pb.MemberState_MEMBER_DRAINING
	selector.Update(start, drainingMember)
	selector.Update(start, newMember(0, "a"))
	_, ok := selector.Pick(start, Query{Service: "check"})
	g.Expect(ok).To(BeFalse())
	restartedMember := newMember(0, "a")
	restartedMember.Incarnation = 2
	selector.Update(start, restartedMember)
	u, ok := selector.Pick(start, Query{Service: "check"})
	g.Expect(ok).To(BeTrue())
	g.Expect(u.Member().GetIncarnation()).To(BeEquivalentTo(2))
}

func TestOnlineWorkIsPackedWhileBatchRuns(t *testing.T) {
	g := NewWithT(t)
	selector := newTestSelector(6)
	pickedIDs := func(now time.Time, utilization float64) map[string]bool {
		seen := map[string]bool{}
		for range 100 {
			u, _ := selector.Pick(now, Query{Service: "check", PackUtilization: utilization})
			seen[u.Member().GetId()] = true
		}
		return seen
	}
	g.Expect(pickedIDs(start, 0.25)).To(HaveLen(6), "without batch work all upstreams are used")
	for _, u := range selector.byID {
		u.recordLoad(start, &pb.Load{Window: 8, RunningBatch: 5})
	}
	g.Expect(pickedIDs(start, 0)).To(HaveLen(6))
	packedIDs := pickedIDs(start, 0.25)
	g.Expect(packedIDs).To(HaveLen(1), "one request fits into a quarter of one window")
	busy := selector.upstreamsOf("check")[0]
	for range 4 {
		selector.AttemptSent(busy)
	}
	g.Expect(pickedIDs(start, 0.25)).To(HaveLen(2), "five requests need three upstreams, and the one with four in flight is not picked")
	for range 4 {
		selector.AttemptDone(start, busy, nil)
	}
	g.Expect(pickedIDs(start.Add(time.Second), 0.25)).To(HaveLen(3), "the peak demand has hardly decayed")
	afterDecay := start.Add(5 * demandHalfLife)
	g.Expect(pickedIDs(afterDecay, 0.25)).To(Equal(packedIDs))
}
