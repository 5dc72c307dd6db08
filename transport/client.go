package transport

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
)

const dialTimeout = 2 * time.Second

// Client opens streams to other processes. It keeps one connection per address
// and class and reconnects after a connection loss. It is safe for concurrent
// use.
type Client struct {
	identity *Identity
	tls      func() *tls.Config

	mu       sync.Mutex
	sessions map[sessionKey]*sessionSlot
	closed   bool
}

type sessionKey struct {
	address string
	class   Class
}

// sessionSlot holds the session of one address and class, and serializes dialling.
type sessionSlot struct {
	mu      sync.Mutex
	session *clientSession
	roles   peerRoles
}

// NewClient returns a client. A nil tlsConfig means plain TCP.
func NewClient(identity *Identity, tlsConfig func() *tls.Config) *Client {
	return &Client{
		identity: identity,
		tls:      tlsConfig,
		sessions: make(map[sessionKey]*sessionSlot),
	}
}

// Open opens a stream to a server. An error means that nothing was sent on it.
func (c *Client) Open(ctx context.Context, class Class, address string) (*Stream, error) {
	slot, err := c.slot(sessionKey{address, class})
	if err != nil {
		return nil, err
	}
	const attempts = 2
	for range attempts {
		session, dialErr := c.sessionOf(ctx, slot, class, address)
		if dialErr != nil {
			return nil, dialErr
		}
		conn, openErr := openStream(ctx, session.Session)
		if openErr == nil {
			return newStream(c.identity, session.streams, conn, address, slot.currentRoles()), nil
		}
		err = openErr
		if ctx.Err() != nil {
			break
		}
		_ = session.Close()
	}
	return nil, eris.Wrapf(err, "open %s stream to %s", class, address)
}

// clientSession is a session with the reads and writes of its streams.
type clientSession struct {
	*yamux.Session
	streams *activity
}

// openStream opens a stream of a session and returns early if the context ends.
// Session.Open takes no context and blocks while the connection's write buffer is
// full.
func openStream(ctx context.Context, session *yamux.Session) (net.Conn, error) {
	type opened struct {
		conn net.Conn
		err  error
	}
	result := make(chan opened, 1)
	go func() {
		conn, err := session.Open()
		result <- opened{conn, err}
	}()
	select {
	case o := <-result:
		return o.conn, o.err
	case <-ctx.Done():
		go func() {
			if o := <-result; o.err == nil {
				_ = o.conn.Close()
			}
		}()
		return nil, ctx.Err()
	}
}

func (s *sessionSlot) currentRoles() peerRoles {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roles
}

func (c *Client) slot(key sessionKey) (*sessionSlot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, eris.New("transport client is closed")
	}
	slot, ok := c.sessions[key]
	if !ok {
		slot = &sessionSlot{}
		c.sessions[key] = slot
	}
	return slot, nil
}

func (c *Client) sessionOf(ctx context.Context, slot *sessionSlot, class Class, address string) (*clientSession, error) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.session != nil && !slot.session.IsClosed() {
		return slot.session, nil
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", address)
	}
	session, roles, err := c.startSession(ctx, class, conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	slot.session = session
	slot.roles = roles
	return session, nil
}

// startSession checks that the server has the role of the class and starts a
// session.
func (c *Client) startSession(ctx context.Context, class Class, conn net.Conn) (*clientSession, peerRoles, error) {
	roles, err := certificateRoles(ctx, conn)
	if err != nil {
		return nil, roles, err
	}
	if !roles.has(requiredServerRole[class]) {
		return nil, roles, eris.Errorf("the server's certificate lacks the role %s", requiredServerRole[class])
	}
	if err := writePreface(conn, class); err != nil {
		return nil, roles, err
	}
	streams := newActivity()
	session, err := yamux.Client(newCoalescingConn(conn, c.identity.Traffic(class), streams), sessionConfig())
	return &clientSession{session, streams}, roles, eris.Wrap(err, "start session")
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if c.tls == nil {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", address)
	}
	dialer := tls.Dialer{Config: c.tls()}
	return dialer.DialContext(ctx, "tcp", address)
}

// CloseConnection closes the connection of a class to an address, so that the
// next Open reconnects. Use it when expected messages do not arrive.
func (c *Client) CloseConnection(class Class, address string) {
	c.mu.Lock()
	slot := c.sessions[sessionKey{address, class}]
	c.mu.Unlock()
	if slot == nil {
		return
	}
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.session != nil {
		_ = slot.session.Close()
	}
}

// Close closes all connections and their streams.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	slots := c.sessions
	c.sessions = make(map[sessionKey]*sessionSlot)
	c.mu.Unlock()
	for _, slot := range slots {
		slot.mu.Lock()
		if slot.session != nil {
			_ = slot.session.Close()
		}
		slot.mu.Unlock()
	}
}
