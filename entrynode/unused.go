package entrynode

import (
	"net"
	"net/http"
	"sync"
)

// unusedConns tracks the connections on which no request has begun. Shutdown of
// net/http waits for them as if a request were in progress.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newUnusedConns() *unusedConns {
	return &unusedConns{conns: make(map[net.Conn]struct{})}
}

// track is the ConnState hook of the server.
func (u *unusedConns) track(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.conns[conn] = struct{}{}
		return
	}
	delete(u.conns, conn)
}

// close closes the connections on which no request has begun.
func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.conns {
		_ = conn.Close()
	}
}
