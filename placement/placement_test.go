package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

var _ core.Core[Input, Output] = (*Planner)(nil)

func modelService(version string, minUpstreams uint32) *pb.Service {
	return &pb.Service{Name: "check", Kind: pb.ServiceKind_SERVICE_MODEL, Model: "m", Version: version, MinUpstreams: minUpstreams}
}

// testFleet is a set of fake upstreams that carry out orders when told to.
type testFleet struct {
	now        time.Time
	planner    *Planner
	reports    map[string]*pb.UpstreamReport
	openOrders map[string]*pb.OrderIssue
}

func newTestFleet(upstreams int, minUpstreams uint32) *testFleet {
	s := &testFleet{
		now: time.Unix(1000, 0), planner: New(Options{SettleTime: time.Second}),
		reports: make(map[string]*pb.UpstreamReport), openOrders: make(map[string]*pb.OrderIssue),
	}
	s.planner.Step(s.now, LeadershipChange{Term: 1, Leading: true})
	s.planner.Step(s.now, ServicesChanged{Services: []*pb.Service{modelService("1", minUpstreams)}})
	for i := range upstreams {
		id := fmt.Sprintf("u%d", i)
		s.reports[id] = &pb.UpstreamReport{Upstream: id, Services: []string{"check"}, Models: []string{"m"}, Version: "1"}
	}
	return s
}

// step reports every upstream, ticks, and takes the issued orders.
func (s *testFleet) step(g Gomega) {
	for _, r := range s.reports {
		s.planner.Step(s.now, ReportReceived{Report: r})
	}
	s.now = s.now.Add(planPeriod)
	s.planner.Tick(s.now)
	for _, out := range s.planner.Drain() {
		issue := out.(IssueOrder).Issue
		id := issue.GetOrder().GetUpstream()
		g.Expect(s.openOrders).NotTo(HaveKey(id), "a second order for %s", id)
		s.openOrders[id] = issue
		s.planner.Step(s.now, IssueResult{ChangeID: issue.GetChangeId(), Upstream: id, Result: &pb.OrderResult{Accepted: true}})
	}
}

func (s *testFleet) finish(id string, done bool) {
	order := s.openOrders[id].GetOrder()
	delete(s.openOrders, id)
	if done {
		s.reports[id] = &pb.UpstreamReport{Upstream: id, Services: []string{"check"}, Models: []string{"m"}, Version: order.GetVersion()}
		s.planner.Step(s.now, ReportReceived{Report: s.reports[id]})
	}
	s.planner.Step(s.now, OrderFinished{Finish: &pb.OrderFinish{Upstream: id, Done: done}})
}

func TestAChangeOfVersionKeepsTheMinimumServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		upstreams := rapid.IntRange(2, 8).Draw(t, "upstreams")
		keep := rapid.IntRange(1, upstreams-1).Draw(t, "keep")
		s := newTestFleet(upstreams, uint32(keep))
		s.step(g)
		g.Expect(s.openOrders).To(BeEmpty())
		s.planner.Step(s.now, ServicesChanged{Services: []*pb.Service{modelService("2", uint32(keep))}})
		// Repeated failures pause an upstream for up to failureMax, so orders are
		// carried out for that long after the last failure.
		const failing, settling = 200, 2 * int(maxFailurePause/planPeriod)
		for step := range failing + settling {
			s.step(g)
			g.Expect(upstreams-len(s.openOrders)).To(BeNumerically(">=", keep), "upstreams that still serve")
			for i := range upstreams {
				id := fmt.Sprintf("u%d", i)
				if s.openOrders[id] == nil {
					continue
				}
				if step >= failing {
					s.finish(id, true)
				} else if rapid.IntRange(0, 2).Draw(t, "finished") > 0 {
					s.finish(id, rapid.IntRange(0, 4).Draw(t, "done") > 0)
				}
			}
		}
		for id, report := range s.reports {
			g.Expect(report.GetVersion()).To(Equal("2"), id)
		}
	})
}

func TestLeaderLoadsEmptyUpstreamAndFollowerDoesNot(t *testing.T) {
	g := NewWithT(t)
	s := newTestFleet(1, 1)
	s.reports["u0"].Models = nil
	s.planner.Step(s.now, LeadershipChange{Term: 2, Leading: false})
	s.step(g)
	g.Expect(s.openOrders).To(BeEmpty())
	s.planner.Step(s.now, LeadershipChange{Term: 3, Leading: true})
	s.step(g)
	s.step(g)
	g.Expect(s.openOrders).To(HaveKey("u0"))
	g.Expect(s.openOrders["u0"].GetOrder().GetKind()).To(Equal(pb.OrderKind_ORDER_LOAD_MODEL))
}

func TestAFullWeightStoreDelaysTheNextOrder(t *testing.T) {
	g := NewWithT(t)
	s := newTestFleet(1, 0)
	s.reports["u0"].Models = nil
	s.planner.Step(s.now, ReportReceived{Report: s.reports["u0"]})
	s.now = s.now.Add(2 * planPeriod)
	s.planner.Tick(s.now)
	issue := s.planner.Drain()[0].(IssueOrder).Issue
	refused := &pb.OrderResult{Reason: "the weight store has no room", RetryAfterMs: 5000}
	s.planner.Step(s.now, IssueResult{ChangeID: issue.GetChangeId(), Upstream: "u0", Result: refused})
	s.planner.Tick(s.now.Add(2 * time.Second))
	g.Expect(s.planner.Drain()).To(BeEmpty())
	s.planner.Tick(s.now.Add(6 * time.Second))
	again := s.planner.Drain()
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].(IssueOrder).Issue.GetChangeId()).To(Equal(issue.GetChangeId()))
}
