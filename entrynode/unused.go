package entrynode

import (
	"net"
	"net/http"
	"sync"
)

// unusedConns are the connections on which no request has begun. The HTTP
// library waits for them at a shutdown as if one were under way.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newUnusedConns() *unusedConns {
	return &unusedConns{conns: make(map[net.Conn]struct{})}
}

// track follows the states of the server's connections.
func (u *unusedConns) track(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.conns[conn] = struct{}{}
		return
	}
	delete(u.conns, conn)
}

// close closes the connections that have not been used.
func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.conns {
		_ = conn.Close()
	}
}
