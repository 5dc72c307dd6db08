package sidecard

import (
	"sync"
	"time"

	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
	"github.com/briarcross/briarcross/transport"
)

// onlineResponse sends the parts of a response to the entry. A slow entry blocks
// writePart and thereby the engine stream of this request only.
type onlineResponse struct {
	stream *transport.Stream
	id     sidecar.AttemptID
	done   chan struct{}
	once   sync.Once

	mu       sync.Mutex
	sequence uint32
}

func (r *onlineResponse) writePart(part engine.ResponsePart) error {
	switch part := part.(type) {
	case engine.ResponseHead:
		head := &pb.AnswerHead{Status: uint32(part.Status), Headers: part.Headers}
		return r.sendFrame(&pb.OnlineFrame{Part: &pb.OnlineFrame_Head{Head: head}})
	case engine.ResponseData:
		return r.sendFrame(&pb.OnlineFrame{Part: &pb.OnlineFrame_Data{Data: part.Payload}})
	default:
		return nil
	}
}

// reset implements responseSink. The sidecar never restarts an online request.
func (r *onlineResponse) reset() {}

func (r *onlineResponse) finish(end *pb.AnswerEnd) {
	r.once.Do(func() {
		_ = r.sendFrame(&pb.OnlineFrame{Part: &pb.OnlineFrame_End{End: end}})
		close(r.done)
	})
}

func (r *onlineResponse) sendFrame(frame *pb.OnlineFrame) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	frame.RequestId = r.id.RequestID
	frame.Attempt = r.id.Attempt
	frame.Sequence = r.sequence
	r.sequence++
	return r.stream.Send(&pb.Envelope{Body: &pb.Envelope_OnlineFrame{OnlineFrame: frame}})
}

// serveOnline handles the stream of one online request until its response has
// ended or the sidecar stops.
func (d *Daemon) serveOnline(stream *transport.Stream, header *pb.Header, request *pb.OnlineRequest) {
	id := sidecar.AttemptID{RequestID: request.GetRequestId(), Attempt: request.GetAttempt()}
	response := &onlineResponse{stream: stream, id: id, done: make(chan struct{})}
	r := d.newRun(id, response, engine.Request{
		ID:         request.GetRequestId(),
		Method:     request.GetMethod(),
		Path:       request.GetPath(),
		Headers:    request.GetHeaders(),
		Body:       request.GetBody(),
		Model:      d.modelName(request.GetService()),
		ResumeFrom: int(request.GetResumeFrom()),
	})
	if !d.runs.add(r) {
		d.metrics.countRefusal(pb.Reason_REASON_DUPLICATE)
		response.finish(&pb.AnswerEnd{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: pb.Reason_REASON_DUPLICATE})
		return
	}
	d.core.Post(sidecar.Submit{Work: onlineWork(id, header, request, time.Now())})
	go d.watchForCancel(stream, id)
	select {
	case <-response.done:
	case <-d.ctx.Done():
	}
}

// modelName returns the name by which the engine knows the model of a service;
// it is empty when the service is unknown.
func (d *Daemon) modelName(service string) string {
	svc, _, _, _ := d.subscription.ActiveConfig().ProfileOf(service)
	return svc.GetModel()
}

// watchForCancel cancels a request when its entry sends a cancel or closes the
// stream.
func (d *Daemon) watchForCancel(stream *transport.Stream, id sidecar.AttemptID) {
	for {
		envelope, err := stream.Receive()
		if err != nil || envelope.GetOnlineCancel() != nil {
			d.core.Post(sidecar.Cancel{ID: id})
			return
		}
	}
}

func onlineWork(id sidecar.AttemptID, header *pb.Header, request *pb.OnlineRequest, now time.Time) sidecar.Work {
	work := sidecar.Work{
		ID:                  id,
		Class:               sidecar.Online,
		Service:             request.GetService(),
		Caller:              request.GetCaller(),
		Priority:            request.GetPriority(),
		FirstTokenTarget:    milliseconds(request.GetFirstTokenMs()),
		BetweenTokensTarget: milliseconds(request.GetBetweenTokensMs()),
		PromptTokens:        int(request.GetPromptTokens()),
		MaxTokens:           int(request.GetMaxTokens()),
		PrefixHashes:        request.GetPrefix(),
		Idempotent:          request.GetIdempotent(),
		HarmPermille:        request.GetHarmPermille(),
		Incarnation:         header.GetReceiverIncarnation(),
	}
	if request.GetRemainingMs() > 0 {
		work.Deadline = now.Add(milliseconds(request.GetRemainingMs()))
	}
	if request.GetQueueMs() > 0 {
		work.StartDeadline = now.Add(milliseconds(request.GetQueueMs()))
	}
	return work
}

func milliseconds(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
