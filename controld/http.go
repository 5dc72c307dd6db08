package controld

import (
	"context"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/operator"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

const maxOperatorBodyBytes = 4 << 20

// operatorServer serves the operators' HTTP interface. Every replica serves it
// and forwards changes to the leader.
type operatorServer struct {
	daemon    *Daemon
	readiness daemon.Readiness
	server    *daemon.HTTPServer
}

func newOperatorServer(d *Daemon, guard *daemon.Guard) *operatorServer {
	s := &operatorServer{daemon: d}
	s.readiness.SetConfigured(true)
	s.server = daemon.NewHTTPServer(daemon.HTTPServerOptions{
		Readiness:     &s.readiness,
		Registry:      d.metrics.registry,
		Guard:         guard,
		OperatorsOnly: true,
		Logger:        d.logger,
		Handler:       s.handle,
		Configure: func(server *fasthttp.Server) {
			server.MaxRequestBodySize = maxOperatorBodyBytes
		},
	})
	return s
}

func (s *operatorServer) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case !daemon.ValidText(ctx):
		ctx.Error("path, query and headers must be UTF-8\n", fasthttp.StatusBadRequest)
	case path == operator.PathDocuments:
		s.serveDocuments(ctx)
	case path == operator.PathChanges && ctx.IsPost():
		s.serveChange(ctx)
	case path == operator.PathStatus:
		s.serveStatus(ctx)
	case path == operator.PathOrders && ctx.IsPost():
		s.serveOrder(ctx)
	case strings.HasPrefix(path, operator.PathOrders+"/"):
		upstream := strings.TrimPrefix(path, operator.PathOrders+"/")
		s.serveQuery(ctx, &pb.Query{Query: &pb.Query_Order{Order: &pb.OrderQuery{Upstream: upstream}}})
	case path == operator.PathUpstreams:
		s.serveQuery(ctx, &pb.Query{Query: &pb.Query_Upstream{Upstream: &pb.UpstreamQuery{}}})
	case path == operator.PathHistory:
		s.serveHistory(ctx)
	case path == operator.PathJobs:
		s.serveJobs(ctx)
	default:
		ctx.Error("no such path\n", fasthttp.StatusNotFound)
	}
}

// serveStatus responds with the status of the group. If the replica cannot
// confirm that its state is current, for example without a leader, it responds
// with its own view and sets Stale, since operators need the status most then.
func (s *operatorServer) serveStatus(request *fasthttp.RequestCtx) {
	queryCtx, cancel := context.WithTimeout(s.daemon.ctx, requestTimeout)
	defer cancel()
	query := &pb.Query{Query: &pb.Query_Status{Status: &pb.StatusQuery{}}}
	response := s.daemon.handleQuery(queryCtx, query)
	if response.GetError() != nil {
		query.Stale = true
		response = s.daemon.handleQuery(queryCtx, query)
		response.GetQuery().GetStatus().Stale = true
	}
	writeJSON(request, fasthttp.StatusOK, response.GetQuery())
}

func (s *operatorServer) serveDocuments(ctx *fasthttp.RequestCtx) {
	name := string(ctx.QueryArgs().Peek("name"))
	s.serveQuery(ctx, &pb.Query{Query: &pb.Query_Config{Config: &pb.ConfigQuery{Name: name}}})
}

func (s *operatorServer) serveHistory(ctx *fasthttp.RequestCtx) {
	before, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("before")), 10, 64)
	query := &pb.ConfigHistoryQuery{
		Before: before,
		Limit:  uint32(max(0, ctx.QueryArgs().GetUintOrZero("limit"))),
	}
	s.serveQuery(ctx, &pb.Query{Query: &pb.Query_History{History: query}})
}

func (s *operatorServer) serveJobs(ctx *fasthttp.RequestCtx) {
	list := &pb.JobListQuery{
		Caller: string(ctx.QueryArgs().Peek("caller")),
		After:  string(ctx.QueryArgs().Peek("after")),
		Limit:  uint32(max(0, ctx.QueryArgs().GetUintOrZero("limit"))),
	}
	s.serveQuery(ctx, &pb.Query{Query: &pb.Query_JobList{JobList: list}})
}

func (s *operatorServer) serveQuery(request *fasthttp.RequestCtx, query *pb.Query) {
	queryCtx, cancel := context.WithTimeout(s.daemon.ctx, requestTimeout)
	defer cancel()
	response := s.queryLocalOrLeader(queryCtx, query)
	if response.GetError() != nil {
		writeControlError(request, response.GetError())
		return
	}
	writeJSON(request, fasthttp.StatusOK, response.GetQuery())
}

// queryLocalOrLeader runs a query on this replica, or on the leader if only the
// leader has the data, as for reports of upstreams.
func (s *operatorServer) queryLocalOrLeader(ctx context.Context, query *pb.Query) *pb.ControlResponse {
	_, address, isLeader := s.daemon.replica.Leader()
	if isLeader || query.GetUpstream() == nil {
		return s.daemon.handleQuery(ctx, query)
	}
	result, controlErr := s.daemon.control.QueryReplica(ctx, address, query)
	if controlErr != nil {
		return errorResponse(controlErr)
	}
	return queryResponse(result)
}

func (s *operatorServer) serveChange(ctx *fasthttp.RequestCtx) {
	change := &pb.ConfigChange{}
	if err := protojson.Unmarshal(ctx.PostBody(), change); err != nil {
		writeControlError(ctx, &pb.ControlError{Code: pb.ControlError_INVALID, Reason: err.Error()})
		return
	}
	command := &pb.Command{Op: &pb.Command_ConfigChange{ConfigChange: change}}
	result, controlErr := s.proposeToLeader(command)
	if controlErr != nil {
		writeControlError(ctx, controlErr)
		return
	}
	writeJSON(ctx, changeStatus(result.GetChange()), result.GetChange())
}

func changeStatus(result *pb.ChangeResult) int {
	switch result.GetOutcome() {
	case pb.ChangeOutcome_CHANGE_ACCEPTED:
		return fasthttp.StatusOK
	case pb.ChangeOutcome_CHANGE_CONFLICT:
		return fasthttp.StatusConflict
	default:
		return fasthttp.StatusBadRequest
	}
}

func (s *operatorServer) serveOrder(ctx *fasthttp.RequestCtx) {
	issue := &pb.OrderIssue{}
	if err := protojson.Unmarshal(ctx.PostBody(), issue); err != nil {
		writeControlError(ctx, &pb.ControlError{Code: pb.ControlError_INVALID, Reason: err.Error()})
		return
	}
	s.setWeightRate(issue)
	command := &pb.Command{Op: &pb.Command_OrderIssue{OrderIssue: issue}}
	result, controlErr := s.proposeToLeader(command)
	if controlErr != nil {
		writeControlError(ctx, controlErr)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, result.GetOrder())
}

// setWeightRate limits an operator's order to load a model or adapter to the
// read rate of the weight store, as the placement planner does for its own
// orders.
func (s *operatorServer) setWeightRate(issue *pb.OrderIssue) {
	switch issue.GetOrder().GetKind() {
	case pb.OrderKind_ORDER_LOAD_MODEL, pb.OrderKind_ORDER_LOAD_ADAPTER:
		issue.GetOrder().WeightBytes = s.daemon.settings.WeightBytes
		issue.WeightBytesPerSecond = s.daemon.settings.WeightBytesPerSecond
		issue.WeightBurstBytes = s.daemon.settings.WeightBytes
	}
}

// proposeToLeader proposes a command on this replica if it is the leader, and
// otherwise sends it to the leader.
func (s *operatorServer) proposeToLeader(command *pb.Command) (*pb.CommandResult, *pb.ControlError) {
	ctx, cancel := context.WithTimeout(s.daemon.ctx, requestTimeout)
	defer cancel()
	_, address, isLeader := s.daemon.replica.Leader()
	if isLeader {
		return s.daemon.replica.Propose(ctx, command)
	}
	s.daemon.control.SetLeaderAddress(address)
	return s.daemon.control.Propose(ctx, transport.Control, command)
}

func writeControlError(ctx *fasthttp.RequestCtx, controlErr *pb.ControlError) {
	status := fasthttp.StatusServiceUnavailable
	if controlErr.GetCode() == pb.ControlError_INVALID {
		status = fasthttp.StatusBadRequest
	}
	writeJSON(ctx, status, controlErr)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, message proto.Message) {
	body, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetStatusCode(status)
	ctx.SetBody(body)
}
