package entrynode

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/routing"
)

const (
	// responseWriteTimeout bounds the time for which a response waits for a caller that does not
	// read.
	responseWriteTimeout = 30 * time.Second
	// pressedWriteTimeout is that of a response for which there is no room.
	pressedWriteTimeout = 2 * time.Second
	// memoryRetryAfter is the time after which bodies that have stopped arriving have given their
	// memory back.
	memoryRetryAfter = time.Second
	// lingerTimeout, maxLingerBytes and maxLingering bound for how long, how far, and for how many
	// callers at a time the rest of a refused body is read.
	lingerTimeout  = time.Second
	maxLingering   = 64
	maxLingerBytes = 4 << 20
	// bodyCost is the memory for a byte of a body. jobBodyCost is that for a job, which also exists
	// as decoded items, as a message, and encoded.
	bodyCost    = 1
	jobBodyCost = 6
)

// Reasons of refusals of requests that may not hold what they need.
const (
	reasonMemoryFull      = "memory_full"
	reasonBodyTooSlow     = "body_too_slow"
	reasonConnectionsFull = "connections_full"
)

// trackConn is the ConnState hook of the server.
func (n *Node) trackConn(conn net.Conn, state http.ConnState) {
	n.clients.Track(conn, state)
	n.callerConns.track(conn, state)
}

// limitClients begins each request as one of the clients.
func (n *Node) limitClients(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		extendWriteDeadline(w, 0)
		held := n.clients.Serve(callerConn(r))
		if held == nil {
			w.Header().Set("Connection", "close")
			n.refuse(w, n.codec.ParseRequestHeaders(r).ID, refusal{reason: reasonConnectionsFull, retryAfter: memoryRetryAfter})
			return
		}
		if r.ContentLength == 0 {
			// The server has read all of the request.
			_ = held.Complete()
		}
		handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), clientRequestKey{}, held)))
	})
}

// clientRequestKey is the key of the daemon.ClientRequest in the context of a request.
type clientRequestKey struct{}

// clientRequest returns what a request holds as one of the clients, nil if it has not come through
// limitClients.
func clientRequest(r *http.Request) *daemon.ClientRequest {
	held, _ := r.Context().Value(clientRequestKey{}).(*daemon.ClientRequest)
	return held
}

// extendWriteDeadline sets the time for which the response may wait for the caller, after the time
// that the request itself may take.
func extendWriteDeadline(w http.ResponseWriter, timeout time.Duration) {
	// Tests have writers without a connection.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout + responseWriteTimeout))
}

// callerConn returns the connection of a request.
func callerConn(r *http.Request) net.Conn {
	conn, _ := r.Context().Value(callerConnKey{}).(net.Conn)
	return conn
}

// readBody reads a request's body within the limits of the routing table and of the clients.
func readBody(w http.ResponseWriter, r *http.Request, limits routing.Limits, cost int64) ([]byte, *refusal) {
	maxBytes := int64(defaultBodyBytes)
	if limits.MaxBodyBytes > 0 {
		maxBytes = int64(limits.MaxBodyBytes)
	}
	body, err := clientRequest(r).ReadBody(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength, maxBytes, cost)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, daemon.ErrBodyTooLarge), errors.As(err, &tooLarge):
		return nil, &refusal{reason: "body_too_large", status: http.StatusRequestEntityTooLarge}
	case errors.Is(err, daemon.ErrBodyTooSlow):
		return nil, &refusal{reason: reasonBodyTooSlow, status: http.StatusRequestTimeout}
	case errors.Is(err, daemon.ErrClientMemory):
		return nil, &refusal{reason: reasonMemoryFull, retryAfter: memoryRetryAfter}
	case err != nil:
		return nil, &refusal{reason: "body_broken", status: http.StatusBadRequest, cause: err}
	}
	return body, nil
}

// refuseUnfinished refuses a request whose body has not arrived, and ends its connection. For a
// while it reads the rest, so that a caller who is still sending gets the refusal.
func (n *Node) refuseUnfinished(w http.ResponseWriter, r *http.Request, id string, f refusal) {
	// The body may have taken most of the time for the response.
	extendWriteDeadline(w, 0)
	w.Header().Set("Connection", "close")
	clientRequest(r).Release()
	controller := http.NewResponseController(w)
	lingers := n.lingering.Add(1) <= maxLingering && clientRequest(r).Evicted() == nil && controller.EnableFullDuplex() == nil
	defer n.lingering.Add(-1)
	n.refuse(w, id, f)
	if !lingers || controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	// An error means that the caller has disconnected, or is slow.
	_, _ = io.CopyN(io.Discard, r.Body, maxLingerBytes)
}
