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
	// ReportTimeout is the silence after which an upstream counts as gone.
	ReportTimeout = 30 * time.Second
	// defaultSettleTime is the time after a change of leader or services before
	// orders are issued, in which the upstreams report.
	defaultSettleTime = 15 * time.Second
	planPeriod        = time.Second
	minFailurePause   = 10 * time.Second
	maxFailurePause   = 10 * time.Minute
)

// Input is an input of a Planner.
type Input interface{ placementInput() }

// LeadershipChange tells whether this replica leads.
type LeadershipChange struct {
	Term    uint64
	Leading bool
}

// ServicesChanged are the services in force, in the order of their names.
type ServicesChanged struct{ Services []*pb.Service }

// ReportReceived is what an upstream says about itself.
type ReportReceived struct{ Report *pb.UpstreamReport }

// IssueResult answers Issue. Result is nil when it is not known whether the order was
// issued.
type IssueResult struct {
	ChangeID string
	Upstream string
	Result   *pb.OrderResult
}

// OrderFinished tells of a committed end of an order.
type OrderFinished struct{ Finish *pb.OrderFinish }

func (LeadershipChange) placementInput() {}
func (ServicesChanged) placementInput()  {}
func (ReportReceived) placementInput()   {}
func (IssueResult) placementInput()      {}
func (OrderFinished) placementInput()    {}

// Output is an output of a Planner.
type Output interface{ placementOutput() }

// IssueOrder asks for an order to be committed.
type IssueOrder struct{ Issue *pb.OrderIssue }

func (IssueOrder) placementOutput() {}

// Options configure a Planner.
type Options struct {
	// WeightBytes is what one load takes from the weight store.
	WeightBytes uint64
	// WeightBytesPerSecond is the rate of the weight store; zero means no limit.
	WeightBytesPerSecond uint64
	// WeightBurstBytes may be taken at once.
	WeightBurstBytes uint64
	// SettleTime is the time after a change of leader before orders are issued;
	// zero takes the default.
	SettleTime time.Duration
}

// upstreamState is a row of the table of upstreams.
type upstreamState struct {
	report *pb.UpstreamReport
	// pendingChange is the change ID of an order that was issued and not finished.
	pendingChange       string
	finishedOrders      uint64
	consecutiveFailures int
	pausedUntil         time.Time
}

// Planner is the core of placement.
type Planner struct {
	options         Options
	out             core.Outbox[Output]
	leading         bool
	term            uint64
	settledAt       time.Time
	nextPlan        time.Time
	services        []*pb.Service
	upstreams       map[string]*upstreamState
	reportDeadlines core.Deadlines[string]
	planNeeded      bool
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

// leadershipChanged forgets what earlier terms knew; the upstreams report again.
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
		id, ok := p.reportDeadlines.Expire(now)
		if !ok {
			return
		}
		delete(p.upstreams, id)
		p.planNeeded = true
	}
}

// issueResult handles the answer to an order that was to be committed.
func (p *Planner) issueResult(now time.Time, in IssueResult) {
	u, ok := p.upstreams[in.Upstream]
	if !ok || u.pendingChange != in.ChangeID {
		return
	}
	p.planNeeded = true
	switch {
	case in.Result == nil:
		// The same change is tried again, so that it is issued only once.
		u.pendingChange = ""
		u.pausedUntil = now.Add(planPeriod)
	case in.Result.GetAccepted():
	case in.Result.GetOrder() != nil:
		// Another order is outstanding; its end is awaited.
		u.pendingChange = ""
		u.pausedUntil = now.Add(minFailurePause)
	default:
		u.pendingChange = ""
		u.pausedUntil = now.Add(max(planPeriod, time.Duration(in.Result.GetRetryAfterMs())*time.Millisecond))
	}
}

// orderFinished frees an upstream for its next order.
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

// changeID names one order, so that a repeated issue is the same change.
func (p *Planner) changeID(u *upstreamState, load missingLoad) string {
	return fmt.Sprintf("placement-%d-%s-%d-%d-%s-%s-%s", p.term, u.report.GetUpstream(), u.report.GetIncarnation(),
		u.finishedOrders, load.kind, load.subject, load.version)
}
