package sidecard

import (
	"context"
	"sync"
	"time"

	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
)

const exportTimeout = 500 * time.Millisecond

// responseSink receives the response to one request.
type responseSink interface {
	// writePart takes the next part; an error cancels the request.
	writePart(engine.ResponsePart) error
	// reset discards the parts of a run that will be restarted from the
	// beginning.
	reset()
	// finish ends the response with the final outcome.
	finish(*pb.AnswerEnd)
}

// run is one online request or batch item, from its submission until its
// response ends.
type run struct {
	id       sidecar.AttemptID
	client   engine.Client
	sink     responseSink
	onEnd    func(*run, engine.Result)
	onTokens func(id sidecar.AttemptID, count int, first bool)

	mu      sync.Mutex
	request engine.Request
	cancel  context.CancelFunc
	// stopped is set when the current engine call was cancelled by stop.
	stopped bool
	// paused is set when its KV state was exported before that.
	paused bool
	// requeued is set from a sidecar.Requeued to the next start.
	requeued bool
	// tokenSeen is set at the first token of the current engine call.
	tokenSeen bool
	// relayedTokens is the number of tokens passed to the sink.
	relayedTokens int
}

// start sends the request to the engine. A resumed run continues after the
// tokens that were already relayed.
func (r *run) start(ctx context.Context, resume bool) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	r.stopped = false
	r.paused = false
	r.requeued = false
	r.tokenSeen = false
	r.cancel = cancel
	if resume {
		r.request.ResumeFrom = r.relayedTokens
	} else if r.relayedTokens > 0 {
		r.relayedTokens = 0
		r.request.ResumeFrom = 0
		r.request.KVHandle = nil
		r.sink.reset()
	}
	request := r.request
	r.mu.Unlock()
	go r.execute(ctx, cancel, request)
}

func (r *run) execute(ctx context.Context, cancel context.CancelFunc, request engine.Request) {
	defer cancel()
	r.onEnd(r, r.client.Run(ctx, request, r.relayPart))
}

func (r *run) relayPart(part engine.ResponsePart) error {
	if data, ok := part.(engine.ResponseData); ok && data.Tokens > 0 {
		r.mu.Lock()
		first := !r.tokenSeen
		r.tokenSeen = true
		r.relayedTokens += data.Tokens
		r.mu.Unlock()
		r.onTokens(r.id, data.Tokens, first)
	}
	return r.sink.writePart(part)
}

// stop cancels the request at the engine. With pause set, it first exports the
// KV state so that a later start can resume the run.
func (r *run) stop(pause bool) {
	if pause {
		r.exportKV()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	if r.cancel != nil {
		r.cancel()
	}
}

func (r *run) exportKV() {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	handle, err := r.client.ExportKV(ctx, r.request.ID)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.request.KVHandle = handle
	r.paused = true
	r.mu.Unlock()
}

// stopState returns the values of stopped and paused.
func (r *run) stopState() (stopped, paused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped, r.paused
}

// markRequeued marks a stopped run that the core will start again.
func (r *run) markRequeued() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requeued = true
}

func (r *run) isRequeued() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requeued
}

// outcomeOf returns the outcome and reason of an engine call: done only when the
// whole response was received, not run only when no byte of the request left
// this process.
func outcomeOf(result engine.Result, stopped bool) (pb.Outcome, pb.Reason) {
	switch {
	case result.Complete:
		return pb.Outcome_OUTCOME_DONE, pb.Reason_REASON_NONE
	case !result.Sent:
		return pb.Outcome_OUTCOME_NOT_RUN, pb.Reason_REASON_CONNECT_FAILED
	case stopped:
		return pb.Outcome_OUTCOME_UNKNOWN, pb.Reason_REASON_CANCELLED
	case result.Tokens > 0:
		return pb.Outcome_OUTCOME_UNKNOWN, pb.Reason_REASON_TRUNCATED
	default:
		return pb.Outcome_OUTCOME_UNKNOWN, pb.Reason_REASON_ENGINE_FAILED
	}
}

// runTable holds the runs of this sidecar by attempt ID.
type runTable struct {
	mu   sync.Mutex
	byID map[sidecar.AttemptID]*run
}

// add stores a run and returns false when its ID is already in use.
func (t *runTable) add(r *run) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, exists := t.byID[r.id]; exists {
		return false
	}
	t.byID[r.id] = r
	return true
}

func (t *runTable) get(id sidecar.AttemptID) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

func (t *runTable) remove(id sidecar.AttemptID) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[id]
	delete(t.byID, id)
	return r
}

func (t *runTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}
