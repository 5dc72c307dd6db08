package daemon

import (
	"errors"
	"net"
	"time"

	"github.com/briarcross/briarcross/clientlimit"
)

// evictionTimeout bounds the wait for memory of requests that have been evicted.
const evictionTimeout = time.Second

// Errors of requests that may not hold what they ask for. The requests have not run.
var (
	// ErrClientMemory means that there is no room for the request now.
	ErrClientMemory = errors.New("clients hold all the memory that they may")
	// ErrBodyTooSlow means that the body has arrived too slowly.
	ErrBodyTooSlow = errors.New("body arrives too slowly")
	// ErrBodyTooLarge means that the body is longer than it may be.
	ErrBodyTooLarge = errors.New("body is too large")
)

// ClientRequest is a request with what it holds.
type ClientRequest struct {
	clients *Clients
	id      clientlimit.RequestID
	// interrupt makes a read of the body return, so that the request ends.
	interrupt func()
	// evicted is the reason for which the request was given up. clients.mu guards it.
	evicted error
	// granted is closed when a request that waits for memory has it. clients.mu guards it.
	granted chan struct{}
}

// Begin adds a request without a connection that counts. Its body counts as received. The caller
// must call End.
func (c *Clients) Begin() *ClientRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.begin(0, func() {})
	c.limiter.Complete(r.id)
	return r
}

func (c *Clients) begin(conn clientlimit.ConnectionID, interrupt func()) *ClientRequest {
	r := &ClientRequest{clients: c, id: c.limiter.Begin(time.Now(), conn), interrupt: interrupt}
	c.requests[r.id] = r
	return r
}

// Serve begins the request whose head has been read on a connection. The request ends when the
// connection is idle again or closed. Serve returns nil if the connection is being closed for
// others; the request must not be served then.
func (c *Clients) Serve(conn net.Conn) *ClientRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, known := c.conns[conn]
	if !known || !c.limiter.Serve(client.id) {
		return nil
	}
	client.request = c.begin(client.id, client.interrupt)
	return client.request
}

// Request returns the request in service on a connection, nil if there is none.
func (c *Clients) Request(conn net.Conn) *ClientRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, known := c.conns[conn]; known {
		return client.request
	}
	return nil
}

// Grow asks for more memory. It returns the reason for which there is none.
func (r *ClientRequest) Grow(bytes int64) error {
	c := r.clients
	c.mu.Lock()
	if r.evicted != nil {
		defer c.mu.Unlock()
		return r.evicted
	}
	grant, ids := c.limiter.Grow(time.Now(), r.id, bytes)
	evicted := c.markEvicted(ids, ErrClientMemory)
	c.unreported.Evicted += len(evicted)
	var granted chan struct{}
	switch grant {
	case clientlimit.Refused:
		c.countRefused()
	case clientlimit.Waiting:
		granted = make(chan struct{})
		r.granted = granted
	}
	c.mu.Unlock()
	c.interrupt(evicted, deniedBody)
	switch grant {
	case clientlimit.Granted:
		return nil
	case clientlimit.Waiting:
		return r.await(granted)
	}
	return ErrClientMemory
}

// await waits until evicted requests have given their memory back.
func (r *ClientRequest) await(granted <-chan struct{}) error {
	timer := time.NewTimer(evictionTimeout)
	defer timer.Stop()
	select {
	case <-granted:
		return nil
	case <-timer.C:
	}
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	cancelled, others := c.limiter.Cancel(r.id)
	c.wake(others)
	if !cancelled {
		return nil
	}
	c.countRefused()
	return ErrClientMemory
}

// countRefused counts a refusal. The caller holds mu.
func (c *Clients) countRefused() {
	c.unreported.Refused++
	c.denials.WithLabelValues(deniedMemory).Inc()
}

// Shrink gives memory back.
func (r *ClientRequest) Shrink(bytes int64) {
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake(c.limiter.Shrink(r.id, bytes))
}

// Receive records that bytes of the body have arrived.
func (r *ClientRequest) Receive(bytes int) {
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.Receive(time.Now(), r.id, bytes)
}

// Complete records that the body has arrived, so that the request is not given up any more. It
// returns an error if it has been.
func (r *ClientRequest) Complete() error {
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.limiter.Complete(r.id) {
		return r.evicted
	}
	return nil
}

// Evicted returns the reason for which the request was given up, nil if it was not.
func (r *ClientRequest) Evicted() error {
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.evicted
}

// Release gives all memory back. The request goes on without.
func (r *ClientRequest) Release() {
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake(c.limiter.Release(r.id))
}

// End gives all memory back and forgets the request.
func (r *ClientRequest) End() {
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(r)
}

func (c *Clients) end(r *ClientRequest) {
	c.wake(c.limiter.End(r.id))
	delete(c.requests, r.id)
}

// checkRoom returns ErrClientMemory if there is no room for a number of bytes, even after evictions.
func (r *ClientRequest) checkRoom(bytes int64) error {
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limiter.Fits(time.Now(), r.id, bytes) {
		return nil
	}
	c.countRefused()
	return ErrClientMemory
}
