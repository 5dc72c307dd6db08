package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	prefaceTimeout = 5 * time.Second
	// maxStreams bounds the open streams of one connection; further streams are
	// closed unread.
	maxStreams = 4096
)

// Handler serves one stream and closes it before it returns.
type Handler func(class Class, stream *Stream)

// Server accepts streams from other processes.
type Server struct {
	identity *Identity
	handler  Handler

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
	handlers sync.WaitGroup
}

// NewServer returns a server that calls the handler for each stream in a new
// goroutine.
func NewServer(identity *Identity, handler Handler) *Server {
	return &Server{
		identity: identity,
		handler:  handler,
		conns:    make(map[net.Conn]struct{}),
	}
}

// Serve accepts connections until the listener or the server is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			return err
		}
		if !s.addConn(conn) {
			_ = conn.Close()
			return nil
		}
		go s.serveConn(conn)
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.handlers.Add(1)
	return true
}

func (s *Server) removeConn(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.handlers.Done()
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.removeConn(conn)
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(prefaceTimeout)); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), prefaceTimeout)
	defer cancel()
	roles, err := certificateRoles(ctx, conn)
	if err != nil {
		return
	}
	class, err := readPreface(conn)
	if err != nil {
		return
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	streams := newActivity()
	session, err := yamux.Server(newCoalescingConn(conn, s.identity.Traffic(class), streams), sessionConfig())
	if err != nil {
		return
	}
	s.serveSession(class, session, streams, conn.RemoteAddr().String(), roles)
}

func (s *Server) serveSession(class Class, session *yamux.Session, streams *activity, peerAddress string, roles peerRoles) {
	defer func() { _ = session.Close() }()
	for {
		conn, err := session.Accept()
		if err != nil {
			return
		}
		if session.NumStreams() > maxStreams {
			_ = conn.Close()
			continue
		}
		stream := newStream(s.identity, streams, conn, peerAddress, roles)
		s.handlers.Go(func() {
			defer func() { _ = stream.Close() }()
			s.handler(class, stream)
		})
	}
}

// Close closes all connections and waits for the handlers to return.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.handlers.Wait()
}
