package sidecard

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/internal/identifier"
	"github.com/briarcross/briarcross/openai"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
	"github.com/briarcross/briarcross/transport"
)

const leaseRequestTimeout = 5 * time.Second

// batchResponse collects the response to one batch item.
type batchResponse struct {
	onFinish func(*pb.AnswerEnd, int, []byte)

	mu     sync.Mutex
	status int
	chunks openai.Aggregator
	// rawBody is the body of a response with an error status.
	rawBody []byte
}

func (r *batchResponse) writePart(part engine.ResponsePart) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch part := part.(type) {
	case engine.ResponseHead:
		r.status = part.Status
	case engine.ResponseData:
		if part.Tokens > 0 || r.succeeded() {
			return r.chunks.Add(part.Payload)
		}
		r.rawBody = append(r.rawBody, part.Payload...)
	}
	return nil
}

func (r *batchResponse) succeeded() bool {
	const firstFailure = 300
	return r.status < firstFailure
}

func (r *batchResponse) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = openai.Aggregator{}
	r.rawBody = nil
}

func (r *batchResponse) finish(end *pb.AnswerEnd) {
	r.mu.Lock()
	status, body := r.status, r.rawBody
	if r.succeeded() && end.GetOutcome() == pb.Outcome_OUTCOME_DONE {
		aggregated, err := r.chunks.Body()
		if err != nil {
			end = &pb.AnswerEnd{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: pb.Reason_REASON_TRUNCATED, Detail: identifier.Message(err.Error())}
		}
		body = aggregated
	}
	r.mu.Unlock()
	r.onFinish(end, status, body)
}

func itemAttemptID(job string, index uint32, fencing uint64, attempt uint32) sidecar.AttemptID {
	request := job + "/" + strconv.FormatUint(uint64(index), 10) + "/" + strconv.FormatUint(fencing, 10)
	return sidecar.AttemptID{RequestID: request, Attempt: attempt}
}

// submitItem submits a leased item to the sidecar's core.
func (d *Daemon) submitItem(item *pb.LeasedItem) {
	id := itemAttemptID(item.GetJobId(), item.GetIndex(), item.GetFencingNumber(), item.GetAttempt())
	response := &batchResponse{onFinish: func(end *pb.AnswerEnd, status int, body []byte) {
		d.finishItem(item, end, status, body)
	}}
	r := d.newRun(id, response, engine.Request{
		ID:     id.RequestID,
		Method: "POST",
		Path:   item.GetEndpoint(),
		Body:   item.GetBody(),
		Model:  d.modelName(item.GetService()),
	})
	if !d.runs.add(r) {
		return
	}
	d.items.add(item, id)
	work := sidecar.Work{
		ID:         id,
		Class:      sidecar.Batch,
		Service:    item.GetService(),
		Idempotent: item.GetIdempotent(),
	}
	if completion, err := openai.ParseRequest(item.GetEndpoint(), item.GetBody()); err == nil {
		work.PromptTokens = openai.EstimateTokens(completion.Prompt)
		work.MaxTokens = completion.MaxTokens
		work.PrefixHashes = openai.PrefixHashes(completion.Prompt)
	}
	if _, _, profile, ok := d.subscription.ActiveConfig().ProfileOf(item.GetService()); ok {
		work.HarmPermille = profile.GetHarmPermille()
		work.Priority = profile.GetPriority()
	}
	d.core.Post(sidecar.Submit{Work: work})
}

// finishItem passes the result of an item to the batch worker.
func (d *Daemon) finishItem(item *pb.LeasedItem, end *pb.AnswerEnd, status int, body []byte) {
	d.items.remove(item)
	result := &pb.ItemResult{
		JobId:         item.GetJobId(),
		Index:         item.GetIndex(),
		CustomId:      item.GetCustomId(),
		Status:        uint32(status),
		Body:          body,
		Attempts:      item.GetAttempt(),
		FencingNumber: item.GetFencingNumber(),
		Outcome:       itemOutcome(end, status),
	}
	if result.Outcome != pb.ItemOutcome_ITEM_DONE {
		result.Error = itemError(end, status)
	}
	d.worker.Post(batch.ItemFinished{Ref: batch.LeaseRefOf(item), Result: result})
}

func itemError(end *pb.AnswerEnd, status int) string {
	if end.GetOutcome() == pb.Outcome_OUTCOME_DONE {
		return "upstream answered status " + strconv.Itoa(status)
	}
	return end.GetReason().String() + " " + end.GetDetail()
}

// itemOutcome returns the outcome of an item: done, failed for good, to be
// retried, preempted or not run. Client errors other than 408 and 429 are final.
func itemOutcome(end *pb.AnswerEnd, status int) pb.ItemOutcome {
	const (
		firstFailure     = 300
		firstClientError = 400
		firstServerError = 500
		tooManyRequests  = 429
		requestTimeout   = 408
	)
	switch {
	case end.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN:
		return pb.ItemOutcome_ITEM_NOT_RUN
	case end.GetOutcome() == pb.Outcome_OUTCOME_UNKNOWN && end.GetReason() == pb.Reason_REASON_OVERLOADED:
		return pb.ItemOutcome_ITEM_YIELDED
	case end.GetOutcome() != pb.Outcome_OUTCOME_DONE:
		return pb.ItemOutcome_ITEM_RETRY
	case status < firstFailure:
		return pb.ItemOutcome_ITEM_DONE
	case status == tooManyRequests || status == requestTimeout:
		return pb.ItemOutcome_ITEM_RETRY
	case status >= firstClientError && status < firstServerError:
		return pb.ItemOutcome_ITEM_FAILED
	default:
		return pb.ItemOutcome_ITEM_RETRY
	}
}

// itemTable maps leased items to their attempt IDs in the sidecar's core.
type itemTable struct {
	mu      sync.Mutex
	byLease map[batch.LeaseRef]sidecar.AttemptID
}

func (t *itemTable) add(item *pb.LeasedItem, id sidecar.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byLease[batch.LeaseRefOf(item)] = id
}

func (t *itemTable) remove(item *pb.LeasedItem) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byLease, batch.LeaseRefOf(item))
}

func (t *itemTable) get(ref batch.LeaseRef) (sidecar.AttemptID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id, ok := t.byLease[ref]
	return id, ok
}

// executeWorkerOutput executes an output of the batch worker.
func (d *Daemon) executeWorkerOutput(out batch.WorkerOutput) {
	switch out := out.(type) {
	case batch.SendRequest:
		go d.requestLeases(out.Message)
	case batch.RunItem:
		d.submitItem(out.Item)
	case batch.StopItem:
		if id, ok := d.items.get(out.Ref); ok {
			d.core.Post(sidecar.Cancel{ID: id})
		}
	case batch.Drained:
		d.workerDrained.set()
	}
}

// requestLeases sends one lease request to the leader of the control replicas
// and passes the outcome to the batch worker.
func (d *Daemon) requestLeases(request *pb.LeaseRequest) {
	ctx, cancel := context.WithTimeout(d.ctx, leaseRequestTimeout)
	defer cancel()
	response, err := d.sendLeaseRequest(ctx, request)
	switch {
	case err != nil:
		d.control.SetLeaderAddress("")
		d.worker.Post(batch.RequestFailed{})
	case response.GetError() == pb.ControlErrorCode_CONTROL_NOT_LEADER:
		d.control.SetLeaderAddress(response.GetLeaderAddress())
		d.worker.Post(batch.RequestFailed{})
	default:
		d.worker.Post(batch.ResponseReceived{Message: response})
	}
}

func (d *Daemon) sendLeaseRequest(ctx context.Context, request *pb.LeaseRequest) (*pb.LeaseResponse, error) {
	envelope := &pb.Envelope{Body: &pb.Envelope_LeaseRequest{LeaseRequest: request}}
	response, _, err := d.transport.Call(ctx, transport.Batch, d.control.LeaderAddress(), envelope)
	if err != nil {
		return nil, err
	}
	return response.GetLeaseResponse(), nil
}
