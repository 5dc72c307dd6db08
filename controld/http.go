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

// operatorServer is the operators' HTTP interface. Any replica serves it and
// passes changes on to the leader.
type operatorServer struct {
	daemon    *Daemon
	readiness daemon.Readiness
	http      *daemon.HTTP
}

func newOperatorServer(d *Daemon, guard *daemon.Guard) *operatorServer {
	s := &operatorServer{daemon: d}
	s.readiness.SetConfigured(true)
	s.http = daemon.NewHTTP(daemon.HTTPOptions{
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
	case path == operator.PathDocuments:
		s.documents(ctx)
	case path == operator.PathChanges && ctx.IsPost():
		s.change(ctx)
	case path == operator.PathStatus:
		s.status(ctx)
	case path == operator.PathOrders && ctx.IsPost():
		s.order(ctx)
	case strings.HasPrefix(path, operator.PathOrders+"/"):
		upstream := strings.TrimPrefix(path, operator.PathOrders+"/")
		s.query(ctx, &pb.Query{Query: &pb.Query_Order{Order: &pb.OrderQuery{Upstream: upstream}}})
	case path == operator.PathUpstreams:
		s.query(ctx, &pb.Query{Query: &pb.Query_Upstream{Upstream: &pb.UpstreamQuery{}}})
	case path == operator.PathHistory:
		s.history(ctx)
	case path == operator.PathJobs:
		s.jobs(ctx)
	default:
		ctx.Error("no such path\n", fasthttp.StatusNotFound)
	}
}

// status answers also when no leader can confirm it, since operators need it
// most then; the answer says so.
func (s *operatorServer) status(ctx *fasthttp.RequestCtx) {
	timeout, cancel := context.WithTimeout(s.daemon.ctx, requestTimeout)
	defer cancel()
	query := &pb.Query{Query: &pb.Query_Status{Status: &pb.StatusQuery{}}}
	response := s.daemon.answerQuery(timeout, query)
	if response.GetError() != nil {
		query.Stale = true
		response = s.daemon.answerQuery(timeout, query)
		response.GetQuery().GetStatus().Stale = true
	}
	writeJSON(ctx, fasthttp.StatusOK, response.GetQuery())
}

func (s *operatorServer) documents(ctx *fasthttp.RequestCtx) {
	name := string(ctx.QueryArgs().Peek("name"))
	s.query(ctx, &pb.Query{Query: &pb.Query_Config{Config: &pb.ConfigQuery{Name: name}}})
}

func (s *operatorServer) history(ctx *fasthttp.RequestCtx) {
	before, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("before")), 10, 64)
	query := &pb.ConfigHistoryQuery{
		Before: before,
		Limit:  uint32(max(0, ctx.QueryArgs().GetUintOrZero("limit"))),
	}
	s.query(ctx, &pb.Query{Query: &pb.Query_History{History: query}})
}

func (s *operatorServer) jobs(ctx *fasthttp.RequestCtx) {
	list := &pb.JobListQuery{
		Caller: string(ctx.QueryArgs().Peek("caller")),
		After:  string(ctx.QueryArgs().Peek("after")),
		Limit:  uint32(max(0, ctx.QueryArgs().GetUintOrZero("limit"))),
	}
	s.query(ctx, &pb.Query{Query: &pb.Query_JobList{JobList: list}})
}

func (s *operatorServer) query(ctx *fasthttp.RequestCtx, query *pb.Query) {
	timeout, cancel := context.WithTimeout(s.daemon.ctx, requestTimeout)
	defer cancel()
	response := s.answer(timeout, query)
	if response.GetError() != nil {
		writeControlError(ctx, response.GetError())
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, response.GetQuery())
}

// answer reads here, or from the leader what only the leader knows.
func (s *operatorServer) answer(ctx context.Context, query *pb.Query) *pb.ControlResponse {
	_, address, self := s.daemon.replica.Leader()
	if self || query.GetUpstream() == nil {
		return s.daemon.answerQuery(ctx, query)
	}
	result, controlErr := s.daemon.control.QueryReplica(ctx, address, query)
	if controlErr != nil {
		return errorResponse(controlErr)
	}
	return queryResponse(result)
}

func (s *operatorServer) change(ctx *fasthttp.RequestCtx) {
	change := &pb.ConfigChange{}
	if err := protojson.Unmarshal(ctx.PostBody(), change); err != nil {
		writeControlError(ctx, &pb.ControlError{Code: pb.ControlError_INVALID, Reason: err.Error()})
		return
	}
	command := &pb.Command{Op: &pb.Command_ConfigChange{ConfigChange: change}}
	result, controlErr := s.propose(command)
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

func (s *operatorServer) order(ctx *fasthttp.RequestCtx) {
	issue := &pb.OrderIssue{}
	if err := protojson.Unmarshal(ctx.PostBody(), issue); err != nil {
		writeControlError(ctx, &pb.ControlError{Code: pb.ControlError_INVALID, Reason: err.Error()})
		return
	}
	s.pace(issue)
	command := &pb.Command{Op: &pb.Command_OrderIssue{OrderIssue: issue}}
	result, controlErr := s.propose(command)
	if controlErr != nil {
		writeControlError(ctx, controlErr)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, result.GetOrder())
}

// pace gives an operator's load the rate of the weight store, as the planner
// does for its own orders.
func (s *operatorServer) pace(issue *pb.OrderIssue) {
	switch issue.GetOrder().GetKind() {
	case pb.OrderKind_ORDER_LOAD_MODEL, pb.OrderKind_ORDER_LOAD_ADAPTER:
		issue.GetOrder().WeightBytes = s.daemon.settings.WeightBytes
		issue.WeightBytesPerSecond = s.daemon.settings.WeightRate
		issue.WeightBurstBytes = s.daemon.settings.WeightBytes
	}
}

// propose has a command carried out here when this replica leads, and else by
// the leader.
func (s *operatorServer) propose(command *pb.Command) (*pb.CommandResult, *pb.ControlError) {
	ctx, cancel := context.WithTimeout(s.daemon.ctx, requestTimeout)
	defer cancel()
	_, address, self := s.daemon.replica.Leader()
	if self {
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
