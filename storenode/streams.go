package storenode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/replica"
	"github.com/briarcross/briarcross/transport"
)

// requestTimeout limits the processing of a request from another daemon, without
// the wait that a page query specifies.
const requestTimeout = time.Second

// serveStream serves one stream from another daemon.
func (n *Node) serveStream(_ transport.Class, stream *transport.Stream) {
	for {
		envelope, err := stream.Receive()
		if err != nil {
			return
		}
		switch body := envelope.GetBody().(type) {
		case *pb.Envelope_Quorum:
			if r := n.replica.Load(); r != nil {
				r.Receive(body.Quorum)
			}
		case *pb.Envelope_ControlRequest:
			response := n.handleRequest(body.ControlRequest)
			if stream.Send(&pb.Envelope{Body: &pb.Envelope_ControlResponse{ControlResponse: response}}) != nil {
				return
			}
		case *pb.Envelope_ItemRun:
			n.worker.serve(stream, body.ItemRun)
			return
		default:
			return
		}
	}
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
