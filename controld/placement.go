package controld

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/loop"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/placement"
)

const placementTick = 200 * time.Millisecond

// placer is the shell of the placement planner.
type placer struct {
	daemon  *Daemon
	planner *placement.Planner
	loop    *loop.Loop[placement.Input, placement.Output]
}

func newPlacer(d *Daemon) *placer {
	p := &placer{daemon: d}
	p.planner = placement.New(placement.Options{
		WeightBytes:          d.settings.WeightBytes,
		WeightBytesPerSecond: d.settings.WeightBytesPerSecond,
		WeightBurstBytes:     d.settings.WeightBytes,
		SettleTime:           d.settings.SettleTime,
	})
	p.loop = loop.Start[placement.Input, placement.Output](p.planner, placementTick, p.carry)
	return p
}

func (p *placer) lead(term uint64, leading bool) {
	p.loop.Post(placement.LeadershipChange{Term: term, Leading: leading})
	if leading {
		p.daemon.inBackground(p.postServices)
	}
}

// applied passes on committed commands that concern placement.
func (p *placer) applied(command *pb.Command, result *pb.CommandResult) {
	if result.GetChange().GetOutcome() == pb.ChangeOutcome_CHANGE_ACCEPTED {
		p.daemon.inBackground(p.postServices)
	}
	if finish := command.GetOrderFinish(); finish != nil && result.GetOrder().GetAccepted() {
		p.loop.Post(placement.OrderFinished{Finish: finish})
	}
}

// postServices gives the planner the services as they stand.
func (p *placer) postServices() {
	query := &pb.Query{Query: &pb.Query_Config{Config: &pb.ConfigQuery{}}}
	var services []*pb.Service
	for _, document := range p.daemon.query(query).GetConfig().GetDocuments() {
		if service := document.GetService(); service != nil {
			services = append(services, service)
		}
	}
	p.loop.Post(placement.ServicesChanged{Services: services})
}

func (p *placer) carry(out placement.Output) {
	issue, ok := out.(placement.IssueOrder)
	if !ok {
		return
	}
	p.daemon.inBackground(func() { p.issue(issue.Issue) })
}

func (p *placer) issue(issue *pb.OrderIssue) {
	ctx, cancel := context.WithTimeout(p.daemon.ctx, requestTimeout)
	defer cancel()
	command := &pb.Command{Op: &pb.Command_OrderIssue{OrderIssue: issue}}
	result, controlErr := p.daemon.replica.Propose(ctx, command)
	if controlErr == nil {
		p.daemon.logger.Info("order issued", "upstream", issue.GetOrder().GetUpstream(), "kind", issue.GetOrder().GetKind(),
			"subject", issue.GetOrder().GetSubject(), "accepted", result.GetOrder().GetAccepted(), "reason", result.GetOrder().GetReason())
	}
	p.loop.Post(placement.IssueResult{
		ChangeID: issue.GetChangeId(),
		Upstream: issue.GetOrder().GetUpstream(),
		Result:   result.GetOrder(),
	})
}

// report takes an upstream's report and answers with its orders as this replica
// has them, which the sidecar takes as a hint.
func (p *placer) report(report *pb.UpstreamReport) *pb.ControlResponse {
	leader, address, self := p.daemon.replica.Leader()
	if !self {
		return errorResponse(&pb.ControlError{Code: pb.ControlError_NOT_LEADER, Leader: leader, LeaderAddress: address})
	}
	query := &pb.Query{Query: &pb.Query_Order{Order: &pb.OrderQuery{Upstream: report.GetUpstream()}}}
	var result *pb.QueryResult
	p.daemon.view(func(reader kv.Reader) { result = p.daemon.state.Query(reader, query) })
	held := proto.CloneOf(report)
	held.Outstanding = result.GetOrder().GetOutstanding()
	held.SeenUnixMs = uint64(time.Now().UnixMilli())
	p.loop.Post(placement.ReportReceived{Report: held})
	return queryResponse(result)
}

// upstreams lists what the leader knows of the upstreams.
func (p *placer) upstreams() *pb.ControlResponse {
	leader, address, self := p.daemon.replica.Leader()
	if !self {
		return errorResponse(&pb.ControlError{Code: pb.ControlError_NOT_LEADER, Leader: leader, LeaderAddress: address})
	}
	answer := &pb.UpstreamAnswer{}
	p.loop.Do(func() { answer.Upstreams = p.planner.Upstreams() })
	return queryResponse(&pb.QueryResult{Result: &pb.QueryResult_Upstream{Upstream: answer}})
}
