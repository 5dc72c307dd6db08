package labengine

import (
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// connSet holds the open connections, so that a dying engine can cut them.
type connSet struct {
	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

func (t *connSet) add(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[*trackedConn]struct{})
	}
	t.open[c] = struct{}{}
}

func (t *connSet) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

func (t *connSet) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		_ = c.Conn.Close()
	}
	clear(t.open)
}

type trackedConn struct {
	net.Conn
	conns *connSet
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.conns.remove(c)
	return c.Conn.Close()
}

// trackingListener records connections and refuses them while the engine is
// dead.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, eris.Wrap(err, "labengine: accept")
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
