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

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/internal/fields"
	"github.com/briarcross/briarcross/routing"
	"github.com/briarcross/briarcross/upstream"
)

const (
	// waitShare is the part of a route's objective for which a request may wait
	// for a slot. A caller that is refused this early can still be served on
	// time when it returns.
	waitShare = 0.25
	// returnWaitShare is the part of its time left for which a caller that has
	// been refused before may wait; what remains is enough for one more return.
	returnWaitShare = 0.5
	// maxUnrun bounds the upstreams that may refuse one request without having
	// run it.
	maxUnrun = 4
	// relayBufferBytes holds several events of a stream.
	relayBufferBytes = 8 << 10
	// maxWholeBytes bounds an answer that is read whole before it is relayed,
	// so that it can be asked for again if it breaks off.
	maxWholeBytes = 1 << 20
)

// exchange is one request of a caller on its way to an answer.
type exchange struct {
	node    *Node
	w       http.ResponseWriter
	request *http.Request
	said    RequestHeaders
	route   *routing.Route
	table   *routing.Table
	service string
	body    []byte
	arrived time.Time
	// left is the time that the caller or the route allows in all.
	left time.Duration

	ctx context.Context
	// avoid names the upstreams that have failed the request.
	avoid []string
	// ran counts the upstreams that may have run the request, unrun those that
	// refused it.
	ran   int
	unrun int
	// upstream is where the request was placed last.
	upstream string
	// relaying is set once the head of an answer has been sent.
	relaying bool
	events   upstream.EventSplitter
	// first is the time from the request to its first event.
	first time.Duration
}

func (n *Node) newExchange(w http.ResponseWriter, r *http.Request, said RequestHeaders, route *routing.Route, table *routing.Table, body []byte) *exchange {
	left := route.Timeout
	if said.TimeToDeadline > 0 {
		left = min(left, said.TimeToDeadline)
	}
	return &exchange{
		node: n, w: w, request: r, said: said, route: route, table: table, body: body,
		service: route.PickService(rand.Uint64()), arrived: time.Now(), left: left,
		events: upstream.EventSplitter{LastID: said.ResumeAfter},
	}
}

// verdict is how an attempt at an upstream ended.
type verdict int

const (
	// answered requests have their final answer.
	answered verdict = iota
	// unrun requests have certainly not run at that upstream.
	unrun
	// broken attempts may have run.
	broken
)

// run places the request until it is answered or nothing more can be tried.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.request.Context(), x.arrived.Add(x.left))
	defer cancel()
	x.ctx = ctx
	reason := ""
	for x.mayTry() {
		grant, refused := x.node.Slots.Acquire(ctx, x.ask())
		if refused != nil {
			x.endUnplaced(refused)
			return
		}
		x.node.metrics.waits.Observe(grant.Waited.Seconds())
		var v verdict
		v, reason = x.attempt(grant)
		if v == answered {
			return
		}
		if !slices.Contains(x.avoid, grant.Upstream) {
			x.avoid = append(x.avoid, grant.Upstream)
		}
		x.node.metrics.retries.WithLabelValues(reason).Inc()
		x.node.logger.Info(eventlog.RequestRetried, "request", x.said.ID, "upstream", grant.Upstream, "reason", reason,
			"ran", x.ran, "unrun", x.unrun, "events", x.events.Count, "last_event", x.events.LastID, "elapsed_ms", x.elapsed().Milliseconds())
		if ctx.Err() != nil {
			break
		}
	}
	x.giveUp(reason)
}

func (x *exchange) elapsed() time.Duration { return time.Since(x.arrived) }

// mayTry reports whether another upstream may get the request.
func (x *exchange) mayTry() bool {
	if x.unrun > maxUnrun {
		return false
	}
	return x.ran == 0 || x.route.Repeatable() && x.ran < max(1, x.route.MaxAttempts)
}

// ask describes the slot that the request needs. One that has run already is
// worth waiting for as long as its answer can be on time.
func (x *exchange) ask() dispatch.SlotRequest {
	left := x.left - x.elapsed()
	wait := time.Duration(waitShare * float64(x.route.LatencyObjective))
	if x.ran > 0 {
		wait = x.route.LatencyObjective
	}
	return dispatch.SlotRequest{
		Service:        x.service,
		Class:          dispatch.Online,
		Priority:       x.route.Priority,
		Avoid:          x.avoid,
		MaxWait:        max(0, min(wait, left)),
		Route:          x.route.Name,
		TimeToDeadline: max(0, x.said.TimeToDeadline-x.elapsed()),
		RetryMaxWait:   max(0, min(x.route.LatencyObjective, time.Duration(returnWaitShare*float64(left)))),
	}
}

// endUnplaced answers a request that gets no slot.
func (x *exchange) endUnplaced(refused *dispatch.Refusal) {
	if x.request.Context().Err() != nil {
		x.abandon()
		return
	}
	if x.ran > 0 {
		x.giveUp(string(refused.Reason))
		return
	}
	reason := string(refused.Reason)
	if reason == "" {
		reason = "deadline"
	}
	x.node.refuse(x.w, x.said.ID, refusal{
		reason: reason, retryAfter: refused.RetryAfter, route: x.route.Name, routing: x.table.Version, waited: x.elapsed(),
		left: x.left - x.elapsed(), returned: refused.Retrying,
	})
}

// abandon ends a request whose caller has left.
func (x *exchange) abandon() {
	x.node.metrics.requests.WithLabelValues("abandoned").Inc()
	x.node.logger.Info(eventlog.RequestCut, "request", x.said.ID, "reason", "caller_left", "upstream", x.upstream,
		"events", x.events.Count, "elapsed_ms", x.elapsed().Milliseconds(), "left_ms", (x.left - x.elapsed()).Milliseconds())
	panic(http.ErrAbortHandler)
}

// giveUp ends a request that no upstream answered. An answer that was begun is
// cut, so that it does not look complete.
func (x *exchange) giveUp(reason string) {
	if x.request.Context().Err() != nil {
		x.abandon()
	}
	if x.relaying {
		x.node.metrics.requests.WithLabelValues("cut").Inc()
		x.node.logger.Warn(eventlog.RequestCut, "request", x.said.ID, "reason", reason, "upstream", x.upstream,
			"events", x.events.Count, "elapsed_ms", x.elapsed().Milliseconds(), "left_ms", (x.left - x.elapsed()).Milliseconds())
		panic(http.ErrAbortHandler)
	}
	f := refusal{reason: reason, route: x.route.Name, routing: x.table.Version, waited: x.elapsed()}
	switch {
	case x.ran == 0:
		f.retryAfter = minUnrunRetry
	case x.ctx.Err() != nil:
		f.status = http.StatusGatewayTimeout
	default:
		f.status = http.StatusBadGateway
	}
	x.node.refuse(x.w, x.said.ID, f)
}

// minUnrunRetry is the time after which an upstream that refused a request is
// likely to have room.
const minUnrunRetry = 200 * time.Millisecond

// attempt sends the request to one upstream and relays its answer.
func (x *exchange) attempt(grant dispatch.Grant) (verdict, string) {
	// An answer whose caller has left says nothing about the upstream.
	outcome := dispatch.Inconclusive
	defer func() { x.node.Slots.Release(grant, outcome) }()
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	x.upstream = grant.Upstream
	x.node.logger.Info(eventlog.RequestPlaced, "request", x.said.ID, "route", x.route.Name, "routing", x.table.Version,
		"upstream", grant.Upstream, "address", grant.Address, "waited_ms", grant.Waited.Milliseconds(), "free", grant.FreeSlots, "ran", x.ran,
		"left_ms", (x.left - x.elapsed()).Milliseconds(), "returned", grant.Retrying)
	answer, err := x.node.engines.Do(ctx, x.call(grant))
	if err != nil {
		if x.ctx.Err() == nil {
			outcome = dispatch.Failed
		}
		if upstream.ExecutionStateOf(err) == upstream.NotSent {
			x.unrun++
			return unrun, "unreachable"
		}
		x.ran++
		return broken, "no_answer"
	}
	defer answer.Close()
	if answer.NotRun || answer.OtherInstance {
		outcome = dispatch.Rejected
		if answer.OtherInstance {
			outcome = dispatch.OtherInstance
		}
		// The rest of a refusal does not matter; reading it keeps the connection.
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, relayBufferBytes))
		x.unrun++
		return unrun, "refused_" + strconv.Itoa(answer.Status)
	}
	x.ran++
	if !answer.Genuine {
		outcome = dispatch.Failed
		return broken, "not_genuine"
	}
	v, reason := x.relay(answer)
	switch {
	case v == answered && answer.Status/100 == 5 && answer.Status != http.StatusGatewayTimeout:
		outcome = dispatch.Failed
	case v == answered:
		outcome = dispatch.Served
	case x.ctx.Err() == nil:
		outcome = dispatch.Failed
	}
	return v, reason
}

func (x *exchange) call(grant dispatch.Grant) *upstream.Request {
	return &upstream.Request{
		Address:          grant.Address,
		ExpectedInstance: grant.Upstream,
		ID:               x.said.ID,
		Method:           x.request.Method,
		Target:           x.request.RequestURI,
		Host:             x.request.Host,
		Header:           x.request.Header,
		Body:             x.body,
		TimeToDeadline:   x.left - x.elapsed(),
		ResumeAfter:      x.events.LastID,
	}
}

// relay passes an answer on.
func (x *exchange) relay(answer *upstream.Response) (verdict, string) {
	if answer.Status/100 == 2 && x.route.Kind == routing.Streaming {
		return x.relayEvents(answer)
	}
	if x.relaying {
		return broken, "resumption_" + strconv.Itoa(answer.Status)
	}
	if answer.Status >= 500 && x.route.Repeatable() && x.ran < x.route.MaxAttempts {
		return broken, "status_" + strconv.Itoa(answer.Status)
	}
	return x.relayWhole(answer)
}

// relayWhole passes on an answer that is not a stream. It is read to its end
// first, so that one that breaks off can be asked for again.
func (x *exchange) relayWhole(answer *upstream.Response) (verdict, string) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWholeBytes))
	if err != nil {
		return broken, "broke_off"
	}
	if answer.Complete() || len(body) < maxWholeBytes {
		x.sendHead(answer, int64(len(body)))
		if _, err := x.w.Write(body); err != nil {
			x.abandon()
		}
		x.finish(answer.Status)
		return answered, ""
	}
	x.sendHead(answer, answer.ContentLength)
	if _, err := x.w.Write(body); err != nil {
		x.abandon()
	}
	if _, err := io.Copy(x.w, answer.Body); err != nil {
		x.giveUp("broke_off")
	}
	x.finish(answer.Status)
	return answered, ""
}

// relayEvents passes the whole events of a stream on as they come.
func (x *exchange) relayEvents(answer *upstream.Response) (verdict, string) {
	x.events.Reset()
	if !x.relaying {
		x.sendHead(answer, -1)
		x.flush()
	} else {
		x.node.logger.Info(eventlog.RequestResumed, "request", x.said.ID, "after", x.events.LastID, "events", x.events.Count,
			"elapsed_ms", x.elapsed().Milliseconds())
	}
	buffer := make([]byte, relayBufferBytes)
	for {
		size, err := answer.Body.Read(buffer)
		if size > 0 {
			if failed := x.relayPiece(buffer[:size]); failed != nil {
				return broken, "malformed"
			}
		}
		switch {
		case errors.Is(err, io.EOF) && x.events.PendingBytes() == 0:
			x.finish(answer.Status)
			return answered, ""
		case errors.Is(err, io.EOF):
			return broken, "event_cut"
		case err != nil:
			return broken, "broke_off"
		}
	}
}

func (x *exchange) relayPiece(piece []byte) error {
	first := x.events.Count == 0
	whole, err := x.events.Push(piece)
	if err != nil {
		return err
	}
	if len(whole) == 0 {
		return nil
	}
	if first {
		x.first = x.elapsed()
		x.node.metrics.firstByte.WithLabelValues(x.route.Name).Observe(x.first.Seconds())
	}
	if _, err := x.w.Write(whole); err != nil {
		x.abandon()
	}
	x.flush()
	return nil
}

func (x *exchange) flush() {
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		x.abandon()
	}
}

// sendHead sends the head of an upstream's answer. A negative length leaves
// the length open.
func (x *exchange) sendHead(answer *upstream.Response, length int64) {
	header := x.w.Header()
	for name, values := range answer.Header {
		if !fields.HopByHop(name) {
			header[name] = values
		}
	}
	if _, said := answer.Header["Content-Type"]; !said {
		// A nil value keeps the library from guessing a type.
		header["Content-Type"] = nil
	}
	if length >= 0 && x.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.w.WriteHeader(answer.Status)
	x.relaying = true
}

func (x *exchange) finish(status int) {
	x.node.metrics.requests.WithLabelValues("answered").Inc()
	x.node.logger.Info(eventlog.RequestFinished, "request", x.said.ID, "status", status, "ran", x.ran, "unrun", x.unrun,
		"events", x.events.Count, "first_ms", x.first.Milliseconds(), "elapsed_ms", x.elapsed().Milliseconds())
}
