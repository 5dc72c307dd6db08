package storenode

import (
	"context"
	"sync"
	"time"

	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/replica"
	"github.com/briarcross/briarcross/transport"
)

// requestTimeout bounds a request of another daemon, besides the wait that it
// asks for.
const requestTimeout = time.Second

// serveStream handles one stream of another daemon.
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
			response := n.handle(body.ControlRequest)
			if stream.Send(&pb.Envelope{Body: &pb.Envelope_ControlResponse{ControlResponse: response}}) != nil {
				return
			}
		default:
			return
		}
	}
}

func (n *Node) handle(request *pb.ControlRequest) *pb.ControlResponse {
	r := n.replica.Load()
	if r == nil {
		return failed(&pb.ControlError{Code: pb.ControlError_NOT_LEADER, Reason: "the replica is not open yet"})
	}
	ctx, cancel := context.WithTimeout(n.ctx, requestTimeout)
	defer cancel()
	switch body := request.GetRequest().(type) {
	case *pb.ControlRequest_Propose:
		result, controlErr := r.Propose(ctx, body.Propose)
		if controlErr != nil {
			return failed(controlErr)
		}
		return &pb.ControlResponse{Response: &pb.ControlResponse_Result{Result: result}}
	case *pb.ControlRequest_Query:
		if controlErr := r.ReadBarrier(ctx); controlErr != nil {
			return failed(controlErr)
		}
		return &pb.ControlResponse{Response: &pb.ControlResponse_Query{Query: n.query(r, body.Query)}}
	}
	return failed(&pb.ControlError{Code: pb.ControlError_INVALID, Reason: "request without a body"})
}

func failed(controlErr *pb.ControlError) *pb.ControlResponse {
	return &pb.ControlResponse{Response: &pb.ControlResponse_Error{Error: controlErr}}
}

func (n *Node) query(r *replica.Replica, query *pb.Query) *pb.QueryResult {
	switch q := query.GetQuery().(type) {
	case *pb.Query_Page:
		return &pb.QueryResult{Result: &pb.QueryResult_Page{Page: n.page(r, q.Page)}}
	case *pb.Query_PageBody:
		var answer *pb.PageBodyAnswer
		r.View(func(reader kv.Reader) { answer = jobpages.ReadItemBody(reader, q.PageBody) })
		return &pb.QueryResult{Result: &pb.QueryResult_PageBody{PageBody: answer}}
	}
	return &pb.QueryResult{}
}

// page reads results, and waits for one if there is none and the query says so.
func (n *Node) page(r *replica.Replica, query *pb.PageQuery) *pb.PageAnswer {
	ctx, cancel := context.WithTimeout(n.ctx, time.Duration(query.GetWaitMs())*time.Millisecond)
	defer cancel()
	for {
		changed := n.waits.wait(query.GetJobId())
		var answer *pb.PageAnswer
		finished := false
		r.View(func(reader kv.Reader) {
			answer = jobpages.ReadPage(reader, query)
			finished = jobpages.IsFinished(reader, query.GetJobId())
		})
		if len(answer.GetEntries()) > 0 || finished || query.GetWaitMs() == 0 {
			return answer
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return answer
		}
	}
}

// waits wakes the readers of a job when it changes.
type waits struct {
	mu   sync.Mutex
	jobs map[string]chan struct{}
}

func newWaits() *waits {
	return &waits{jobs: make(map[string]chan struct{})}
}

// wait returns a channel that is closed at the next change of a job.
func (w *waits) wait(job string) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed, ok := w.jobs[job]
	if !ok {
		changed = make(chan struct{})
		w.jobs[job] = changed
	}
	return changed
}

func (w *waits) notify(job string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if changed, ok := w.jobs[job]; ok {
		close(changed)
		delete(w.jobs, job)
	}
}
