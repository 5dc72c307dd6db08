package labengine

import (
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// connSet holds the open connections, so that Faults.Down and Close can close
// them.
type connSet struct {
	mu      sync.Mutex
	members map[*trackedConn]struct{}
}

func (s *connSet) add(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members == nil {
		s.members = make(map[*trackedConn]struct{})
	}
	s.members[c] = struct{}{}
}

func (s *connSet) remove(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.members, c)
}

func (s *connSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.members {
		_ = c.Conn.Close()
	}
	clear(s.members)
}

// trackedConn removes itself from its connSet when it is closed.
type trackedConn struct {
	net.Conn
	conns *connSet
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.conns.remove(c)
	return c.Conn.Close()
}

// trackingListener tracks accepted connections, and closes new ones at once
// while the server is down.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, eris.Wrap(err, "labengine: accept connection")
		}
		if l.server.down.Load() {
			_ = raw.Close()
			continue
		}
		c := &trackedConn{Conn: raw, conns: &l.server.conns}
		l.server.conns.add(c)
		return c, nil
	}
}
