package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

const (
	// ReportTimeout is the time without a report after which an upstream counts as
	// gone.
	ReportTimeout = 30 * time.Second
	// defaultSettleTime is the time after a change of leader before orders are
	// issued, in which the upstreams report to the new leader.
	defaultSettleTime = 15 * time.Second
	// planPeriod is the least time between two plans.
	planPeriod = time.Second
	// minFailurePause and maxFailurePause bound the pause of an upstream after a
	// failed order. The pause doubles with each consecutive failure.
	minFailurePause = 10 * time.Second
	maxFailurePause = 10 * time.Minute
)

// Input is an input of a Planner.
type Input interface{ placementInput() }

// LeadershipChange reports whether this replica leads in a term.
type LeadershipChange struct {
	Term    uint64
	Leading bool
}

// ServicesChanged holds the services in force, in the order of their names.
type ServicesChanged struct{ Services []*pb.Service }

// ReportReceived holds a report of an upstream about itself.
type ReportReceived struct{ Report *pb.UpstreamReport }

// IssueResult is the result of an IssueOrder. Result is nil when it is unknown
// whether the order was issued.
type IssueResult struct {
	ChangeID string
	Upstream string
	Result   *pb.OrderResult
}

// OrderFinished reports that the end of an order was committed.
type OrderFinished struct{ Finish *pb.OrderFinish }

func (LeadershipChange) placementInput() {}
func (ServicesChanged) placementInput()  {}
func (ReportReceived) placementInput()   {}
func (IssueResult) placementInput()      {}
func (OrderFinished) placementInput()    {}

// Output is an output of a Planner.
type Output interface{ placementOutput() }

// IssueOrder asks the host code to propose an order to the replicated log.
type IssueOrder struct{ Issue *pb.OrderIssue }

func (IssueOrder) placementOutput() {}

// Options configures a Planner.
type Options struct {
	// WeightBytes is the number of bytes that one load reads from the weight store.
	WeightBytes uint64
	// WeightBytesPerSecond is the read rate of the weight store; zero means no
	// limit.
	WeightBytesPerSecond uint64
	// WeightBurstBytes is the number of bytes that may be read at once.
	WeightBurstBytes uint64
	// SettleTime is the time after a change of leader before orders are issued;
	// zero means the default of 15 seconds.
	SettleTime time.Duration
}

// upstreamState is what the planner knows of one upstream.
type upstreamState struct {
	report *pb.UpstreamReport
	// pendingChange is the change ID of the order that was issued and has not
	// finished; empty means none.
	pendingChange string
	// finishedOrders counts the finished orders; it is part of the next change ID.
	finishedOrders      uint64
	consecutiveFailures int
	// pausedUntil is the time before which no order is issued.
	pausedUntil time.Time
}

// Planner is the core that plans the orders. It implements core.Core.
type Planner struct {
	options Options
	out     core.Outbox[Output]
	leading bool
	term    uint64
	// settledAt is the time from which orders are issued in this term.
	settledAt time.Time
	nextPlan  time.Time
	services  []*pb.Service
	// upstreams holds the upstreams that reported in this term, by ID.
	upstreams map[string]*upstreamState
	// reportDeadlines holds the time at which each upstream counts as gone without
	// another report.
	reportDeadlines core.Deadlines[string]
	// planNeeded is set when an input may have changed the plan.
	planNeeded bool
}

// New returns a Planner that does not lead.
func New(o Options) *Planner {
	if o.SettleTime == 0 {
		o.SettleTime = defaultSettleTime
	}
	return &Planner{options: o, upstreams: make(map[string]*upstreamState)}
}

// Drain implements core.Core.
func (p *Planner) Drain() []Output {
	return p.out.Drain()
}

// Upstreams returns the reports of all upstreams in the order of their IDs.
func (p *Planner) Upstreams() []*pb.UpstreamReport {
	reports := make([]*pb.UpstreamReport, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		reports = append(reports, u.report)
	}
	slices.SortFunc(reports, func(a, b *pb.UpstreamReport) int {
		return cmp.Compare(a.GetUpstream(), b.GetUpstream())
	})
	return reports
}

// Step implements core.Core.
func (p *Planner) Step(now time.Time, in Input) {
	switch in := in.(type) {
	case LeadershipChange:
		p.leadershipChanged(now, in)
	case ServicesChanged:
		p.services = in.Services
		p.planNeeded = true
	case ReportReceived:
		p.reportReceived(now, in.Report)
	case IssueResult:
		p.issueResult(now, in)
	case OrderFinished:
		p.orderFinished(now, in.Finish)
	}
}

// Tick implements core.Core.
func (p *Planner) Tick(now time.Time) {
	p.expireReports(now)
	if !p.leading || now.Before(p.settledAt) || now.Before(p.nextPlan) {
		return
	}
	p.nextPlan = now.Add(planPeriod)
	if p.planNeeded {
		p.planNeeded = false
		p.plan(now)
	}
}

// leadershipChanged discards the state of earlier terms; the upstreams report
// again.
func (p *Planner) leadershipChanged(now time.Time, in LeadershipChange) {
	p.leading = in.Leading
	p.term = in.Term
	p.settledAt = now.Add(p.options.SettleTime)
	p.upstreams = make(map[string]*upstreamState)
	p.reportDeadlines = core.Deadlines[string]{}
	p.planNeeded = true
}

func (p *Planner) reportReceived(now time.Time, r *pb.UpstreamReport) {
	if !p.leading {
		return
	}
	u, known := p.upstreams[r.GetUpstream()]
	if !known {
		u = &upstreamState{}
		p.upstreams[r.GetUpstream()] = u
	}
	if known && r.GetIncarnation() < u.report.GetIncarnation() {
		return
	}
	u.report = r
	p.reportDeadlines.Set(r.GetUpstream(), now.Add(ReportTimeout))
	p.planNeeded = true
}

func (p *Planner) expireReports(now time.Time) {
	for {
		id, ok := p.reportDeadlines.PopExpired(now)
		if !ok {
			return
		}
		delete(p.upstreams, id)
		p.planNeeded = true
	}
}

// issueResult handles the result of a proposed order.
func (p *Planner) issueResult(now time.Time, in IssueResult) {
	u, ok := p.upstreams[in.Upstream]
	if !ok || u.pendingChange != in.ChangeID {
		return
	}
	p.planNeeded = true
	switch {
	case in.Result == nil:
		// The retry has the same change ID, so that the order is issued only once.
		u.pendingChange = ""
		u.pausedUntil = now.Add(planPeriod)
	case in.Result.GetAccepted():
	case in.Result.GetOrder() != nil:
		// Another order is outstanding; retry after it may have ended.
		u.pendingChange = ""
		u.pausedUntil = now.Add(minFailurePause)
	default:
		u.pendingChange = ""
		u.pausedUntil = now.Add(max(planPeriod, time.Duration(in.Result.GetRetryAfterMs())*time.Millisecond))
	}
}

// orderFinished allows the next order for an upstream, after a pause if this one
// failed.
func (p *Planner) orderFinished(now time.Time, finish *pb.OrderFinish) {
	u, ok := p.upstreams[finish.GetUpstream()]
	if !ok {
		return
	}
	u.pendingChange = ""
	u.finishedOrders++
	p.planNeeded = true
	if finish.GetDone() {
		u.consecutiveFailures = 0
		return
	}
	u.consecutiveFailures++
	const maxDoublings = 6
	pause := minFailurePause << min(u.consecutiveFailures-1, maxDoublings)
	u.pausedUntil = now.Add(min(pause, maxFailurePause))
}

// changeID returns the ID of the change that an order makes. A repeated issue of
// the order has the same ID.
func (p *Planner) changeID(u *upstreamState, load missingLoad) string {
	return fmt.Sprintf("placement-%d-%s-%d-%d-%s-%s-%s", p.term, u.report.GetUpstream(), u.report.GetIncarnation(),
		u.finishedOrders, load.kind, load.subject, load.version)
}
