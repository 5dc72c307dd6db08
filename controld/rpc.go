package controld

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

const requestTimeout = 3 * time.Second

// serveStream serves one stream of another daemon until it ends or carries a
// message that its certificate doesn't permit.
func (d *Daemon) serveStream(_ transport.Class, stream *transport.Stream) {
	for {
		envelope, err := stream.Receive()
		if err != nil {
			return
		}
		if !permitted(stream, envelope) {
			d.metrics.refusals.WithLabelValues("ROLE").Inc()
			return
		}
		switch body := envelope.GetBody().(type) {
		case *pb.Envelope_Quorum:
			d.replica.Receive(body.Quorum)
		case *pb.Envelope_ControlRequest:
			if d.serveRequest(stream, body.ControlRequest) != nil {
				return
			}
		case *pb.Envelope_ConfigWatch:
			d.configWatchers.serve(stream, body.ConfigWatch)
			return
		case *pb.Envelope_LeaseRequest:
			if d.leaseServer.serveRequest(stream, body.LeaseRequest) != nil {
				return
			}
		default:
			return
		}
	}
}

// permitted reports whether the role in the sender's certificate permits a
// message.
func permitted(stream *transport.Stream, envelope *pb.Envelope) bool {
	if stream.HasRole(transport.RoleControl) {
		return true
	}
	switch body := envelope.GetBody().(type) {
	case *pb.Envelope_ConfigWatch:
		return stream.HasRole(transport.RoleEntry) || stream.HasRole(transport.RoleSidecar)
	case *pb.Envelope_LeaseRequest:
		return stream.HasRole(transport.RoleSidecar)
	case *pb.Envelope_ControlRequest:
		return permittedRequest(stream, body.ControlRequest)
	default:
		return false
	}
}

// permittedRequest reports whether an entry or sidecar may send a request. Both
// may query. Entries may propose claims and jobs for callers; sidecars may
// report on their upstreams and finish orders. Configuration changes are
// accepted only on the operators' interface.
func permittedRequest(stream *transport.Stream, request *pb.ControlRequest) bool {
	if request.GetReport() != nil {
		return stream.HasRole(transport.RoleSidecar)
	}
	switch request.GetPropose().GetOp().(type) {
	case nil:
		return stream.HasRole(transport.RoleEntry) || stream.HasRole(transport.RoleSidecar)
	case *pb.Command_ClaimOpen, *pb.Command_ClaimClose,
		*pb.Command_JobBegin, *pb.Command_JobChunk, *pb.Command_JobAccept, *pb.Command_JobAbort, *pb.Command_JobCancel:
		return stream.HasRole(transport.RoleEntry)
	case *pb.Command_OrderFinish:
		return stream.HasRole(transport.RoleSidecar)
	default:
		return false
	}
}

func (d *Daemon) serveRequest(stream *transport.Stream, request *pb.ControlRequest) error {
	ctx, cancel := context.WithTimeout(d.ctx, requestTimeout)
	defer cancel()
	response := d.handleRequest(ctx, request)
	return stream.Send(&pb.Envelope{Body: &pb.Envelope_ControlResponse{ControlResponse: response}})
}

func (d *Daemon) handleRequest(ctx context.Context, request *pb.ControlRequest) *pb.ControlResponse {
	switch body := request.GetRequest().(type) {
	case *pb.ControlRequest_Propose:
		return d.propose(ctx, body.Propose)
	case *pb.ControlRequest_Query:
		return d.handleQuery(ctx, body.Query)
	case *pb.ControlRequest_Report:
		return d.plannerHost.handleReport(body.Report)
	default:
		return errorResponse(&pb.ControlError{Code: pb.ControlError_INVALID, Reason: "request without a body"})
	}
}

func (d *Daemon) propose(ctx context.Context, command *pb.Command) *pb.ControlResponse {
	result, controlErr := d.replica.Propose(ctx, command)
	if controlErr != nil {
		d.metrics.refusals.WithLabelValues(controlErr.GetCode().String()).Inc()
		return errorResponse(controlErr)
	}
	return &pb.ControlResponse{Response: &pb.ControlResponse_Result{Result: result}}
}

func (d *Daemon) handleQuery(ctx context.Context, query *pb.Query) *pb.ControlResponse {
	if !query.GetStale() {
		if controlErr := d.replica.ReadBarrier(ctx); controlErr != nil {
			d.metrics.refusals.WithLabelValues(controlErr.GetCode().String()).Inc()
			return errorResponse(controlErr)
		}
	}
	if query.GetUpstream() != nil {
		return d.plannerHost.listUpstreams()
	}
	if query.GetStatus() != nil {
		return queryResponse(&pb.QueryResult{Result: &pb.QueryResult_Status{Status: d.statusOfQuery(ctx, query)}})
	}
	return queryResponse(d.queryState(query))
}

func (d *Daemon) statusOfQuery(ctx context.Context, query *pb.Query) *pb.StatusAnswer {
	if query.GetStale() {
		return d.localStatus()
	}
	return d.groupStatus(ctx)
}

// groupStatus returns the leader's view of the group, or this replica's view if
// the leader cannot be reached, with the daemons attached to all replicas.
func (d *Daemon) groupStatus(ctx context.Context) *pb.StatusAnswer {
	id, address, isLeader := d.replica.Leader()
	status := d.localStatus()
	if !isLeader && id != "" {
		if leaderStatus := d.peerStatus(ctx, address); leaderStatus != nil {
			leaderStatus.Daemons = append(leaderStatus.Daemons, status.GetDaemons()...)
			status = leaderStatus
		}
	}
	status.Daemons = append(status.Daemons, d.daemonsOfOtherReplicas(ctx, status.GetReplicas(), id)...)
	status.Daemons = latestReports(status.GetDaemons())
	return status
}

// latestReports returns the latest report of each daemon, sorted by the
// daemons' names. A daemon that has just moved to another replica has two
// reports.
func latestReports(reports []*pb.DaemonRevision) []*pb.DaemonRevision {
	slices.SortFunc(reports, func(a, b *pb.DaemonRevision) int {
		return cmp.Or(
			cmp.Compare(a.GetDaemon(), b.GetDaemon()),
			cmp.Compare(b.GetSeenUnixMs(), a.GetSeenUnixMs()),
		)
	})
	return slices.CompactFunc(reports, func(a, b *pb.DaemonRevision) bool {
		return a.GetDaemon() == b.GetDaemon()
	})
}

// daemonsOfOtherReplicas queries all replicas but this one and the leader
// concurrently for the daemons attached to them. A replica that doesn't respond
// is left out.
func (d *Daemon) daemonsOfOtherReplicas(ctx context.Context, replicas []*pb.ReplicaStatus, leader string) []*pb.DaemonRevision {
	var group errgroup.Group
	daemons := make([][]*pb.DaemonRevision, len(replicas))
	for i, replica := range replicas {
		other := replica.GetReplica()
		if other.GetId() == d.settings.ID || other.GetId() == leader {
			continue
		}
		group.Go(func() error {
			daemons[i] = d.peerStatus(ctx, other.GetAddress()).GetDaemons()
			return nil
		})
	}
	_ = group.Wait()
	return slices.Concat(daemons...)
}

// localStatus returns this replica's own view of the group, with the daemons
// attached to it.
func (d *Daemon) localStatus() *pb.StatusAnswer {
	status := proto.Clone(d.replica.Status()).(*pb.StatusAnswer)
	status.ConfigRevision = d.revision()
	d.publisherLoop.Do(func() { status.Daemons = d.publisher.Daemons() })
	return status
}

const peerStatusTimeout = 500 * time.Millisecond

// peerStatus returns another replica's own view of the group, or nil if the
// replica doesn't respond.
func (d *Daemon) peerStatus(ctx context.Context, address string) *pb.StatusAnswer {
	ctx, cancel := context.WithTimeout(ctx, peerStatusTimeout)
	defer cancel()
	query := &pb.Query{Stale: true, Query: &pb.Query_Status{Status: &pb.StatusQuery{}}}
	result, controlErr := d.control.QueryReplica(ctx, address, query)
	if controlErr != nil {
		return nil
	}
	return result.GetStatus()
}

func errorResponse(controlErr *pb.ControlError) *pb.ControlResponse {
	return &pb.ControlResponse{Response: &pb.ControlResponse_Error{Error: controlErr}}
}

func queryResponse(result *pb.QueryResult) *pb.ControlResponse {
	return &pb.ControlResponse{Response: &pb.ControlResponse_Query{Query: result}}
}
