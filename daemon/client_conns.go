package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/clientlimit"
)

// clientConn is an open connection of a client.
type clientConn struct {
	net.Conn
	id clientlimit.ConnectionID
	// request is the request in service, nil between two.
	request *ClientRequest
}

// interrupt makes a read of the body of the request in service return.
func (c *clientConn) interrupt() {
	// A connection that has failed ends by itself.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// ListenClients listens on an address for clients. What the kernel receives for a connection that
// is not read is limited, since it counts as memory of the process.
func ListenClients(name, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "setting -%s", name)
	}
	return listener, nil
}

// Listen returns a listener whose connections count. The server must call Track when the state of a
// connection changes, and Serve when it has read the head of a request.
func (c *Clients) Listen(listener net.Listener) net.Listener { return clientListener{listener, c} }

type clientListener struct {
	net.Listener
	clients *Clients
}

// Accept implements net.Listener. It closes new connections for which there is no room.
func (l clientListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.clients.add(conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// add adds a new connection, and closes another if need be. It returns false if there is no room.
func (c *Clients) add(conn net.Conn) bool {
	c.mu.Lock()
	id, eviction, ok := c.limiter.Connect(time.Now())
	if ok {
		client := &clientConn{Conn: conn, id: id}
		c.conns[conn], c.byID[id] = client, client
	} else {
		c.unreported.Rejected++
		c.denials.WithLabelValues(deniedNewConnection).Inc()
	}
	var quiet *clientConn
	var stalled []*ClientRequest
	if eviction != nil {
		c.unreported.Closed++
		if eviction.Request != 0 {
			stalled = c.markEvicted([]clientlimit.RequestID{eviction.Request}, ErrClientMemory)
		} else {
			quiet = c.byID[eviction.Connection]
			c.denials.WithLabelValues(deniedConnection).Inc()
		}
	}
	c.mu.Unlock()
	c.interrupt(stalled, deniedConnection)
	if quiet != nil {
		// A deadline would not do: the server sets its own when it begins to read a request. An
		// error means that the client has disconnected.
		_ = quiet.Close()
	}
	return ok
}

// Track records the state of a connection.
func (c *Clients) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, known := c.conns[conn]
	if !known {
		return
	}
	if client.request != nil {
		c.end(client.request)
		client.request = nil
	}
	switch state {
	case http.StateActive, http.StateIdle:
		c.limiter.Quiet(client.id)
	case http.StateClosed, http.StateHijacked:
		c.limiter.Close(client.id)
		delete(c.conns, conn)
		delete(c.byID, client.id)
	}
}
