package storenode

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/clientlimit"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/replica"
	"github.com/briarcross/briarcross/transport"
)

// requestTimeout limits the processing of a request from another daemon, without
// the wait that a page query specifies.
const requestTimeout = time.Second

// requestCost is the memory for a byte of a request: as received, as a command, in the log, in
// the store, and in the messages to other replicas.
const requestCost = 8

// responseCost is the memory for a byte of a response: as a message and encoded.
const responseCost = 2

// serveStream serves one stream from another daemon.
func (n *Node) serveStream(class transport.Class, stream *transport.Stream) {
	for n.serveNext(class, stream) {
	}
}

// serveNext serves the next message of a stream, and reports whether another may follow. What
// entries send for callers is admitted only as far as there is memory for it. The messages of the
// group are not limited here: its leader sends what it has admitted.
func (n *Node) serveNext(class transport.Class, stream *transport.Stream) bool {
	held := n.clients.Begin()
	defer held.End()
	envelope, err := stream.ReceiveAdmitted(func(bytes int) bool {
		return class != transport.Batch || held.Grow(requestCost*int64(bytes)) == nil
	})
	if errors.Is(err, transport.ErrNotAdmitted) {
		// The stream ends too: if the message was a run for this worker, its leader takes it for lost.
		sendResponse(stream, n.refuseFull())
		return false
	}
	if err != nil {
		return false
	}
	switch body := envelope.GetBody().(type) {
	case *pb.Envelope_Quorum:
		if r := n.replica.Load(); r != nil {
			r.Receive(body.Quorum)
		}
		return true
	case *pb.Envelope_ControlRequest:
		response := n.handleRequest(body.ControlRequest)
		// A read can be refused even now. It was not known before how much there is to read.
		if response.GetQuery() != nil && held.Grow(responseCost*int64(proto.Size(response))) != nil {
			response = errorResponse(&pb.ControlError{Code: pb.ControlError_OVERLOADED, Reason: "no memory for the response"})
		}
		return sendResponse(stream, response)
	case *pb.Envelope_ItemRun:
		// Runs are limited by the slots of engines.
		held.Release()
		n.worker.serve(stream, body.ItemRun)
	}
	return false
}

func sendResponse(stream *transport.Stream, response *pb.ControlResponse) bool {
	return stream.Send(&pb.Envelope{Body: &pb.Envelope_ControlResponse{ControlResponse: response}}) == nil
}

// refuseFull refuses a request for which there is no memory. Another replica may lead and have some.
func (n *Node) refuseFull() *pb.ControlResponse {
	if r := n.replica.Load(); r != nil {
		_, leaderAddress, leading := r.Leader()
		if leading {
			return errorResponse(&pb.ControlError{Code: pb.ControlError_FULL, Reason: "no memory for the request"})
		}
		return errorResponse(&pb.ControlError{Code: pb.ControlError_NOT_LEADER, LeaderAddress: leaderAddress, Reason: "no memory for the request, and not the leader"})
	}
	return errorResponse(&pb.ControlError{Code: pb.ControlError_NOT_LEADER, Reason: "the replica is not open yet"})
}

func (n *Node) handleRequest(request *pb.ControlRequest) *pb.ControlResponse {
	r := n.replica.Load()
	if r == nil {
		return errorResponse(&pb.ControlError{Code: pb.ControlError_NOT_LEADER, Reason: "the replica is not open yet"})
	}
	if !isMember(r.Status(), n.settings.Address) {
		return errorResponse(&pb.ControlError{Code: pb.ControlError_NOT_LEADER, Reason: "not a member of the storage group"})
	}
	ctx, cancel := context.WithTimeout(n.ctx, requestTimeout)
	defer cancel()
	switch body := request.GetRequest().(type) {
	case *pb.ControlRequest_Propose:
		if controlErr := n.refuseBacklog(r, body.Propose.GetPageSubmit()); controlErr != nil {
			return errorResponse(controlErr)
		}
		result, controlErr := r.Propose(ctx, body.Propose)
		if controlErr != nil {
			return errorResponse(controlErr)
		}
		return &pb.ControlResponse{Response: &pb.ControlResponse_Result{Result: result}}
	case *pb.ControlRequest_Query:
		if controlErr := r.ReadBarrier(ctx); controlErr != nil {
			return errorResponse(controlErr)
		}
		return &pb.ControlResponse{Response: &pb.ControlResponse_Query{Query: n.query(r, body.Query)}}
	}
	return errorResponse(&pb.ControlError{Code: pb.ControlError_INVALID, Reason: "request without a body"})
}

// refuseBacklog returns an error for a new job if too much is open for it. It returns nil for a nil
// job, and at a replica that does not lead.
func (n *Node) refuseBacklog(r *replica.Replica, submit *pb.PageSubmit) *pb.ControlError {
	if _, _, leading := r.Leader(); submit == nil || !leading {
		return nil
	}
	var open, job clientlimit.Backlog
	open.Items, open.Bytes = n.state.OpenSize()
	for _, item := range submit.GetItems() {
		job.Items++
		job.Bytes += int64(proto.Size(item))
	}
	if n.settings.BacklogLimit().Admits(open, job) {
		return nil
	}
	known := false
	r.View(func(reader kv.Reader) { known = jobpages.IsKnown(reader, submit.GetJobId()) })
	if known {
		return nil
	}
	n.metrics.backlogRefusals.Inc()
	return &pb.ControlError{Code: pb.ControlError_FULL, Reason: "too many items are open"}
}

// isMember reports whether the group has a replica at an address. A spare must not
// wait for a leader that it may never hear of.
func isMember(status *pb.StatusAnswer, address string) bool {
	return slices.ContainsFunc(status.GetReplicas(), func(r *pb.ReplicaStatus) bool { return r.GetReplica().GetAddress() == address })
}

func errorResponse(controlErr *pb.ControlError) *pb.ControlResponse {
	return &pb.ControlResponse{Response: &pb.ControlResponse_Error{Error: controlErr}}
}

func (n *Node) query(r *replica.Replica, query *pb.Query) *pb.QueryResult {
	switch q := query.GetQuery().(type) {
	case *pb.Query_Page:
		return &pb.QueryResult{Result: &pb.QueryResult_Page{Page: n.readPage(r, q.Page)}}
	case *pb.Query_PageBody:
		var itemBody *pb.PageBodyAnswer
		r.View(func(reader kv.Reader) { itemBody = jobpages.ReadItemBody(reader, q.PageBody) })
		return &pb.QueryResult{Result: &pb.QueryResult_PageBody{PageBody: itemBody}}
	}
	return &pb.QueryResult{}
}

// readPage reads a page of a job's results. If there are none and the job is
// unfinished, it waits for a change of the job, up to the wait of the query.
func (n *Node) readPage(r *replica.Replica, query *pb.PageQuery) *pb.PageAnswer {
	ctx, cancel := context.WithTimeout(n.ctx, time.Duration(query.GetWaitMs())*time.Millisecond)
	defer cancel()
	for {
		changed := n.notifier.nextChange(query.GetJobId())
		var page *pb.PageAnswer
		finished := false
		r.View(func(reader kv.Reader) {
			page = jobpages.ReadPage(reader, query)
			finished = jobpages.IsFinished(reader, query.GetJobId())
		})
		if len(page.GetEntries()) > 0 || finished || query.GetWaitMs() == 0 {
			return page
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return page
		}
	}
}

// jobNotifier notifies the readers of a job when the job changes.
type jobNotifier struct {
	mu sync.Mutex
	// changed holds, by job ID, the channels that readers wait on.
	changed map[string]chan struct{}
}

func newJobNotifier() *jobNotifier {
	return &jobNotifier{changed: make(map[string]chan struct{})}
}

// nextChange returns a channel that is closed at the next change of a job.
func (j *jobNotifier) nextChange(jobID string) <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	changed, ok := j.changed[jobID]
	if !ok {
		changed = make(chan struct{})
		j.changed[jobID] = changed
	}
	return changed
}

func (j *jobNotifier) notify(jobID string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if changed, ok := j.changed[jobID]; ok {
		close(changed)
		delete(j.changed, jobID)
	}
}
