package route

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

var start = time.Unix(1_000_000, 0)

func member(n int, dataCentre string) *pb.Member {
	return &pb.Member{
		Id: fmt.Sprintf("u%02d", n), Incarnation: 1, Version: 1, DataCentre: dataCentre,
		Services: []string{"check"}, State: pb.MemberState_MEMBER_SERVING,
		Load: &pb.Load{Window: 8},
	}
}

func newTestSelector(count int) *Selector {
	t := NewSelector(Options{DataCentre: "a", Seed: 1})
	for n := range count {
		t.Update(start, member(n, "a"))
	}
	return t
}

func TestPrefixAffinityHoldsWithinCostBound(t *testing.T) {
	g := NewWithT(t)
	table := newTestSelector(9)
	query := Query{Service: "check", PrefixHashes: []uint64{1, 2, 3, 4, 99}}
	first, ok := table.Pick(start, query)
	g.Expect(ok).To(BeTrue())
	query.PrefixHashes = []uint64{1, 2, 3, 4, 77}
	sent := 0
	for {
		u, _ := table.Pick(start, query)
		if u != first {
			break
		}
		table.AttemptSent(u)
		sent++
	}
	g.Expect(sent).To(Equal(6), "affinity holds until three quarters of the window are in use")
}

func TestJoiningUpstreamMovesFewPrefixes(t *testing.T) {
	g := NewWithT(t)
	table := newTestSelector(9)
	const prefixes = 1000
	before := make([]*Upstream, prefixes)
	for i := range before {
		before[i], _ = table.Pick(start, Query{Service: "check", PrefixHashes: []uint64{uint64(i)}})
	}
	table.Update(start, member(9, "a"))
	moved := 0
	for i := range before {
		if u, _ := table.Pick(start, Query{Service: "check", PrefixHashes: []uint64{uint64(i)}}); u != before[i] {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically("~", prefixes/10, prefixes/20))
}

func TestLocalDataCentreIsPreferredWhileItHasCapacity(t *testing.T) {
	g := NewWithT(t)
	table := newTestSelector(2)
	table.Update(start, member(2, "b"))
	for range 16 {
		u, _ := table.Pick(start, Query{Service: "check"})
		g.Expect(u.Member().GetDataCentre()).To(Equal("a"))
		table.AttemptSent(u)
	}
	seen := map[string]bool{}
	for range 20 {
		u, _ := table.Pick(start, Query{Service: "check"})
		seen[u.Member().GetDataCentre()] = true
	}
	g.Expect(seen).To(HaveKey("b"))
}

func TestFailingUpstreamIsEjectedAndRecoversGradually(t *testing.T) {
	g := NewWithT(t)
	table := newTestSelector(4)
	bad := table.byID["u00"]
	for range ejectionThreshold {
		table.RecordFailure(start, bad)
	}
	picks := func(now time.Time) int {
		count := 0
		for range 400 {
			if u, _ := table.Pick(now, Query{Service: "check"}); u == bad {
				count++
			}
		}
		return count
	}
	g.Expect(picks(start)).To(BeZero())
	returned := start.Add(baseEjectionTime)
	table.AttemptSent(bad)
	for _, u := range table.upstreamsOf("check") {
		if u != bad {
			u.inFlight = 3
		}
	}
	g.Expect(picks(returned)).To(BeZero(), "the first share is one request")
	g.Expect(picks(returned.Add(recoveryTime))).To(BeNumerically(">", 150), "its whole share is back")
	table.AttemptDone(returned, bad, nil)
	for _, u := range table.upstreamsOf("check") {
		u.inFlight = 0
	}
	table.RecordSuccess(returned.Add(recoveryTime+time.Second), bad)
	g.Expect(picks(returned.Add(recoveryTime + time.Second))).To(BeNumerically("~", 100, 50))
}

func TestAtMostHalfOfUpstreamsAreEjected(t *testing.T) {
	g := NewWithT(t)
	table := newTestSelector(5)
	for range 10 {
		for n := range 5 {
			table.RecordFailure(start, table.byID[fmt.Sprintf("u%02d", n)])
		}
	}
	ejected := 0
	for _, u := range table.byID {
		if u.isEjected(start) {
			ejected++
		}
	}
	g.Expect(ejected).To(Equal(2))
}

func TestSlowUpstreamReceivesFewerRequests(t *testing.T) {
	g := NewWithT(t)
	table := newTestSelector(4)
	for n := range 4 {
		load := &pb.Load{Window: 8, BetweenTokensUs: 10_000}
		if n == 0 {
			load.BetweenTokensUs = 100_000
		}
		table.byID[fmt.Sprintf("u%02d", n)].recordLoad(start, load)
	}
	for range 16 {
		u, _ := table.Pick(start, Query{Service: "check"})
		table.AttemptSent(u)
	}
	g.Expect(table.byID["u00"].inFlight).To(BeNumerically("<=", 2))
}

func TestReportedLoadDecaysAndSentAttemptsCountImmediately(t *testing.T) {
	g := NewWithT(t)
	table := newTestSelector(2)
	u := table.byID["u00"]
	u.recordLoad(start, &pb.Load{Window: 8, RunningOnline: 8})
	g.Expect(u.pending(start)).To(BeEquivalentTo(8))
	g.Expect(u.pending(start.Add(reportedLoadHalfLife))).To(BeEquivalentTo(4))
	table.AttemptSent(u)
	g.Expect(u.pending(start)).To(BeEquivalentTo(9))
}

func TestOlderAnnouncementIsIgnored(t *testing.T) {
	g := NewWithT(t)
	table := newTestSelector(0)
	draining := member(0, "a")
	draining.Version = 2
	draining.State = pb.MemberState_MEMBER_DRAINING
	table.Update(start, draining)
	table.Update(start, member(0, "a"))
	_, ok := table.Pick(start, Query{Service: "check"})
	g.Expect(ok).To(BeFalse())
	restarted := member(0, "a")
	restarted.Incarnation = 2
	table.Update(start, restarted)
	u, ok := table.Pick(start, Query{Service: "check"})
	g.Expect(ok).To(BeTrue())
	g.Expect(u.Member().GetIncarnation()).To(BeEquivalentTo(2))
}

func TestOnlineWorkIsPackedWhileBatchRuns(t *testing.T) {
	g := NewWithT(t)
	table := newTestSelector(6)
	used := func(now time.Time, pack float64) map[string]bool {
		seen := map[string]bool{}
		for range 100 {
			u, _ := table.Pick(now, Query{Service: "check", PackUtilization: pack})
			seen[u.Member().GetId()] = true
		}
		return seen
	}
	g.Expect(used(start, 0.25)).To(HaveLen(6), "without batch work all are used")
	for _, u := range table.byID {
		u.recordLoad(start, &pb.Load{Window: 8, RunningBatch: 5})
	}
	g.Expect(used(start, 0)).To(HaveLen(6))
	first := used(start, 0.25)
	g.Expect(first).To(HaveLen(1), "one request fits in a quarter of one window")
	busy := table.upstreamsOf("check")[0]
	for range 4 {
		table.AttemptSent(busy)
	}
	g.Expect(used(start, 0.25)).To(HaveLen(2), "five requests need three upstreams, of which one is busy")
	for range 4 {
		table.AttemptDone(start, busy, nil)
	}
	g.Expect(used(start.Add(time.Second), 0.25)).To(HaveLen(3), "the demand is remembered")
	later := start.Add(5 * demandHalfLife)
	g.Expect(used(later, 0.25)).To(Equal(first))
}
