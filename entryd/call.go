package entryd

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/briarcross/briarcross/gate"
	"github.com/briarcross/briarcross/openai"
	"github.com/briarcross/briarcross/pb"
)

const partBuffer = 32

// responsePart is the head or a piece of the body of a response that is relayed
// to the caller.
type responsePart struct {
	head *pb.AnswerHead
	data []byte
}

// call is one online request of a caller, from its arrival to its response.
type call struct {
	request gate.Request
	// onlineRequest is the message of which each attempt sends a copy to a sidecar.
	onlineRequest *pb.OnlineRequest
	// wantsStream is set when the caller requested a stream of events.
	wantsStream bool
	// bufferBody is set when the whole body is needed: to respond without
	// streaming, or to record the response under the idempotency key.
	bufferBody bool
	// parts holds the parts of the response that the handler has not written yet.
	parts  chan responsePart
	finish chan gate.Finish
	// done is closed when the caller's request is over.
	done chan struct{}
	// claimClosed is set on the gate loop when the closing of the claim starts, and
	// closed when it has ended. It is nil for a request without a claim.
	claimClosed chan struct{}

	// relayedTokens is the number of tokens relayed from all attempts so far.
	relayedTokens atomic.Uint32

	mu sync.Mutex
	// cancelFuncs holds the cancel function of each attempt by its number.
	cancelFuncs map[uint32]context.CancelFunc
	// rejected holds the attempts for which the gate ignored an input.
	rejected map[uint32]bool
	// status and headers are those of the latest relayed response head.
	status  int
	headers []*pb.HeaderField
	// aggregator combines the chunks of a model's response.
	aggregator openai.Aggregator
	// plainBody is the body of a plain service's response or of a failure.
	plainBody []byte
}

func newCall(request gate.Request, onlineRequest *pb.OnlineRequest, wantsStream bool) *call {
	return &call{
		request:       request,
		onlineRequest: onlineRequest,
		wantsStream:   wantsStream,
		bufferBody:    !wantsStream || request.IdempotencyKey != "",
		parts:         make(chan responsePart, partBuffer),
		finish:        make(chan gate.Finish, 1),
		done:          make(chan struct{}),
		cancelFuncs:   make(map[uint32]context.CancelFunc),
		rejected:      make(map[uint32]bool),
	}
}

// rejectAttempt records that the gate ignored an input of an attempt, which must
// not be relayed then.
func (c *call) rejectAttempt(attempt uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected[attempt] = true
}

func (c *call) isRejected(attempt uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected[attempt]
}

// push queues a part for the caller's handler. It blocks while the queue is full
// because the caller reads slowly, and returns false when the caller's request
// is over.
func (c *call) push(part responsePart) bool {
	c.recordPart(part)
	select {
	case c.parts <- part:
		return true
	case <-c.done:
		return false
	}
}

// recordPart stores what completeResponse needs and counts the tokens.
func (c *call) recordPart(part responsePart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if part.head != nil {
		c.status = int(part.head.GetStatus())
		c.headers = part.head.GetHeaders()
	}
	c.relayedTokens.Add(uint32(openai.PayloadTokens(part.data)))
	if part.data == nil || !c.bufferBody {
		return
	}
	if c.request.Plain || c.status >= minFailureStatus {
		c.plainBody = append(c.plainBody, part.data...)
		return
	}
	// An invalid chunk is left out. Body returns an error if no valid one was added.
	_ = c.aggregator.Add(part.data)
}

// hasBegun reports whether the head of a response that is no failure has been relayed.
func (c *call) hasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status > 0 && c.status < minFailureStatus
}

// completeResponse returns the status and the body of the whole response.
func (c *call) completeResponse() (int, []byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request.Plain || c.status >= minFailureStatus {
		return c.status, c.plainBody, nil
	}
	body, err := c.aggregator.Body()
	return c.status, body, err
}

// nextPart waits for the next part and returns it, or the final outcome after
// the last part.
func (c *call) nextPart() (responsePart, *gate.Finish) {
	select {
	case part := <-c.parts:
		return part, nil
	case finish := <-c.finish:
		// The winning attempt queued all its parts before the gate finished the
		// request, so the queued parts come first.
		select {
		case part := <-c.parts:
			c.finish <- finish
			return part, nil
		default:
			return responsePart{}, &finish
		}
	}
}

func (c *call) setCancelFunc(attempt uint32, cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelFuncs[attempt] = cancel
}

// abort cancels one attempt. Its sidecar sees the stream close.
func (c *call) abort(attempt uint32) {
	c.mu.Lock()
	cancel := c.cancelFuncs[attempt]
	delete(c.cancelFuncs, attempt)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// callTable holds the online requests that this entry handles, by request ID.
type callTable struct {
	mu   sync.Mutex
	byID map[string]*call
}

func (t *callTable) add(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[c.request.ID] = c
}

func (t *callTable) get(id string) *call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

func (t *callTable) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}

func (t *callTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}
