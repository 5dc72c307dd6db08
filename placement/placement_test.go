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

// testFleet is a planner with fake upstreams, whose orders end when the test calls
// finish.
type testFleet struct {
	now        time.Time
	planner    *Planner
	reports    map[string]*pb.UpstreamReport
	openOrders map[string]*pb.OrderIssue
}

func newTestFleet(upstreams int, minUpstreams uint32) *testFleet {
	f := &testFleet{
		now: time.Unix(1000, 0), planner: New(Options{SettleTime: time.Second}),
		reports: make(map[string]*pb.UpstreamReport), openOrders: make(map[string]*pb.OrderIssue),
	}
	f.planner.Step(f.now, LeadershipChange{Term: 1, Leading: true})
	f.planner.Step(f.now, ServicesChanged{Services: []*pb.Service{modelService("1", minUpstreams)}})
	for i := range upstreams {
		id := fmt.Sprintf("u%d", i)
		f.reports[id] = &pb.UpstreamReport{Upstream: id, Services: []string{"check"}, Models: []string{"m"}, Version: "1"}
	}
	return f
}

// step sends a report of every upstream, ticks, and accepts the issued orders.
func (f *testFleet) step(g Gomega) {
	for _, r := range f.reports {
		f.planner.Step(f.now, ReportReceived{Report: r})
	}
	f.now = f.now.Add(planPeriod)
	f.planner.Tick(f.now)
	for _, out := range f.planner.Drain() {
		issue := out.(IssueOrder).Issue
		id := issue.GetOrder().GetUpstream()
		g.Expect(f.openOrders).NotTo(HaveKey(id), "second order for %s while one is outstanding", id)
		f.openOrders[id] = issue
		f.planner.Step(f.now, IssueResult{ChangeID: issue.GetChangeId(), Upstream: id, Result: &pb.OrderResult{Accepted: true}})
	}
}

func (f *testFleet) finish(id string, done bool) {
	order := f.openOrders[id].GetOrder()
	delete(f.openOrders, id)
	if done {
		f.reports[id] = &pb.UpstreamReport{Upstream: id, Services: []string{"check"}, Models: []string{"m"}, Version: order.GetVersion()}
		f.planner.Step(f.now, ReportReceived{Report: f.reports[id]})
	}
	f.planner.Step(f.now, OrderFinished{Finish: &pb.OrderFinish{Upstream: id, Done: done}})
}

func TestAChangeOfVersionKeepsTheMinimumServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		upstreams := rapid.IntRange(2, 8).Draw(t, "upstreams")
		minUpstreams := rapid.IntRange(1, upstreams-1).Draw(t, "keep")
		f := newTestFleet(upstreams, uint32(minUpstreams))
		f.step(g)
		g.Expect(f.openOrders).To(BeEmpty())
		f.planner.Step(f.now, ServicesChanged{Services: []*pb.Service{modelService("2", uint32(minUpstreams))}})
		// Consecutive failures pause an upstream for up to maxFailurePause, so the
		// recovery steps cover twice that time.
		const failingSteps, recoverySteps = 200, 2 * int(maxFailurePause/planPeriod)
		for step := range failingSteps + recoverySteps {
			f.step(g)
			g.Expect(upstreams-len(f.openOrders)).To(BeNumerically(">=", minUpstreams), "upstreams without an outstanding order")
			for i := range upstreams {
				id := fmt.Sprintf("u%d", i)
				if f.openOrders[id] == nil {
					continue
				}
				if step >= failingSteps {
					f.finish(id, true)
				} else if rapid.IntRange(0, 2).Draw(t, "finished") > 0 {
					f.finish(id, rapid.IntRange(0, 4).Draw(t, "done") > 0)
				}
			}
		}
		for id, report := range f.reports {
			g.Expect(report.GetVersion()).To(Equal("2"), id)
		}
	})
}

func TestLeaderLoadsEmptyUpstreamAndFollowerDoesNot(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(1, 1)
	f.reports["u0"].Models = nil
	f.planner.Step(f.now, LeadershipChange{Term: 2, Leading: false})
	f.step(g)
	g.Expect(f.openOrders).To(BeEmpty())
	f.planner.Step(f.now, LeadershipChange{Term: 3, Leading: true})
	f.step(g)
	f.step(g)
	g.Expect(f.openOrders).To(HaveKey("u0"))
	g.Expect(f.openOrders["u0"].GetOrder().GetKind()).To(Equal(pb.OrderKind_ORDER_LOAD_MODEL))
}

func TestAFullWeightStoreDelaysTheNextOrder(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(1, 0)
	f.reports["u0"].Models = nil
	f.planner.Step(f.now, ReportReceived{Report: f.reports["u0"]})
	f.now = f.now.Add(2 * planPeriod)
	f.planner.Tick(f.now)
	issue := f.planner.Drain()[0].(IssueOrder).Issue
	refused := &pb.OrderResult{Reason: "the weight store has no room", RetryAfterMs: 5000}
	f.planner.Step(f.now, IssueResult{ChangeID: issue.GetChangeId(), Upstream: "u0", Result: refused})
	f.planner.Tick(f.now.Add(2 * time.Second))
	g.Expect(f.planner.Drain()).To(BeEmpty())
	f.planner.Tick(f.now.Add(6 * time.Second))
	retried := f.planner.Drain()
	g.Expect(retried).To(HaveLen(1))
	g.Expect(retried[0].(IssueOrder).Issue.GetChangeId()).To(Equal(issue.GetChangeId()))
}
