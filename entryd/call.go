package entryd

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/briarcross/briarcross/gate"
	"github.com/briarcross/briarcross/openai"
	"github.com/briarcross/briarcross/pb"
)

const eventBuffer = 32

// event is a part of an answer on its way to the caller.
type event struct {
	head *pb.AnswerHead
	data []byte
}

// call is one request of a caller, from its arrival to its answer.
type call struct {
	request gate.Request
	wire    *pb.OnlineRequest
	stream  bool
	keep    bool
	events  chan event
	finish  chan gate.Finish
	done    chan struct{}
	// closing is set on the gate's loop while the claim's outcome is recorded,
	// and closed afterwards.
	closing chan struct{}

	// tokens that were passed on to the caller, over all attempts.
	tokens atomic.Uint32

	mu       sync.Mutex
	attempts map[uint32]context.CancelFunc
	dropped  map[uint32]bool
	status   int
	headers  []*pb.HeaderField
	chunks   openai.Aggregator
	plain    []byte
}

func newCall(request gate.Request, wire *pb.OnlineRequest, stream bool) *call {
	return &call{
		request:  request,
		wire:     wire,
		stream:   stream,
		keep:     !stream || request.IdempotencyKey != "",
		events:   make(chan event, eventBuffer),
		finish:   make(chan gate.Finish, 1),
		done:     make(chan struct{}),
		attempts: make(map[uint32]context.CancelFunc),
		dropped:  make(map[uint32]bool),
	}
}

// drop marks an attempt whose report the gate did not accept.
func (c *call) drop(attempt uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped[attempt] = true
}

func (c *call) isDropped(attempt uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped[attempt]
}

// push passes a part on to the caller. It blocks while the caller reads
// slowly and reports false when the caller's request is over.
func (c *call) push(e event) bool {
	c.record(e)
	select {
	case c.events <- e:
		return true
	case <-c.done:
		return false
	}
}

// record keeps what the whole answer needs.
func (c *call) record(e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.head != nil {
		c.status = int(e.head.GetStatus())
		c.headers = e.head.GetHeaders()
	}
	c.tokens.Add(uint32(openai.PayloadTokens(e.data)))
	if e.data == nil || !c.keep {
		return
	}
	if c.request.Plain || c.status >= firstFailureStatus {
		c.plain = append(c.plain, e.data...)
		return
	}
	// A damaged chunk shows when the body is put together.
	_ = c.chunks.Add(e.data)
}

// whole returns the status and body of the complete answer.
func (c *call) whole() (int, []byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request.Plain || c.status >= firstFailureStatus {
		return c.status, c.plain, nil
	}
	body, err := c.chunks.Body()
	return c.status, body, err
}

// next returns the following part, or the final outcome after the last part.
func (c *call) next() (event, *gate.Finish) {
	select {
	case e := <-c.events:
		return e, nil
	case f := <-c.finish:
		// The winner pushed all its parts before the outcome.
		select {
		case e := <-c.events:
			c.finish <- f
			return e, nil
		default:
			return event{}, &f
		}
	}
}

func (c *call) setAttempt(attempt uint32, cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[attempt] = cancel
}

// abort ends one attempt; its sidecar sees the stream close.
func (c *call) abort(attempt uint32) {
	c.mu.Lock()
	cancel := c.attempts[attempt]
	delete(c.attempts, attempt)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// calls is the table of requests that this entry handles.
type calls struct {
	mu   sync.Mutex
	byID map[string]*call
}

func (t *calls) add(c *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[c.request.ID] = c
}

func (t *calls) get(id string) *call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

func (t *calls) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}

func (t *calls) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}
