package labengine

import (
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// connTable holds the open connections, so that a dying engine can cut them.
type connTable struct {
	mu   sync.Mutex
	open map[*watchedConn]struct{}
}

func (t *connTable) add(c *watchedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[*watchedConn]struct{})
	}
	t.open[c] = struct{}{}
}

func (t *connTable) remove(c *watchedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

func (t *connTable) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		_ = c.Conn.Close()
	}
	clear(t.open)
}

type watchedConn struct {
	net.Conn
	table *connTable
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.table.remove(c)
	return c.Conn.Close()
}

// watchedListener records connections and refuses them while the engine is
// dead.
type watchedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, eris.Wrap(err, "labengine: accept")
		}
		if l.server.dead.Load() {
			_ = raw.Close()
			continue
		}
		c := &watchedConn{Conn: raw, table: &l.server.conns}
		l.server.conns.add(c)
		return c, nil
	}
}
