package entrynode

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/routing"
	"github.com/briarcross/briarcross/upstream"
)

// Results of hedges.
const (
	// hedgeWon means that the second attempt had the first event.
	hedgeWon = "won"
	// hedgeLost means that the first attempt had it.
	hedgeLost = "lost"
	// hedgeCancelled means that neither attempt had one.
	hedgeCancelled = "cancelled"
)

// opening is an attempt up to its first complete event. Its own goroutine reads the
// response up to there. The request then takes the opening over with done, or has
// abandoned it, and the goroutine ends it.
type opening struct {
	grant     dispatch.Grant
	startedAt time.Time
	cancel    context.CancelFunc
	// settled is set by the goroutine when it has read the first event, or by the request
	// when it abandons the opening. Whoever comes second ends the attempt.
	settled atomic.Bool
	// holdsSlot is set before the opening is abandoned if its slot stays taken until the
	// request ends.
	holdsSlot bool
	// done is closed if the goroutine came first. The fields below are set then.
	done chan struct{}

	response *upstream.Response
	// err is the error of the exchange with the upstream.
	err error
	// ready is set if the response can be relayed and is no error of the upstream.
	ready bool
	// broken is the reason of a stream that ended before its first event, else empty.
	broken string
	// took is the time until the first event or the end of the attempt.
	took time.Duration
}

// open starts an attempt.
func (x *exchange) open(grant dispatch.Grant) *opening {
	ctx, cancel := context.WithCancel(x.ctx)
	o := &opening{grant: grant, startedAt: time.Now(), cancel: cancel, done: make(chan struct{})}
	request := x.upstreamRequest(grant)
	splitter := upstream.EventSplitter{LastID: x.events.LastID, VersionField: x.events.VersionField, Limits: x.events.Limits}
	go func() {
		if o.response, o.err = x.node.upstreamClient.Do(ctx, request); o.err == nil {
			x.recordStatements(grant, o.response)
			o.readFirstEvent(x.route.Kind == routing.Streaming, splitter)
		}
		o.took = time.Since(o.startedAt)
		if o.settled.CompareAndSwap(false, true) {
			close(o.done)
		} else {
			x.discard(o)
		}
	}()
	return o
}

// readFirstEvent reads a stream up to its first complete event. Other responses are read
// whole, up to maxBufferedBytes. The stream is split by events.
func (o *opening) readFirstEvent(streaming bool, events upstream.EventSplitter) {
	r := o.response
	if r.NotRun || r.OtherInstance || !r.Genuine {
		return
	}
	body := &startedBody{rest: r.Body}
	r.Body = body
	if streaming && r.Status/100 == 2 {
		o.broken = body.readEvent(r.EndMarked, events)
	} else if body.start, body.err = io.ReadAll(io.LimitReader(body.rest, maxBufferedBytes)); body.err != nil {
		o.broken = "broke_off"
	}
	o.ready = o.broken == "" && r.Status < http.StatusInternalServerError
}

// startedBody is a body of which a part has been read. It returns that part again.
type startedBody struct {
	start []byte
	// err is the error that followed start.
	err  error
	rest io.Reader
}

// Read implements io.Reader.
func (b *startedBody) Read(p []byte) (int, error) {
	if len(b.start) > 0 {
		n := copy(p, b.start)
		b.start = b.start[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.rest.Read(p)
}

// readEvent reads up to the first event, or to the end of a stream without events. It returns
// a reason if the stream breaks off before.
func (b *startedBody) readEvent(endMarked bool, events upstream.EventSplitter) string {
	buffer := make([]byte, relayBufferBytes)
	for events.Count == 0 && len(b.start) < maxBufferedBytes {
		var size int
		size, b.err = b.rest.Read(buffer)
		b.start = append(b.start, buffer[:size]...)
		if _, err := events.Push(buffer[:size]); err != nil {
			return malformed
		}
		switch {
		case events.Count > 0 || b.err == nil:
		case !errors.Is(b.err, io.EOF):
			return "broke_off"
		case !endMarked:
			return "no_events"
		case events.PendingBytes() > 0:
			return "event_cut"
		default:
			return ""
		}
	}
	return ""
}

// abandonOpening cancels an opening that has not been taken over. Its slot is released when the
// attempt has ended.
func (x *exchange) abandonOpening(o *opening) {
	o.cancel()
	if !o.settled.CompareAndSwap(false, true) {
		<-o.done
		go x.discard(o)
	}
}

// discard ends an abandoned attempt. It may run while the request goes on or has ended.
func (x *exchange) discard(o *opening) {
	outcome := dispatch.Inconclusive
	if o.response != nil {
		o.response.Close()
		switch {
		case o.response.OtherInstance:
			outcome = dispatch.OtherInstance
		case o.response.NotRun && !o.response.Unmet:
			outcome = dispatch.Rejected
		}
	}
	if o.holdsSlot {
		<-x.ctx.Done()
	}
	x.node.Slots.Release(o.grant, outcome)
}

// hedgeRequest returns what a hedge of the next or running attempt depends on.
func (x *exchange) hedgeRequest() dispatch.HedgeRequest {
	return dispatch.HedgeRequest{
		Route:            x.route.Name,
		Share:            x.route.HedgeShare,
		Again:            x.mayHaveRunCount+x.notRunCount > 0,
		Whole:            x.route.Kind != routing.Streaming,
		Repeatable:       x.route.Repeatable(),
		Resumed:          x.headers.ResumeAfter != "" || x.origin != nil || x.headSent,
		MayHaveRun:       x.mayHaveRunCount,
		MaxAttempts:      x.route.MaxAttempts,
		Hedged:           x.hedged,
		Suspected:        x.node.Quarantine.Suspects(x.suspectParts()),
		LatencyObjective: x.route.LatencyObjective,
		Elapsed:          x.elapsed(),
		TimeLeft:         x.timeout - x.elapsed(),
	}
}

// hedgedAttempt sends the request to one upstream and, if that has no first event in time,
// to a second one. It relays the response that begins first.
func (x *exchange) hedgedAttempt(grant dispatch.Grant) (attemptResult, string) {
	plan := x.node.Slots.PlanHedge(grant, x.hedgeRequest())
	if plan.Denied != "" {
		x.node.metrics.hedgesDenied.WithLabelValues(string(plan.Denied)).Inc()
	}
	switch plan.Denied {
	case "", dispatch.HedgeNoData, dispatch.HedgeTooSlow:
		// Attempts that cannot be hedged yet are observed.
		return x.race(grant, plan)
	}
	return x.attempt(grant)
}

// race runs the attempt of a grant and its hedge until one of them has its first complete
// event, and relays the response of that one.
func (x *exchange) race(grant dispatch.Grant, plan dispatch.HedgePlan) (attemptResult, string) {
	x.recordPlaced(grant)
	var state raceState
	first := x.open(grant)
	openings := [2]*opening{first, nil}
	// A nil channel is never ready.
	done := [2]chan struct{}{first.done, nil}
	state.start(0)
	defer func() {
		for i, o := range openings {
			if state.cancel(i) {
				x.abandonOpening(o)
			}
		}
	}()
	var timer <-chan time.Time
	if plan.Denied == "" {
		t := time.NewTimer(plan.Delay)
		defer t.Stop()
		timer = t.C
	}
	for {
		responded := 0
		select {
		case <-done[0]:
		case <-done[1]:
			responded = 1
		case <-timer:
			timer = nil
			if !state.mayHedge() {
				if state.limitOver() {
					done[0] = nil
					x.cancelRacing(first, true)
				}
				continue
			}
			if second := x.hedge(first, plan); second != nil {
				openings[1], done[1] = second, second.done
				state.start(1)
				limit := time.NewTimer(dispatch.MaxRace)
				defer limit.Stop()
				timer = limit.C
			}
			continue
		}
		o := openings[responded]
		done[responded] = nil
		decision, cancelOther := state.respond(responded, o.ready)
		if cancelOther {
			x.cancelRacing(openings[1-responded], responded == 1)
		}
		if openings[1] != nil && decision != raceContinues {
			x.recordHedgeResult(openings, responded, decision)
		}
		result, reason := x.settle(o, decision)
		if decision != raceContinues {
			return result, reason
		}
		if x.ctx.Err() == nil {
			x.recordRetry(o.grant.Upstream, result, reason)
		}
	}
}

// cancelRacing cancels an attempt of a race. The upstream may have run the request. The
// slot of a cancelled first attempt stays taken until the request ends: a slow upstream
// whose attempts are cancelled would have more free slots than others, and get more requests
// than without hedges.
func (x *exchange) cancelRacing(o *opening, first bool) {
	x.mayHaveRunCount++
	if !slices.Contains(x.avoid, o.grant.Upstream) {
		x.avoid = append(x.avoid, o.grant.Upstream)
	}
	o.holdsSlot = first
	if x.ctx.Err() == nil {
		x.node.Slots.RecordFirstEvent(o.grant, x.route.Kind != routing.Streaming, true, time.Since(o.startedAt))
	}
	x.abandonOpening(o)
}

// hedge starts the second attempt of a request, or returns nil if it is denied.
func (x *exchange) hedge(first *opening, plan dispatch.HedgePlan) *opening {
	if x.reauthenticate() != nil {
		x.node.metrics.hedgesDenied.WithLabelValues(revokedKey).Inc()
		return nil
	}
	slotRequest := x.slotRequest()
	grant, loadsAge, denied := x.node.Slots.GrantHedge(first.grant, slotRequest, x.hedgeRequest())
	if denied != "" {
		x.node.metrics.hedgesDenied.WithLabelValues(string(denied)).Inc()
		return nil
	}
	x.hedged = true
	x.node.logger.Info(eventlog.RequestHedged, "request", x.loggedID(), "upstream", grant.Upstream, "address", grant.Address,
		"version", grant.SoftwareVersion, "free", grant.FreeSlots, "first_upstream", first.grant.Upstream, "reason", string(plan.Reason),
		"delay_ms", plan.Delay.Milliseconds(), "elapsed_ms", x.elapsed().Milliseconds(), "left_ms", slotRequest.TimeToDeadline.Milliseconds(),
		"samples", plan.Samples, "samples_age_ms", plan.SamplesAge.Milliseconds(), "engine_factor", plan.EngineFactor,
		"engine_age_ms", plan.EngineAge.Milliseconds(), "loads_age_ms", loadsAge.Milliseconds())
	return x.open(grant)
}

// recordHedgeResult records how a race with two attempts ended.
func (x *exchange) recordHedgeResult(openings [2]*opening, responded int, decision raceDecision) {
	result, winner := hedgeCancelled, ""
	if decision == raceWon {
		result, winner = hedgeLost, openings[responded].grant.Upstream
		if responded == 1 {
			result = hedgeWon
		}
	}
	x.node.metrics.hedges.WithLabelValues(result).Inc()
	x.node.logger.Info(eventlog.HedgeSettled, "request", x.loggedID(), "result", result, "upstream", winner,
		"race_ms", time.Since(openings[1].startedAt).Milliseconds(), "elapsed_ms", x.elapsed().Milliseconds())
}

// settle ends an attempt whose opening is done. It relays the response unless the race
// continues.
func (x *exchange) settle(o *opening, decision raceDecision) (result attemptResult, reason string) {
	outcome := dispatch.Inconclusive
	defer func() { x.node.Slots.Release(o.grant, outcome) }()
	defer o.cancel()
	x.upstream, x.upstreamVersion = o.grant.Upstream, o.grant.SoftwareVersion
	if o.response != nil {
		defer o.response.Close()
	}
	if o.ready && o.response.Status/100 == 2 {
		x.node.Slots.RecordFirstEvent(o.grant, x.route.Kind != routing.Streaming, false, o.took)
	}
	isError := o.err == nil && o.broken == "" && o.response.Genuine && !o.response.NotRun && !o.response.OtherInstance && !o.ready
	switch {
	case o.broken != "":
		reason = o.broken
	case isError && decision == raceContinues:
		reason = "status_" + strconv.Itoa(o.response.Status)
	default:
		result, reason, outcome = x.conclude(o.grant, o.startedAt, o.response, o.err)
		return result, reason
	}
	x.mayHaveRunCount++
	if x.ctx.Err() == nil {
		outcome = dispatch.Failed
	}
	if o.broken != "" && o.broken != malformed && o.response.Status/100 == 2 {
		x.recordInterruption(o.grant, reason, true, 0)
	}
	return mayHaveRun, reason
}
