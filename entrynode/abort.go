package entrynode

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/internal/identifier"
)

// panicked is the reason of attempts that ended in a panic.
const panicked = "panicked"

// callerConnKey is the key of the connection in the contexts of the requests on it.
type callerConnKey struct{}

// withCallerConn is the ConnContext hook of the server.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// endAborted ends the connections of aborted responses in a way that their callers can tell from
// the end of a response, and reports panics, which net/http would drop.
func (n *Node) endAborted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause != http.ErrAbortHandler {
				n.reportPanic(n.codec.ParseRequestHeaders(r).ID, cause)
			}
			if !r.ProtoAtLeast(1, 1) {
				resetOnClose(r)
			}
			panic(http.ErrAbortHandler)
		}()
		handler.ServeHTTP(w, r)
	})
}

// resetOnClose makes the close of a caller's connection reset it. Without chunks, which HTTP/1.0
// does not have, an orderly end of the connection is the end of the response.
func resetOnClose(r *http.Request) {
	if conn, ok := r.Context().Value(callerConnKey{}).(*net.TCPConn); ok {
		// A connection that has failed needs no reset.
		_ = conn.SetLinger(0)
	}
}

func (n *Node) reportPanic(requestID string, cause any) {
	n.metrics.panics.Inc()
	n.logger.Error(eventlog.RequestPanicked, "request", identifier.Loggable(requestID), "error", cause, "stack", string(debug.Stack()))
}

// concludePanic makes a panic while a response is relayed a failed attempt. A response that has
// begun cannot go on, since it is unknown what the caller got of it.
func (x *exchange) concludePanic(cause any) (attemptResult, string, dispatch.Outcome) {
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	x.node.reportPanic(x.headers.ID, cause)
	x.conflicting = x.conflicting || x.headSent
	return mayHaveRun, panicked, dispatch.Failed
}
