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
	// ReportExpiry is the silence after which an upstream counts as gone.
	ReportExpiry = 30 * time.Second
	// settleTime is the time after a change of leader or services before
	// orders are issued, in which the upstreams report.
	settleTime = 15 * time.Second
	planPeriod = time.Second
	failureMin = 10 * time.Second
	failureMax = 10 * time.Minute
)

// Input is an input of a Planner.
type Input interface{ placementInput() }

// Lead tells whether this replica leads.
type Lead struct {
	Term uint64
	On   bool
}

// Services are the services in force, in the order of their names.
type Services struct{ Services []*pb.Service }

// Report is what an upstream says about itself.
type Report struct{ Report *pb.UpstreamReport }

// Issued answers Issue. Result is nil when it is not known whether the order was
// issued.
type Issued struct {
	ChangeID string
	Upstream string
	Result   *pb.OrderResult
}

// Finished tells of a committed end of an order.
type Finished struct{ Finish *pb.OrderFinish }

func (Lead) placementInput()     {}
func (Services) placementInput() {}
func (Report) placementInput()   {}
func (Issued) placementInput()   {}
func (Finished) placementInput() {}

// Output is an output of a Planner.
type Output interface{ placementOutput() }

// Issue asks for an order to be committed.
type Issue struct{ Issue *pb.OrderIssue }

func (Issue) placementOutput() {}

// Options configure a Planner.
type Options struct {
	// WeightBytes is what one load takes from the weight store.
	WeightBytes uint64
	// WeightBytesPerSecond is the rate of the weight store; zero means no limit.
	WeightBytesPerSecond uint64
	// WeightBurstBytes may be taken at once.
	WeightBurstBytes uint64
	// Settle is the time after a change of leader before orders are issued;
	// zero takes the default.
	Settle time.Duration
}

// upstream is a row of the table of upstreams.
type upstream struct {
	report *pb.UpstreamReport
	// pending is the change ID of an order that was issued and not finished.
	pending  string
	attempt  uint64
	failures int
	notUntil time.Time
}

// Planner is the core of placement.
type Planner struct {
	options   Options
	out       core.Outbox[Output]
	leading   bool
	term      uint64
	settled   time.Time
	nextPlan  time.Time
	services  []*pb.Service
	upstreams map[string]*upstream
	expiry    core.Deadlines[string]
	changed   bool
}

// New returns a Planner that does not lead.
func New(o Options) *Planner {
	if o.Settle == 0 {
		o.Settle = settleTime
	}
	return &Planner{options: o, upstreams: make(map[string]*upstream)}
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
	case Lead:
		p.lead(now, in)
	case Services:
		p.services = in.Services
		p.changed = true
	case Report:
		p.report(now, in.Report)
	case Issued:
		p.issued(now, in)
	case Finished:
		p.finished(now, in.Finish)
	}
}

// Tick implements core.Core.
func (p *Planner) Tick(now time.Time) {
	p.expire(now)
	if !p.leading || now.Before(p.settled) || now.Before(p.nextPlan) {
		return
	}
	p.nextPlan = now.Add(planPeriod)
	if p.changed {
		p.changed = false
		p.plan(now)
	}
}

// lead forgets what earlier terms knew; the upstreams report again.
func (p *Planner) lead(now time.Time, in Lead) {
	p.leading = in.On
	p.term = in.Term
	p.settled = now.Add(p.options.Settle)
	p.upstreams = make(map[string]*upstream)
	p.expiry = core.Deadlines[string]{}
	p.changed = true
}

func (p *Planner) report(now time.Time, r *pb.UpstreamReport) {
	if !p.leading {
		return
	}
	u, known := p.upstreams[r.GetUpstream()]
	if !known {
		u = &upstream{}
		p.upstreams[r.GetUpstream()] = u
	}
	if known && r.GetIncarnation() < u.report.GetIncarnation() {
		return
	}
	u.report = r
	p.expiry.Set(r.GetUpstream(), now.Add(ReportExpiry))
	p.changed = true
}

func (p *Planner) expire(now time.Time) {
	for {
		id, ok := p.expiry.PopExpired(now)
		if !ok {
			return
		}
		delete(p.upstreams, id)
		p.changed = true
	}
}

// issued handles the answer to an order that was to be committed.
func (p *Planner) issued(now time.Time, in Issued) {
	u, ok := p.upstreams[in.Upstream]
	if !ok || u.pending != in.ChangeID {
		return
	}
	p.changed = true
	switch {
	case in.Result == nil:
		// The same change is tried again, so that it is issued only once.
		u.pending = ""
		u.notUntil = now.Add(planPeriod)
	case in.Result.GetAccepted():
	case in.Result.GetOrder() != nil:
		// Another order is outstanding; its end is awaited.
		u.pending = ""
		u.notUntil = now.Add(failureMin)
	default:
		u.pending = ""
		u.notUntil = now.Add(max(planPeriod, time.Duration(in.Result.GetRetryAfterMs())*time.Millisecond))
	}
}

// finished frees an upstream for its next order.
func (p *Planner) finished(now time.Time, finish *pb.OrderFinish) {
	u, ok := p.upstreams[finish.GetUpstream()]
	if !ok {
		return
	}
	u.pending = ""
	u.attempt++
	p.changed = true
	if finish.GetDone() {
		u.failures = 0
		return
	}
	u.failures++
	const maxDoublings = 6
	pause := failureMin << min(u.failures-1, maxDoublings)
	u.notUntil = now.Add(min(pause, failureMax))
}

// changeID names one order, so that a repeated issue is the same change.
func (p *Planner) changeID(u *upstream, wanted need) string {
	return fmt.Sprintf("placement-%d-%s-%d-%d-%s-%s-%s", p.term, u.report.GetUpstream(), u.report.GetIncarnation(),
		u.attempt, wanted.kind, wanted.subject, wanted.version)
}
