package sidecard

import (
	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/internal/identifier"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
)

func (d *Daemon) newRun(id sidecar.AttemptID, sink responseSink, request engine.Request) *run {
	return &run{
		id:       id,
		client:   d.engine,
		sink:     sink,
		request:  request,
		onEnd:    d.runEnded,
		onTokens: d.reportTokens,
	}
}

// reportTokens passes a number of new tokens to the core. The core handles the
// first token at once; later ones may wait for its next tick.
func (d *Daemon) reportTokens(id sidecar.AttemptID, count int, first bool) {
	report := sidecar.TokensProduced{ID: id, Count: count}
	if first {
		d.core.Post(report)
		return
	}
	d.core.PostNoWake(report)
}

// runEnded passes the end of an engine call to the core and ends the response,
// unless the core has queued the run again.
func (d *Daemon) runEnded(r *run, result engine.Result) {
	stopped, paused := r.stopState()
	outcome, reason := outcomeOf(result, stopped)
	end := &pb.AnswerEnd{Outcome: outcome, Reason: reason, Tokens: uint32(result.Tokens)}
	if result.Err != nil {
		end.Detail = identifier.Message(result.Err.Error())
	}
	report := sidecar.RunEnded{ID: r.id, Outcome: outcome, Reason: reason, Paused: paused}
	d.core.PostThen(report, func() {
		if !r.isRequeued() {
			end.Load = d.sidecar.Load()
			d.endRun(r.id, end)
		}
	})
}

// executeCoreOutput executes an output of the sidecar's core.
func (d *Daemon) executeCoreOutput(out sidecar.Output) {
	switch out := out.(type) {
	case sidecar.Start:
		if r := d.runs.get(out.ID); r != nil {
			r.start(d.ctx, out.Resume)
		}
	case sidecar.Stop:
		if r := d.runs.get(out.ID); r != nil {
			go r.stop(out.Pause)
		}
	case sidecar.Refuse:
		d.refuse(out)
	case sidecar.Requeued:
		if r := d.runs.get(out.ID); r != nil {
			r.markRequeued()
		}
	case sidecar.ReleaseItem:
		d.endRun(out.ID, releasedItemEnd(out))
	case sidecar.FreeCapacity:
		d.worker.Post(batch.FreeCapacity{Items: out.Items})
	case sidecar.Drained:
		d.coreDrained.set()
	}
	d.metrics.setLoad(d.sidecar.Load())
}

// releasedItemEnd returns the end of an item that is released to its job. The
// outcome is not-run only when the engine ran no part of it.
func releasedItemEnd(out sidecar.ReleaseItem) *pb.AnswerEnd {
	end := &pb.AnswerEnd{Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: pb.Reason_REASON_OVERLOADED}
	if out.Ran {
		end.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	}
	return end
}

func (d *Daemon) refuse(out sidecar.Refuse) {
	d.metrics.countRefusal(out.Reason)
	d.endRun(out.ID, &pb.AnswerEnd{
		Outcome:      out.Outcome,
		Reason:       out.Reason,
		Load:         d.metrics.load(),
		RetryAfterMs: uint32(out.RetryAfter.Milliseconds()),
	})
}

func (d *Daemon) endRun(id sidecar.AttemptID, end *pb.AnswerEnd) {
	if r := d.runs.remove(id); r != nil {
		go r.sink.finish(end)
	}
}
