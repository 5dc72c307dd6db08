package entrynode

import (
	"net/http"
	"runtime/debug"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/internal/identifier"
)

// panicked is the reason of attempts that ended in a panic.
const panicked = "panicked"

// endAborted reports panics, which net/http would drop.
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
			panic(http.ErrAbortHandler)
		}()
		handler.ServeHTTP(w, r)
	})
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
