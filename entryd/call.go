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

// responsePart is a part of an answer on its way to the caller.
type responsePart struct {
	head *pb.AnswerHead
	data []byte
}

// call is one request of a caller, from its arrival to its answer.
type call struct {
	request       gate.Request
	onlineRequest *pb.OnlineRequest
	wantsStream   bool
	bufferBody    bool
	parts         chan responsePart
	finish        chan gate.Finish
	done          chan struct{}
	// claimClosed is set on the gate's loop while the claim's outcome is recorded,
	// and closed afterwards.
	claimClosed chan struct{}

	// relayedTokens that were passed on to the caller, over all attempts.
	relayedTokens atomic.Uint32

	mu          sync.Mutex
	cancelFuncs map[uint32]context.CancelFunc
	rejected    map[uint32]bool
	status      int
	headers     []*pb.HeaderField
	aggregator  openai.Aggregator
	plainBody   []byte
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

// rejectAttempt marks an attempt whose report the gate did not accept.
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

// push passes a part on to the caller. It blocks while the caller reads
// slowly and reports false when the caller's request is over.
func (c *call) push(part responsePart) bool {
	c.recordPart(part)
	select {
	case c.parts <- part:
		return true
	case <-c.done:
		return false
	}
}

// recordPart keeps what the whole answer needs.
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
	// A damaged chunk shows when the body is put together.
	_ = c.aggregator.Add(part.data)
}

// completeResponse returns the status and body of the complete answer.
func (c *call) completeResponse() (int, []byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request.Plain || c.status >= minFailureStatus {
		return c.status, c.plainBody, nil
	}
	body, err := c.aggregator.Body()
	return c.status, body, err
}

// nextPart returns the following part, or the final outcome after the last part.
func (c *call) nextPart() (responsePart, *gate.Finish) {
	select {
	case e := <-c.parts:
		return e, nil
	case f := <-c.finish:
		// The winner pushed all its parts before the outcome.
		select {
		case e := <-c.parts:
			c.finish <- f
			return e, nil
		default:
			return responsePart{}, &f
		}
	}
}

func (c *call) setAttempt(attempt uint32, cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelFuncs[attempt] = cancel
}

// abort ends one attempt; its sidecar sees the stream close.
func (c *call) abort(attempt uint32) {
	c.mu.Lock()
	cancel := c.cancelFuncs[attempt]
	delete(c.cancelFuncs, attempt)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// callTable is the table of requests that this entry handles.
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
