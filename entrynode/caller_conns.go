package entrynode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// unusedGrace is the time after which a connection on which no request has been read
	// counts as unused. A caller that has just connected is about to send.
	unusedGrace = time.Second
	// drainInterval is the interval at which drain looks for connections to end.
	drainInterval = 20 * time.Millisecond
)

// callerConns tracks the connections of callers, so that a stop ends each of them between
// two requests. Shutdown of net/http does not: it drops a request that it reads after it
// was called, without a response.
type callerConns struct {
	mu    sync.Mutex
	conns map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

func newCallerConns() *callerConns {
	return &callerConns{conns: make(map[net.Conn]connState)}
}

// track is the ConnState hook of the server.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	c.conns[conn] = connState{state, time.Now()}
}

// drain waits until all connections have ended, or until the context ends. It ends
// those on which nothing is read.
func (c *callerConns) drain(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for c.endUnread(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// endUnread ends the connections that are idle, or that were opened some time ago and
// not used. It returns the number of all connections. A read deadline ends the wait for a
// request; a request that has just been read is served.
func (c *callerConns) endUnread(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.conns {
		if s.state == http.StateIdle || s.state == http.StateNew && now.Sub(s.since) >= unusedGrace {
			// A connection that has failed ends by itself.
			_ = conn.SetReadDeadline(now)
		}
	}
	return len(c.conns)
}
