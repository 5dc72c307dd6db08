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

// serveStream handles one stream of another daemon.
func (d *Daemon) serveStream(_ transport.Class, stream *transport.Stream) {
	for {
		envelope, err := stream.Receive()
		if err != nil {
			return
		}
		if !permitted(stream, envelope) {
			d.metrics.refused.WithLabelValues("ROLE").Inc()
			return
		}
		switch body := envelope.GetBody().(type) {
		case *pb.Envelope_Quorum:
			d.replica.Receive(body.Quorum)
		case *pb.Envelope_ControlRequest:
			if d.answer(stream, body.ControlRequest) != nil {
				return
			}
		case *pb.Envelope_ConfigWatch:
			d.watchers.serve(stream, body.ConfigWatch)
			return
		case *pb.Envelope_LeaseRequest:
			if d.leases.answer(stream, body.LeaseRequest) != nil {
				return
			}
		default:
			return
		}
	}
}

// permitted reports whether the sender's certificate entitles it to a message.
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

// permittedRequest lets entries submit what callers ask for, and sidecars only
// read. Changes of the configuration come through the operators' interface.
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

func (d *Daemon) answer(stream *transport.Stream, request *pb.ControlRequest) error {
	ctx, cancel := context.WithTimeout(d.ctx, requestTimeout)
	defer cancel()
	response := d.handle(ctx, request)
	return stream.Send(&pb.Envelope{Body: &pb.Envelope_ControlResponse{ControlResponse: response}})
}

func (d *Daemon) handle(ctx context.Context, request *pb.ControlRequest) *pb.ControlResponse {
	switch body := request.GetRequest().(type) {
	case *pb.ControlRequest_Propose:
		return d.propose(ctx, body.Propose)
	case *pb.ControlRequest_Query:
		return d.answerQuery(ctx, body.Query)
	case *pb.ControlRequest_Report:
		return d.placer.report(body.Report)
	default:
		return errorResponse(&pb.ControlError{Code: pb.ControlError_INVALID, Reason: "request without a body"})
	}
}

func (d *Daemon) propose(ctx context.Context, command *pb.Command) *pb.ControlResponse {
	result, controlErr := d.replica.Propose(ctx, command)
	if controlErr != nil {
		d.metrics.refused.WithLabelValues(controlErr.GetCode().String()).Inc()
		return errorResponse(controlErr)
	}
	return &pb.ControlResponse{Response: &pb.ControlResponse_Result{Result: result}}
}

func (d *Daemon) answerQuery(ctx context.Context, query *pb.Query) *pb.ControlResponse {
	if !query.GetStale() {
		if controlErr := d.replica.Confirm(ctx); controlErr != nil {
			d.metrics.refused.WithLabelValues(controlErr.GetCode().String()).Inc()
			return errorResponse(controlErr)
		}
	}
	if query.GetUpstream() != nil {
		return d.placer.upstreams()
	}
	if query.GetStatus() != nil {
		return queryResponse(&pb.QueryResult{Result: &pb.QueryResult_Status{Status: d.statusFor(ctx, query)}})
	}
	return queryResponse(d.query(query))
}

func (d *Daemon) statusFor(ctx context.Context, query *pb.Query) *pb.StatusAnswer {
	if query.GetStale() {
		return d.localStatus()
	}
	return d.status(ctx)
}

// status returns the state of the group as the leader sees it, with the daemons
// that are attached to any replica.
func (d *Daemon) status(ctx context.Context) *pb.StatusAnswer {
	id, address, self := d.replica.Leader()
	status := d.localStatus()
	if !self && id != "" {
		if seen := d.peerStatus(ctx, address); seen != nil {
			seen.Daemons = append(seen.Daemons, status.GetDaemons()...)
			status = seen
		}
	}
	status.Daemons = append(status.Daemons, d.otherDaemons(ctx, status.GetReplicas(), id)...)
	status.Daemons = latestReports(status.GetDaemons())
	return status
}

// latestReports returns the latest report of each daemon, in the order of their
// names. A daemon that has just moved to another replica has two.
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

// otherDaemons asks the replicas besides this one and the leader, all at the
// same time, for the daemons attached to them.
func (d *Daemon) otherDaemons(ctx context.Context, replicas []*pb.ReplicaStatus, leader string) []*pb.DaemonRevision {
	var asked errgroup.Group
	found := make([][]*pb.DaemonRevision, len(replicas))
	for i, replica := range replicas {
		other := replica.GetReplica()
		if other.GetId() == d.settings.ID || other.GetId() == leader {
			continue
		}
		asked.Go(func() error {
			found[i] = d.peerStatus(ctx, other.GetAddress()).GetDaemons()
			return nil
		})
	}
	_ = asked.Wait()
	return slices.Concat(found...)
}

// localStatus returns what this replica knows by itself.
func (d *Daemon) localStatus() *pb.StatusAnswer {
	status := proto.Clone(d.replica.Status()).(*pb.StatusAnswer)
	status.ConfigRevision = d.revision()
	d.publisher.Do(func() { status.Daemons = d.spread.Daemons() })
	return status
}

const peerStatusTimeout = 500 * time.Millisecond

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
