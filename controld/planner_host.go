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

// plannerHost runs the placement planner and executes its outputs.
type plannerHost struct {
	daemon  *Daemon
	planner *placement.Planner
	loop    *loop.Loop[placement.Input, placement.Output]
}

func newPlannerHost(d *Daemon) *plannerHost {
	p := &plannerHost{daemon: d}
	p.planner = placement.New(placement.Options{
		WeightBytes:          d.settings.WeightBytes,
		WeightBytesPerSecond: d.settings.WeightBytesPerSecond,
		WeightBurstBytes:     d.settings.WeightBytes,
		SettleTime:           d.settings.SettleTime,
	})
	p.loop = loop.Start[placement.Input, placement.Output](p.planner, placementTick, p.executeOutput)
	return p
}

func (p *plannerHost) leadershipChanged(term uint64, leading bool) {
	p.loop.Post(placement.LeadershipChange{Term: term, Leading: leading})
	if leading {
		p.daemon.inBackground(p.postServices)
	}
}

// commandApplied gives the planner the applied commands that concern placement.
func (p *plannerHost) commandApplied(command *pb.Command, result *pb.CommandResult) {
	if result.GetChange().GetOutcome() == pb.ChangeOutcome_CHANGE_ACCEPTED {
		p.daemon.inBackground(p.postServices)
	}
	if finish := command.GetOrderFinish(); finish != nil && result.GetOrder().GetAccepted() {
		p.loop.Post(placement.OrderFinished{Finish: finish})
	}
}

// postServices gives the planner the services of the applied configuration.
func (p *plannerHost) postServices() {
	query := &pb.Query{Query: &pb.Query_Config{Config: &pb.ConfigQuery{}}}
	var services []*pb.Service
	for _, document := range p.daemon.queryState(query).GetConfig().GetDocuments() {
		if service := document.GetService(); service != nil {
			services = append(services, service)
		}
	}
	p.loop.Post(placement.ServicesChanged{Services: services})
}

func (p *plannerHost) executeOutput(out placement.Output) {
	issue, ok := out.(placement.IssueOrder)
	if !ok {
		return
	}
	p.daemon.inBackground(func() { p.proposeOrder(issue.Issue) })
}

func (p *plannerHost) proposeOrder(issue *pb.OrderIssue) {
	ctx, cancel := context.WithTimeout(p.daemon.ctx, requestTimeout)
	defer cancel()
	command := &pb.Command{Op: &pb.Command_OrderIssue{OrderIssue: issue}}
	result, controlErr := p.daemon.replica.Propose(ctx, command)
	if controlErr == nil {
		p.daemon.logger.Info("placement order proposed", "upstream", issue.GetOrder().GetUpstream(), "kind", issue.GetOrder().GetKind(),
			"subject", issue.GetOrder().GetSubject(), "accepted", result.GetOrder().GetAccepted(), "reason", result.GetOrder().GetReason())
	}
	p.loop.Post(placement.IssueResult{
		ChangeID: issue.GetChangeId(),
		Upstream: issue.GetOrder().GetUpstream(),
		Result:   result.GetOrder(),
	})
}

// handleReport gives an upstream's report to the planner and responds with the
// orders of the upstream in this replica's state. No quorum confirms them, so
// the sidecar takes them as a hint only.
func (p *plannerHost) handleReport(report *pb.UpstreamReport) *pb.ControlResponse {
	leader, address, isLeader := p.daemon.replica.Leader()
	if !isLeader {
		return errorResponse(&pb.ControlError{Code: pb.ControlError_NOT_LEADER, Leader: leader, LeaderAddress: address})
	}
	query := &pb.Query{Query: &pb.Query_Order{Order: &pb.OrderQuery{Upstream: report.GetUpstream()}}}
	var result *pb.QueryResult
	p.daemon.view(func(reader kv.Reader) { result = p.daemon.state.Query(reader, query) })
	stored := proto.CloneOf(report)
	stored.Outstanding = result.GetOrder().GetOutstanding()
	stored.SeenUnixMs = uint64(time.Now().UnixMilli())
	p.loop.Post(placement.ReportReceived{Report: stored})
	return queryResponse(result)
}

// listUpstreams responds with the latest reports of the upstreams. Only the
// leader has them.
func (p *plannerHost) listUpstreams() *pb.ControlResponse {
	leader, address, isLeader := p.daemon.replica.Leader()
	if !isLeader {
		return errorResponse(&pb.ControlError{Code: pb.ControlError_NOT_LEADER, Leader: leader, LeaderAddress: address})
	}
	reports := &pb.UpstreamAnswer{}
	p.loop.Do(func() { reports.Upstreams = p.planner.Upstreams() })
	return queryResponse(&pb.QueryResult{Result: &pb.QueryResult_Upstream{Upstream: reports}})
}
