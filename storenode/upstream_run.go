package storenode

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/internal/answer"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/upstream"
)

// runEnd is how a run of an item ended at its upstream. An empty reason and the status
// 200 mean that the output is complete.
type runEnd struct {
	outcome     jobpages.RunOutcome
	slotOutcome dispatch.Outcome
	status      int
	reason      string
}

// engineStatement is what an engine states about itself in the head of a response.
type engineStatement struct {
	leaving bool
	// perSecond is the number of requests a second that it accepts from all callers
	// together, +Inf without a limit. It counts only if rateStated is set.
	perSecond  float64
	rateStated bool
}

func statementOf(response *upstream.Response) engineStatement {
	perSecond, stated := response.EngineRate()
	return engineStatement{response.EngineLeaves(), perSecond, stated}
}

// urgent reports whether other daemons must know of the statement soon.
func (s engineStatement) urgent() bool {
	return s.leaving || s.rateStated && !math.IsInf(s.perSecond, 1)
}

// record records the statement of a start of an upstream in its response to a request.
func (s engineStatement) record(slots *node.SlotPool, upstreamID string, startUnixMs uint64, requestID string, source dispatch.NoticeSource) {
	if s.leaving {
		slots.MarkLeaving(dispatch.LeavingNotice{Upstream: upstreamID, StartUnixMs: startUnixMs, Request: requestID, Source: source})
	}
	if s.rateStated {
		slots.RecordRate(dispatch.RateNotice{Upstream: upstreamID, StartUnixMs: startUnixMs, PerSecond: s.perSecond, Request: requestID, Source: source})
	}
}

// statementFunc receives what the upstream of a run states.
type statementFunc func(engineStatement)

// outputFunc receives the data of events, separated by line feeds, their number and
// the ID of the last one.
type outputFunc func(data []byte, events int, lastEventID string)

// Reasons of runs that ended because the connection to the upstream broke.
const (
	brokeOff = "broke_off"
	eventCut = "event_cut"
	noEvents = "no_events"
)

const (
	// outputTooLong is the reason of runs that exceeded the limits of the output.
	outputTooLong = "output_too_long"
	// malformed is the reason of runs with bytes that are none of the stream's events,
	// conflictingEvents that of runs whose output may hold such bytes.
	malformed         = "malformed"
	conflictingEvents = "conflicting_events"
	// silentUpstream is the reason of runs that this daemon ended because no events came.
	silentUpstream = "silent"
)

// interrupted reports whether the connection to the upstream broke during the run.
func (e runEnd) interrupted() bool {
	return !e.answering() || e.reason == brokeOff || e.reason == eventCut || e.reason == noEvents
}

// answering reports whether the upstream had begun to answer when the run ended.
func (e runEnd) answering() bool { return !answer.Reason(e.reason).ConnFailed() }

func itemHeader(item *pb.PageItem) http.Header {
	header := make(http.Header)
	for _, field := range item.GetHeaders() {
		header.Set(field.GetName(), field.GetValue())
	}
	return header
}

func itemRequest(item *pb.PageItem, host, address, upstreamID, resumeAfter string) *upstream.Request {
	return &upstream.Request{
		Address:          address,
		ExpectedInstance: upstreamID,
		ID:               item.GetId(),
		Method:           http.MethodPost,
		Target:           item.GetPath(),
		Host:             host,
		Header:           itemHeader(item),
		Body:             item.GetBody(),
		ResumeAfter:      resumeAfter,
	}
}

// withOwner adds the customer who owns the item of a request. In a deployment with
// customers, the item's own headers must not name one, nor carry a key.
func withOwner(request *upstream.Request, customer string, hasCustomers bool) *upstream.Request {
	request.Authenticated = customer != "" || hasCustomers
	request.Customer = customer
	return request
}

// runAtUpstream sends a request to its upstream and reads the output, until the
// context ends or the upstream sends no event for the idle time. It calls onStatement before
// it reads the output.
func runAtUpstream(parent context.Context, engines *upstream.Client, request *upstream.Request, idle time.Duration, onStatement statementFunc, output outputFunc) runEnd {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	idleTimer := time.AfterFunc(idle, cancel)
	defer idleTimer.Stop()
	end := exchangeRun(ctx, engines, request, onStatement, func() { idleTimer.Reset(idle) }, output)
	if end.interrupted() && ctx.Err() != nil && parent.Err() == nil {
		end.reason = silentUpstream
	}
	return end
}

// exchangeRun sends a request to its upstream and reads the output until the context ends.
// It calls onProgress after each read with events.
func exchangeRun(ctx context.Context, engines *upstream.Client, request *upstream.Request, onStatement statementFunc, onProgress func(), output outputFunc) runEnd {
	response, err := engines.Do(ctx, request)
	if err != nil {
		if upstream.ExecutionStateOf(err) == upstream.NotSent {
			return runEnd{jobpages.NotRun, dispatch.Failed, 0, "unreachable"}
		}
		return runEnd{jobpages.Interrupted, dispatch.Failed, 0, string(upstream.ReasonOf(err))}
	}
	defer response.Close()
	onStatement(statementOf(response))
	switch {
	case response.OtherInstance:
		return runEnd{jobpages.NotRun, dispatch.OtherInstance, response.Status, "other_instance"}
	case response.Unmet:
		// The engines may all answer alike for long: the delay of the next run grows.
		return runEnd{jobpages.Interrupted, dispatch.Inconclusive, response.Status, "condition_unmet"}
	case response.NotRun:
		return runEnd{jobpages.NotRun, dispatch.Rejected, response.Status, "refused"}
	case !response.Genuine:
		return runEnd{jobpages.Interrupted, dispatch.Failed, 0, "not_genuine"}
	case response.Status == http.StatusUnprocessableEntity || response.Status == http.StatusInternalServerError:
		slotOutcome := dispatch.Served
		if response.Status == http.StatusInternalServerError {
			slotOutcome = dispatch.Failed
		}
		response.Discard()
		return runEnd{jobpages.Failed, slotOutcome, response.Status, "engine_failed"}
	case response.Status != http.StatusOK:
		return runEnd{jobpages.Interrupted, dispatch.Failed, 0, "unexpected_status"}
	}
	events := upstream.EventSplitter{LastID: request.ResumeAfter, VersionField: engines.EventVersionField(), Limits: engines.OutputLimits(request.Header)}
	switch reason := readEvents(response, events, onProgress, output); reason {
	case "":
	case outputTooLong, conflictingEvents:
		return runEnd{jobpages.Spoiled, dispatch.Failed, 0, reason}
	default:
		return runEnd{jobpages.Interrupted, dispatch.Failed, 0, reason}
	}
	return runEnd{status: http.StatusOK, slotOutcome: dispatch.Served}
}

// readEvents passes the data of the complete events of a response, which events splits, on,
// and calls onProgress after each read with some. It returns why the output is incomplete, or "" if
// it is complete.
func readEvents(response *upstream.Response, events upstream.EventSplitter, onProgress func(), output outputFunc) string {
	events.OnData = func(data []byte) { output(data, 1, events.LastID) }
	buffer := make([]byte, itemBufferBytes)
	size := 0
	for {
		count, err := response.Body.Read(buffer)
		if size += count; size > maxRunBytes {
			return outputTooLong
		}
		before := events.Count
		switch _, pushErr := events.Push(buffer[:count]); {
		case errors.Is(pushErr, upstream.ErrEventConflict):
			return conflictingEvents
		case errors.Is(pushErr, upstream.ErrOutputTooLong):
			return outputTooLong
		case pushErr != nil:
			return malformed
		}
		if events.Count > before {
			onProgress()
		}
		switch {
		case errors.Is(err, io.EOF) && events.Count == 0 && !response.EndMarked:
			return noEvents
		case errors.Is(err, io.EOF) && events.PendingBytes() == 0:
			return ""
		case errors.Is(err, io.EOF):
			return eventCut
		case err != nil:
			return brokeOff
		}
	}
}
