package entrynode

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/briarcross/briarcross/customers"
	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/internal/fields"
	"github.com/briarcross/briarcross/internal/identifier"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/origins"
	"github.com/briarcross/briarcross/quarantine"
	"github.com/briarcross/briarcross/routing"
	"github.com/briarcross/briarcross/upstream"
)

const (
	// maxWaitShare is the part of a route's latency objective for which a request
	// may wait for a slot while it is not known how long the first event takes.
	maxWaitShare = 0.25
	// retryMaxWaitShare is the part of its remaining time for which a retrying
	// caller may wait; the rest is enough for one more retry.
	retryMaxWaitShare = 0.5
	// maxNotRunAttempts bounds the attempts that upstreams have certainly not run.
	// With one more, the request fails, unless it is a stream that may still wait for
	// maxResumeWait.
	maxNotRunAttempts = 4
	// minResendDelay is the time after which a stream that has begun may be sent again
	// to an upstream that has not run it.
	minResendDelay = 600 * time.Millisecond
	// relayBufferBytes is the size of a read buffer, enough for several events of a
	// stream.
	relayBufferBytes = 8 << 10
	// maxBufferedBytes limits a response that is read completely before it is
	// relayed, so that the request can be retried if the response is interrupted.
	maxBufferedBytes = 1 << 20
	// malformed is the reason of attempts whose response is no event stream.
	malformed = "malformed"
	// outputTooLong is that of attempts whose stream exceeds the output that the request allows.
	outputTooLong = "output_too_long"
	// conditionUnmet is the reason of attempts at engines that do not meet a condition that the
	// caller states.
	conditionUnmet = "condition_unmet"
	// maxResumeWait is how long a stream that has begun may wait for a slot, with the
	// attempts that upstreams have not run. Only engines of one software version can go
	// on with it, and its caller has a part of it already.
	maxResumeWait = time.Second
)

// exchange handles one request of a caller: it sends it to upstreams until one
// responds, and relays the response.
type exchange struct {
	node    *Node
	w       http.ResponseWriter
	request *http.Request
	headers RequestHeaders
	route   *routing.Route
	table   *routing.Table
	service string
	// customer is nil in a deployment without customers, and for a caller without a key on
	// a public route.
	customer *customers.Customer
	// identityTable is the routing table by which customer was identified last.
	identityTable *routing.Table
	// quotaCustomer is the customer for whose quota the request counts; nil before it does.
	quotaCustomer *customers.Customer
	body          []byte
	// promptParts are the IDs of the parts of the prompt that other requests may share.
	promptParts []string
	// tokens is the memory of an upstream that the request may need; zero if unknown.
	tokens int
	// requestPart is the part for the quarantine that stands for the request itself.
	requestPart string
	arrivedAt   time.Time
	// timeout is the total time that the caller and the route allow, counted from
	// arrivedAt.
	timeout time.Duration

	ctx context.Context
	// avoid lists the IDs of upstreams that have failed or refused the request. For a
	// stream that has begun, one that refused it once is not among them.
	avoid []string
	// resendAt holds, by ID, the time from which an upstream that has not run a stream
	// that has begun may get it again.
	resendAt map[string]time.Time
	// interruptedAt is the time since which no upstream has run the request.
	interruptedAt time.Time
	// mayHaveRunCount counts the attempts that may have run the request,
	// notRunCount those that certainly have not.
	mayHaveRunCount int
	notRunCount     int
	// hedged is set once the request has had a second attempt beside the first one.
	hedged bool
	// upstream is the ID of the upstream of the last attempt, upstreamVersion its
	// software version.
	upstream        string
	upstreamVersion string
	// origin is set once the stream has events, also from an earlier request of the
	// caller. Only engines of its software version may go on with it.
	origin *origins.Origin
	// conflicting is set once the caller may have got an event that is none of its stream.
	conflicting bool
	// headSent is set once the head of a response has been sent to the caller.
	headSent bool
	events   upstream.EventSplitter
	// progress measures the stream of the current attempt.
	progress node.ProgressMeter
	// timeToFirstEvent is the time from arrivedAt to the first complete event.
	timeToFirstEvent time.Duration
}

// requestTimeout is the total time that the caller and the route of a request allow.
func requestTimeout(headers RequestHeaders, route *routing.Route) time.Duration {
	if headers.TimeToDeadline > 0 {
		return min(route.Timeout, headers.TimeToDeadline)
	}
	return route.Timeout
}

func (n *Node) newExchange(w http.ResponseWriter, r *http.Request, headers RequestHeaders, route *routing.Route, table *routing.Table, customer *customers.Customer, body []byte) *exchange {
	arrivedAt := time.Now()
	tokens := n.codec.TokenCount(r.Header)
	return &exchange{
		node: n, w: w, request: r, headers: headers, route: route, table: table, customer: customer, identityTable: table, body: body,
		promptParts: n.codec.SharedPromptParts(r.Header), tokens: tokens, requestPart: quarantine.RequestPart(requestDigest(r, body)),
		service: table.PickService(route, rand.Uint64(), tokens, n.Slots.HasUpstream), arrivedAt: arrivedAt, interruptedAt: arrivedAt, timeout: requestTimeout(headers, route),
		events: upstream.EventSplitter{
			LastID: headers.ResumeAfter, VersionField: n.codec.EventVersionField(), Limits: n.outputLimits(r.Header),
		},
	}
}

// outputLimits returns the limits of the stream that answers a request. Without a stated number of
// tokens there are none: an entry keeps nothing of a stream, and its time is limited.
func (n *Node) outputLimits(header http.Header) upstream.OutputLimits {
	if tokens := n.codec.MaxOutputTokens(header); tokens > 0 {
		return upstream.LimitOutput(tokens)
	}
	return upstream.OutputLimits{}
}

// attemptResult is the result of an attempt at an upstream.
type attemptResult int

const (
	// completed means that the final response has been relayed.
	completed attemptResult = iota
	// notRun means that the upstream certainly has not run the request.
	notRun
	// rejected means that the upstream has refused the request, and has not run it.
	rejected
	// mayHaveRun means that the attempt failed and the upstream may have run the
	// request.
	mayHaveRun
)

// run attempts the request until it completes or no further attempt is allowed.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.request.Context(), x.arrivedAt.Add(x.timeout))
	defer cancel()
	x.ctx = ctx
	if x.endIfQuarantined() {
		return
	}
	if refused := x.findOrigin(); refused != nil {
		x.refuse(*refused)
		return
	}
	if x.endIfOverQuota() {
		return
	}
	defer x.returnQuota()
	reason := ""
	for x.canAttempt() {
		if x.endIfQuarantined() {
			return
		}
		grant, refused := x.node.Slots.Acquire(ctx, x.slotRequest())
		if refused != nil {
			x.handleSlotRefusal(refused)
			return
		}
		x.node.metrics.slotWait.Observe(grant.Waited.Seconds())
		if _, quarantined := x.node.Quarantine.Check(x.suspectParts()); quarantined {
			x.node.Slots.Release(grant, dispatch.Inconclusive)
			continue
		}
		if refused := x.reauthenticate(); refused != nil {
			x.node.Slots.Release(grant, dispatch.Inconclusive)
			x.endRevoked(*refused)
			return
		}
		var result attemptResult
		if x.route.HedgeShare > 0 {
			result, reason = x.hedgedAttempt(grant)
		} else {
			result, reason = x.attempt(grant)
		}
		if result == completed {
			return
		}
		x.node.metrics.retries.WithLabelValues(reason).Inc()
		x.recordRetry(x.upstream, result, reason)
		if ctx.Err() != nil {
			break
		}
	}
	x.fail(reason)
}

// recordRetry records that an attempt at an upstream ended without a response.
func (x *exchange) recordRetry(id string, result attemptResult, reason string) {
	x.avoidUpstream(id, result)
	x.node.logger.Info(eventlog.RequestRetried, "request", x.loggedID(), "upstream", id, "reason", reason,
		"ran", x.mayHaveRunCount, "unrun", x.notRunCount, "events", x.events.Count, "last_event", x.events.LastID, "elapsed_ms", x.elapsed().Milliseconds())
}

// avoidUpstream records the result of an attempt at an upstream for the choice of the
// next one.
func (x *exchange) avoidUpstream(id string, result attemptResult) {
	if result == mayHaveRun {
		x.interruptedAt = time.Now()
	} else if x.origin != nil {
		_, again := x.resendAt[id]
		if x.resendAt == nil {
			x.resendAt = make(map[string]time.Time)
		}
		x.resendAt[id] = time.Now().Add(minResendDelay)
		if result == rejected && !again {
			return
		}
	}
	if !slices.Contains(x.avoid, id) {
		x.avoid = append(x.avoid, id)
	}
}

// loggedID returns the ID of the request for log lines.
func (x *exchange) loggedID() string { return identifier.Loggable(x.headers.ID) }

func (x *exchange) elapsed() time.Duration { return time.Since(x.arrivedAt) }

// canAttempt reports whether the request may be sent to an upstream (again).
func (x *exchange) canAttempt() bool {
	if x.conflicting {
		return false
	}
	if x.notRunCount > maxNotRunAttempts && (x.origin == nil || time.Since(x.interruptedAt) >= maxResumeWait) {
		return false
	}
	return x.mayHaveRunCount == 0 || x.route.Repeatable() && x.mayHaveRunCount < max(1, x.route.MaxAttempts)
}

// slotRequest returns the slot request of the next attempt. A request that may have
// run already waits as long as the latency objective allows.
func (x *exchange) slotRequest() dispatch.SlotRequest {
	remaining := x.timeout - x.elapsed()
	maxWait := time.Duration(maxWaitShare * float64(x.route.LatencyObjective))
	if x.mayHaveRunCount > 0 {
		maxWait = x.route.LatencyObjective
	}
	request := dispatch.SlotRequest{
		Service:         x.service,
		Class:           dispatch.Online,
		Priority:        x.route.Priority,
		Tokens:          x.tokens,
		Avoid:           x.avoid,
		MaxWait:         max(0, min(maxWait, remaining)),
		TimeToObjective: max(0, min(x.route.LatencyObjective, x.timeout)-x.elapsed()),
		Route:           x.route.Name,
		TimeToDeadline:  max(0, x.headers.TimeToDeadline-x.elapsed()),
		RetryMaxWait:    max(0, min(x.route.LatencyObjective, time.Duration(retryMaxWaitShare*float64(remaining)))),
	}
	if x.customer != nil {
		request.Customer = x.customer.Name
		if x.customer.Priority != nil {
			request.Priority = *x.customer.Priority
		}
	}
	if x.origin == nil && x.route.Resumable {
		request.AvoidVersions = x.node.View.UnsettledVersions(time.Now(), x.service)
	}
	if x.origin != nil {
		request.Bound, request.SoftwareVersion = true, x.origin.SoftwareVersion
		waited := time.Since(x.interruptedAt)
		request.NotBefore = x.resendAt
		request.MaxWait = max(0, min(maxResumeWait-waited, remaining))
		request.RetryMaxWait = max(0, request.RetryMaxWait-waited)
	}
	return request
}

// handleSlotRefusal ends a request that gets no slot.
func (x *exchange) handleSlotRefusal(refused *dispatch.Refusal) {
	if x.request.Context().Err() != nil {
		x.abandon()
		return
	}
	if x.mayHaveRunCount > 0 {
		x.fail(string(refused.Reason))
		return
	}
	reason, status, retryAfter := string(refused.Reason), 0, refused.RetryAfter
	switch refused.Reason {
	case "":
		reason = "deadline"
	case dispatch.TooLarge:
		status = http.StatusRequestEntityTooLarge
	case dispatch.NoUpstream:
		// Asking again is of no use, unless this daemon does not know the upstreams yet.
		if x.origin != nil && x.node.View.Current(time.Now()) {
			reason, retryAfter = "origin_gone", 0
		}
	}
	x.refuse(refusal{
		reason: reason, status: status, retryAfter: retryAfter, route: x.route.Name, routingVersion: x.table.Version, elapsed: x.elapsed(),
		timeToDeadline: x.timeout - x.elapsed(), retrying: refused.Retrying,
	})
}

// abandon ends a request whose caller has disconnected.
func (x *exchange) abandon() {
	x.node.metrics.requests.WithLabelValues("abandoned").Inc()
	x.node.logger.Info(eventlog.RequestCut, "request", x.loggedID(), "reason", "caller_left", "upstream", x.upstream,
		"events", x.events.Count, "elapsed_ms", x.elapsed().Milliseconds(), "left_ms", (x.timeout - x.elapsed()).Milliseconds())
	panic(http.ErrAbortHandler)
}

// fail ends a request that no upstream completed. If the head of a response has
// been sent, it aborts the connection so that the response does not look complete.
func (x *exchange) fail(reason string) {
	if x.request.Context().Err() != nil {
		x.abandon()
	}
	if x.headSent {
		x.node.metrics.requests.WithLabelValues("cut").Inc()
		x.node.logger.Warn(eventlog.RequestCut, "request", x.loggedID(), "reason", reason, "upstream", x.upstream,
			"events", x.events.Count, "elapsed_ms", x.elapsed().Milliseconds(), "left_ms", (x.timeout - x.elapsed()).Milliseconds())
		panic(http.ErrAbortHandler)
	}
	f := refusal{reason: reason, route: x.route.Name, routingVersion: x.table.Version, elapsed: x.elapsed()}
	switch {
	case x.mayHaveRunCount == 0:
		f.retryAfter = notRunRetryAfter
	case x.ctx.Err() != nil:
		f.status = http.StatusGatewayTimeout
	default:
		f.status = http.StatusBadGateway
	}
	x.refuse(f)
}

// notRunRetryAfter is the time after which an upstream that refused a request is
// likely to have a free slot.
const notRunRetryAfter = 200 * time.Millisecond

// attempt sends the request to one upstream and relays its response. If the
// request is not completed, it returns the reason.
func (x *exchange) attempt(grant dispatch.Grant) (attemptResult, string) {
	// If the caller has disconnected, the attempt says nothing about the upstream.
	outcome := dispatch.Inconclusive
	defer func() { x.node.Slots.Release(grant, outcome) }()
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	x.recordPlaced(grant)
	sentAt := time.Now()
	response, err := x.node.upstreamClient.Do(ctx, x.upstreamRequest(grant))
	if err == nil {
		defer response.Close()
		x.recordStatements(grant, response)
	}
	var result attemptResult
	var reason string
	result, reason, outcome = x.conclude(grant, sentAt, response, err)
	return result, reason
}

// recordPlaced records that the request is sent to an upstream.
func (x *exchange) recordPlaced(grant dispatch.Grant) {
	x.upstream, x.upstreamVersion = grant.Upstream, grant.SoftwareVersion
	x.node.logger.Info(eventlog.RequestPlaced, withCustomer(x.customerName(), "request", x.loggedID(), "route", x.route.Name, "routing", x.table.Version,
		"upstream", grant.Upstream, "address", grant.Address, "waited_ms", grant.Waited.Milliseconds(), "free", grant.FreeSlots, "ran", x.mayHaveRunCount,
		"left_ms", (x.timeout-x.elapsed()).Milliseconds(), "returned", grant.Retrying,
		"version", grant.SoftwareVersion, "resumes", x.headers.ResumedID)...)
}

// conclude relays the response of an attempt, or returns the reason for which the request
// is not completed. The attempt was sent at sentAt; err is the error of the exchange with
// the upstream.
func (x *exchange) conclude(grant dispatch.Grant, sentAt time.Time, response *upstream.Response, err error) (result attemptResult, reason string, outcome dispatch.Outcome) {
	defer func() {
		if cause := recover(); cause != nil {
			result, reason, outcome = x.concludePanic(cause)
		}
	}()
	outcome = dispatch.Inconclusive
	if err != nil {
		if x.ctx.Err() == nil {
			outcome = dispatch.Failed
		}
		if upstream.ExecutionStateOf(err) == upstream.NotSent {
			x.notRunCount++
			return notRun, "unreachable", outcome
		}
		x.mayHaveRunCount++
		noAnswer := upstream.ReasonOf(err)
		if noAnswer.ConnFailed() {
			x.recordInterruption(grant, string(noAnswer), false, 0)
		}
		return mayHaveRun, string(noAnswer), outcome
	}
	if response.NotRun || response.OtherInstance {
		response.Discard()
		x.notRunCount++
		refused := "refused_" + strconv.Itoa(response.Status)
		switch {
		case response.OtherInstance:
			return notRun, refused, dispatch.OtherInstance
		case response.Unmet:
			return notRun, conditionUnmet, dispatch.Inconclusive
		}
		return rejected, refused, dispatch.Rejected
	}
	x.mayHaveRunCount++
	if !response.Genuine {
		return mayHaveRun, "not_genuine", dispatch.Failed
	}
	eventsBefore := x.events.Count
	x.progress = node.MeasureOnline(x.node.Slots, grant, sentAt)
	result, reason = x.relay(response)
	if result == mayHaveRun && response.Status/100 == 2 && reason != malformed {
		x.recordInterruption(grant, reason, true, x.events.Count-eventsBefore)
	}
	if result == completed && response.Status/100 == 2 {
		x.node.Quarantine.RecordServed(x.suspectParts())
	}
	switch {
	case result == completed && response.Status/100 == 5 && response.Status != http.StatusGatewayTimeout:
		outcome = dispatch.Failed
	case result == completed:
		outcome = dispatch.Served
	case x.ctx.Err() == nil:
		outcome = dispatch.Failed
	}
	return result, reason, outcome
}

func (x *exchange) upstreamRequest(grant dispatch.Grant) *upstream.Request {
	return &upstream.Request{
		Address:          grant.Address,
		ExpectedInstance: grant.Upstream,
		ID:               x.headers.ID,
		Method:           x.request.Method,
		Target:           x.request.RequestURI,
		Host:             x.request.Host,
		Header:           x.request.Header,
		Body:             x.body,
		TimeToDeadline:   x.timeout - x.elapsed(),
		ResumeAfter:      x.events.LastID,
		Authenticated:    x.table.Customers != nil || x.identityTable.Customers != nil,
		Customer:         x.customerName(),
	}
}

func (x *exchange) customerName() string { return nameOf(x.customer) }

// relay relays a response to the caller unless the request has to be retried.
func (x *exchange) relay(response *upstream.Response) (attemptResult, string) {
	if response.Status/100 == 2 && x.route.Kind == routing.Streaming {
		return x.relayEvents(response)
	}
	if x.headSent {
		return mayHaveRun, "resumption_" + strconv.Itoa(response.Status)
	}
	if response.Status >= 500 && x.route.Repeatable() && x.mayHaveRunCount < x.route.MaxAttempts {
		return mayHaveRun, "status_" + strconv.Itoa(response.Status)
	}
	return x.relayBuffered(response)
}

// relayBuffered relays a response that is not a stream. It reads up to
// maxBufferedBytes of it first, so that an interrupted response can be retried. The body of an
// error must not be longer.
func (x *exchange) relayBuffered(response *upstream.Response) (attemptResult, string) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err != nil {
		return mayHaveRun, "broke_off"
	}
	x.holdResponse(len(body))
	if response.Complete() || len(body) < maxBufferedBytes {
		x.sendHead(response, int64(len(body)))
		if _, err := x.w.Write(body); err != nil {
			x.abandon()
		}
		x.finish(response.Status)
		return completed, ""
	}
	if response.Status >= 400 {
		return mayHaveRun, outputTooLong
	}
	x.sendHead(response, response.ContentLength)
	if _, err := x.w.Write(body); err != nil {
		x.abandon()
	}
	if _, err := io.Copy(x.w, response.Body); err != nil {
		x.fail("broke_off")
	}
	x.finish(response.Status)
	return completed, ""
}

// holdResponse counts a response that is in memory. It is too late to refuse the request: without
// room, the caller has to read soon.
func (x *exchange) holdResponse(bytes int) {
	if held := clientRequest(x.request); held != nil && held.Grow(int64(bytes)) != nil {
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(pressedWriteTimeout))
	}
}

// relayEvents relays the complete events of a stream as they arrive.
func (x *exchange) relayEvents(response *upstream.Response) (attemptResult, string) {
	x.events.Reset()
	if !x.headSent {
		x.sendHead(response, -1)
		x.flush()
	} else {
		x.node.logger.Info(eventlog.RequestResumed, "request", x.loggedID(), "after", x.events.LastID, "events", x.events.Count,
			"elapsed_ms", x.elapsed().Milliseconds(), "upstream", x.upstream, "version", x.upstreamVersion)
	}
	buffer := make([]byte, relayBufferBytes)
	eventsBefore := x.events.Count
	for {
		size, err := response.Body.Read(buffer)
		if size > 0 {
			before := x.events.Count - eventsBefore
			switch failed := x.relayChunk(buffer[:size]); {
			case errors.Is(failed, upstream.ErrEventConflict):
				// The caller may have got an event of no stream. No engine can go on after it.
				x.conflicting = true
				return mayHaveRun, malformed
			case errors.Is(failed, upstream.ErrOutputTooLong):
				// The events before it are none of the answer either.
				x.conflicting = true
				return mayHaveRun, outputTooLong
			case failed != nil:
				return mayHaveRun, malformed
			}
			if before < quarantine.MinServedEvents && x.events.Count-eventsBefore >= quarantine.MinServedEvents {
				x.node.Quarantine.RecordServed(x.suspectParts())
			}
		}
		switch {
		case errors.Is(err, io.EOF) && x.events.Count == eventsBefore && !response.EndMarked:
			return mayHaveRun, "no_events"
		case errors.Is(err, io.EOF) && x.events.PendingBytes() == 0:
			x.finish(response.Status)
			return completed, ""
		case errors.Is(err, io.EOF):
			return mayHaveRun, "event_cut"
		case err != nil:
			return mayHaveRun, "broke_off"
		}
	}
}

// relayChunk relays the whole events up to the end of a chunk. It returns an error if
// the rest is no part of a stream.
func (x *exchange) relayChunk(chunk []byte) error {
	before := x.events.Count
	first := before == 0
	complete, err := x.events.Push(chunk)
	if len(complete) == 0 {
		return err
	}
	x.progress.Record(time.Now(), x.events.Count-before)
	if first {
		x.recordOrigin()
		x.timeToFirstEvent = x.elapsed()
		x.node.metrics.firstByte.WithLabelValues(x.route.Name).Observe(x.timeToFirstEvent.Seconds())
	}
	if _, err := x.w.Write(complete); err != nil {
		x.abandon()
	}
	x.flush()
	x.progress.Relayed(time.Now())
	return err
}

func (x *exchange) flush() {
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		x.abandon()
	}
}

// sendHead sends the head of an upstream's response. With a negative length it
// sets no Content-Length.
func (x *exchange) sendHead(response *upstream.Response, length int64) {
	header := x.w.Header()
	for name, values := range response.Header {
		if !fields.HopByHop(name) {
			header[name] = values
		}
	}
	if _, hasContentType := response.Header["Content-Type"]; !hasContentType {
		// A nil value keeps net/http from guessing a type.
		header["Content-Type"] = nil
	}
	if length >= 0 && x.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.w.WriteHeader(response.Status)
	x.headSent = true
}

func (x *exchange) finish(status int) {
	x.node.metrics.requests.WithLabelValues("answered").Inc()
	x.node.logger.Info(eventlog.RequestFinished, "request", x.loggedID(), "status", status, "ran", x.mayHaveRunCount, "unrun", x.notRunCount,
		"events", x.events.Count, "first_ms", x.timeToFirstEvent.Milliseconds(), "elapsed_ms", x.elapsed().Milliseconds())
}
