package entryd

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/gate"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

// attempt is one attempt to run a call at one sidecar.
type attempt struct {
	daemon *Daemon
	call   *call
	number uint32
	// head is the response head while it has not been relayed.
	head *pb.AnswerHead
	// nextSequence is the sequence number expected in the next frame.
	nextSequence uint32
	// accepted is set once the gate has chosen this attempt as the one to relay.
	accepted bool
}

// sendAttempt starts the attempt that the gate decided on. Its end is posted to
// the gate.
func (d *Daemon) sendAttempt(out gate.Send) {
	c := d.calls.get(out.ID)
	if c == nil {
		d.gateLoop.Post(gate.AttemptEnded{ID: out.ID, Attempt: out.Attempt, Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: pb.Reason_REASON_CANCELLED})
		return
	}
	if out.RetryReason != pb.Reason_REASON_NONE || out.Hedge {
		d.metrics.countRetry(out)
	}
	ctx, cancel := context.WithCancel(d.ctx)
	c.setCancelFunc(out.Attempt, cancel)
	a := &attempt{daemon: d, call: c, number: out.Attempt}
	d.background.Go(func() {
		defer cancel()
		end := a.run(ctx, out)
		d.gateLoop.Post(gate.AttemptEnded{
			ID:            out.ID,
			Attempt:       out.Attempt,
			Outcome:       end.GetOutcome(),
			Reason:        end.GetReason(),
			Load:          end.GetLoad(),
			Relayed:       a.accepted,
			RelayedTokens: c.relayedTokens.Load(),
			RetryAfter:    time.Duration(end.GetRetryAfterMs()) * time.Millisecond,
		})
	})
}

func (a *attempt) run(ctx context.Context, out gate.Send) *pb.AnswerEnd {
	stream, err := a.daemon.transport.Open(ctx, transport.Online, out.Member.GetAddress())
	if err != nil {
		return &pb.AnswerEnd{Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: pb.Reason_REASON_CONNECT_FAILED}
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer func() { _ = stream.Close() }()
	if err := stream.Send(a.envelope(out)); err != nil {
		return outcomeUnknownEnd(pb.Reason_REASON_CONNECTION_LOST)
	}
	return a.receive(ctx, stream)
}

func (a *attempt) envelope(out gate.Send) *pb.Envelope {
	request := proto.Clone(a.call.onlineRequest).(*pb.OnlineRequest)
	request.Attempt = out.Attempt
	request.RemainingMs = uint32(max(1, out.TimeToDeadline.Milliseconds()))
	request.ResumeFrom = out.ResumeFrom
	request.Priority = out.Profile.GetPriority()
	request.FirstTokenMs = out.Profile.GetFirstTokenMs()
	request.BetweenTokensMs = out.Profile.GetBetweenTokensMs()
	request.QueueMs = out.Profile.GetQueueMs()
	request.HarmPermille = out.Profile.GetHarmPermille()
	return &pb.Envelope{
		Header: a.daemon.identity.Header(out.Member.GetId(), out.Member.GetIncarnation()),
		Body:   &pb.Envelope_OnlineRequest{OnlineRequest: request},
	}
}

// receive reads the frames of the response until the attempt ends.
func (a *attempt) receive(ctx context.Context, stream *transport.Stream) *pb.AnswerEnd {
	for {
		envelope, err := stream.Receive()
		if err != nil {
			if ctx.Err() != nil {
				return outcomeUnknownEnd(pb.Reason_REASON_CANCELLED)
			}
			return outcomeUnknownEnd(pb.Reason_REASON_CONNECTION_LOST)
		}
		frame := envelope.GetOnlineFrame()
		if frame.GetRequestId() != a.call.request.ID || frame.GetAttempt() != a.number {
			a.daemon.metrics.droppedFrames.Inc()
			continue
		}
		if frame.GetSequence() != a.nextSequence {
			return outcomeUnknownEnd(pb.Reason_REASON_TRUNCATED)
		}
		a.nextSequence++
		if end := a.handleFrame(frame); end != nil {
			return end
		}
	}
}

// handleFrame processes one frame. It returns nil unless the frame ends the
// attempt.
func (a *attempt) handleFrame(frame *pb.OnlineFrame) *pb.AnswerEnd {
	switch part := frame.GetPart().(type) {
	case *pb.OnlineFrame_Head:
		// An error cannot follow a response that has begun.
		if part.Head.GetStatus() >= minFailureStatus && a.call.hasBegun() {
			return outcomeUnknownEnd(pb.Reason_REASON_ENGINE_FAILED)
		}
		a.head = part.Head
		return nil
	case *pb.OnlineFrame_Data:
		return a.relay(responsePart{data: part.Data})
	case *pb.OnlineFrame_End:
		return a.handleEnd(part.End)
	default:
		return outcomeUnknownEnd(pb.Reason_REASON_TRUNCATED)
	}
}

// relay passes a part of the response to the caller's handler. Before the first
// part it waits for the gate to choose this attempt as the one to relay. It
// returns nil unless the attempt ends.
func (a *attempt) relay(part responsePart) *pb.AnswerEnd {
	if !a.accepted && !a.awaitAcceptance() {
		return outcomeUnknownEnd(pb.Reason_REASON_CANCELLED)
	}
	if a.head != nil {
		head := responsePart{head: a.head}
		a.head = nil
		if !a.call.push(head) {
			return outcomeUnknownEnd(pb.Reason_REASON_CANCELLED)
		}
	}
	if part.data != nil && !a.call.push(part) {
		return outcomeUnknownEnd(pb.Reason_REASON_CANCELLED)
	}
	return nil
}

// awaitAcceptance reports the first byte to the gate and waits for its decision
// whether this attempt is relayed.
func (a *attempt) awaitAcceptance() bool {
	accepted := make(chan bool, 1)
	report := gate.FirstByte{ID: a.call.request.ID, Attempt: a.number}
	posted := a.daemon.gateLoop.PostThen(report, func() {
		accepted <- !a.call.isRejected(a.number)
	})
	a.accepted = posted && <-accepted
	return a.accepted
}

func (a *attempt) handleEnd(end *pb.AnswerEnd) *pb.AnswerEnd {
	if end.GetOutcome() != pb.Outcome_OUTCOME_DONE {
		return end
	}
	// Relay the head here, as a response without a body has no data frames.
	if stopped := a.relay(responsePart{}); stopped != nil {
		return stopped
	}
	return end
}

func outcomeUnknownEnd(reason pb.Reason) *pb.AnswerEnd {
	return &pb.AnswerEnd{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: reason}
}
