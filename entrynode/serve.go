package entrynode

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/internal/identifier"
	"github.com/briarcross/briarcross/routing"
)

const (
	// firstTableRetryAfter is the time after which a starting entry has received
	// its routing table and upstreams, even if all daemons start at once.
	firstTableRetryAfter = 800 * time.Millisecond
	// defaultBodyBytes limits a request body if the routing table sets no limit.
	defaultBodyBytes = 8 << 20
	// invalidID is the reason of refusals of requests with an ID that cannot be kept or sent.
	invalidID = "invalid_id"
)

// Serve handles one request of a caller.
func (n *Node) Serve(w http.ResponseWriter, r *http.Request) {
	headers := n.codec.ParseRequestHeaders(r)
	table := n.Table()
	if table == nil {
		n.refuse(w, headers.ID, refusal{reason: "no_routing_table", retryAfter: firstTableRetryAfter})
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := table.Match(r.Host, path)
	if !ok {
		n.refuse(w, headers.ID, refusal{reason: "no_route", status: http.StatusNotFound, routingVersion: table.Version})
		return
	}
	if err := checkRequestID(headers.ID); err != nil {
		n.refuseUnread(w, r, headers.ID, refusal{reason: invalidID, status: http.StatusBadRequest, route: route.Name, routingVersion: table.Version, cause: err})
		return
	}
	customer, refused := n.authenticate(r, table, route.Public)
	if refused != nil {
		refused.route = route.Name
		n.refuseUnread(w, r, headers.ID, *refused)
		return
	}
	if limit := table.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		n.refuse(w, headers.ID, refusal{
			reason: "header_too_large", status: http.StatusRequestHeaderFieldsTooLarge, routingVersion: table.Version, customer: nameOf(customer),
		})
		return
	}
	isJob := route.Kind == routing.Bulk && r.Method == http.MethodPost
	cost := int64(bodyCost)
	if isJob {
		cost = jobBodyCost
	}
	body, failure := readBody(w, r, table.Limits, cost)
	if failure != nil {
		failure.routingVersion, failure.customer, failure.route = table.Version, nameOf(customer), route.Name
		if isJob && failure.promisesNotRun() && n.acceptAgain(w, headers.ID, customer, failure) {
			return
		}
		n.refuseUnfinished(w, r, headers.ID, *failure)
		return
	}
	extendWriteDeadline(w, requestTimeout(headers, route))
	if n.outlastsStop(requestTimeout(headers, route)) {
		n.refuse(w, headers.ID, refusal{reason: reasonStopping, route: route.Name, routingVersion: table.Version, customer: nameOf(customer)})
		return
	}
	if isJob {
		n.submit(w, r, headers, route, table, customer, body)
		return
	}
	n.newExchange(w, r, headers, route, table, customer, body).run()
}

func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// refusal is a final response that the entry generates itself.
type refusal struct {
	reason string
	// status is the HTTP status. Zero means 503: the request has not run and can
	// be retried.
	status         int
	retryAfter     time.Duration
	routingVersion uint64
	route          string
	customer       string
	elapsed        time.Duration
	// timeToDeadline is the time until the caller's deadline.
	timeToDeadline time.Duration
	// retrying is set for a caller that was refused before.
	retrying bool
	cause    error
}

// promisesNotRun reports whether the status states that the request has not run and never will.
func (f *refusal) promisesNotRun() bool {
	return f.status == 0 || f.status == http.StatusServiceUnavailable || f.status == http.StatusRequestTimeout
}

// refuse responds to a request with a refusal, and logs and counts it.
func (n *Node) refuse(w http.ResponseWriter, id string, f refusal) {
	if f.status == 0 {
		f.status = http.StatusServiceUnavailable
	}
	n.metrics.refusals.WithLabelValues(f.reason).Inc()
	n.metrics.requests.WithLabelValues("refused").Inc()
	n.logger.Info(eventlog.RequestRefused, withCustomer(f.customer, "request", identifier.Loggable(id), "reason", f.reason, "status", f.status, "route", f.route,
		"retry_after_ms", f.retryAfter.Milliseconds(), "waited_ms", f.elapsed.Milliseconds(), "routing", f.routingVersion,
		"left_ms", f.timeToDeadline.Milliseconds(), "returned", f.retrying, "error", f.cause)...)
	if f.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	body := f.reason + "\n"
	if f.status == http.StatusBadRequest && f.cause != nil {
		body = f.reason + ": " + f.cause.Error() + "\n"
	}
	// With its length, the response is complete before the handler returns.
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(f.status)
	// A write error means that the caller has disconnected.
	_, _ = io.WriteString(w, body)
}
