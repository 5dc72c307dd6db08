package gate_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/briarcross/briarcross/gate"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
)

// engineReportLag is the delay of the engine's load reports.
const engineReportLag = 1500 * time.Millisecond

// host is a simulated upstream: a sidecar core with its host code, and an engine.
type host struct {
	fleet             *fleet
	id                string
	incarnation       uint64
	sidecar           *sidecar.Sidecar
	engine            *engine
	submittedAt       map[sidecar.AttemptID]time.Time
	streams           map[sidecar.AttemptID]*attemptStream
	work              map[sidecar.AttemptID]sidecar.Work
	pausedGenerations map[sidecar.AttemptID]*generation
	stopped           map[sidecar.AttemptID]bool
	freeCapacity      int
	leasePending      bool
	drained           bool
	draining          bool
}

// attemptStream is the stream of one attempt between an entry and a host.
type attemptStream struct {
	entry        *entry
	host         *host
	incarnation  uint64
	id           sidecar.AttemptID
	lastDelivery time.Time
	closed       bool
}

// deliver invokes run after the latency of a message, in call order, unless the
// stream is closed by then.
func (s *attemptStream) deliver(run func()) {
	if s == nil || s.closed {
		return
	}
	f := s.entry.fleet
	at := f.now.Add(f.delay())
	if at.Before(s.lastDelivery) {
		at = s.lastDelivery
	}
	s.lastDelivery = at
	f.after(at.Sub(f.now), func() {
		if !s.closed {
			run()
		}
	})
}

func (h *host) boot() {
	h.incarnation++
	o := sidecar.Options{
		Incarnation: h.incarnation, Services: []string{"check"}, CanPause: true,
		InitialWindow: 16, MaxWindow: engineMaxRunning,
	}
	if h.fleet.mode == modeEntryPriority {
		o.DisablePreemption, o.InitialWindow, o.MinWindow, o.HarmPermille = true, engineMaxRunning, engineMaxRunning, 1_000_000
	}
	if h.fleet.adjustSidecar != nil {
		h.fleet.adjustSidecar(&o)
	}
	h.sidecar = sidecar.New(o)
	h.engine = &engine{fleet: h.fleet, host: h, cache: map[uint64]bool{}}
	h.streams = map[sidecar.AttemptID]*attemptStream{}
	h.work = map[sidecar.AttemptID]sidecar.Work{}
	h.pausedGenerations = map[sidecar.AttemptID]*generation{}
	h.stopped = map[sidecar.AttemptID]bool{}
	h.submittedAt = map[sidecar.AttemptID]time.Time{}
	h.freeCapacity = 0
	h.announce(pb.MemberState_MEMBER_SERVING, 1)
	h.sidecar.Tick(h.fleet.now)
	h.handleOutputs()
	h.scheduleHeartbeat(h.incarnation)
}

// scheduleHeartbeat announces the member and its load every 500 ms.
func (h *host) scheduleHeartbeat(incarnation uint64) {
	h.fleet.after(500*time.Millisecond, func() {
		if h.sidecar == nil || h.incarnation != incarnation {
			return
		}
		h.reportEngineLoad(incarnation)
		if !h.draining {
			h.announce(pb.MemberState_MEMBER_SERVING, 1)
		}
		h.scheduleHeartbeat(incarnation)
	})
}

func (h *host) announce(state pb.MemberState, version uint64) {
	member := &pb.Member{
		Id: h.id, Incarnation: h.incarnation, Version: version, DataCentre: "a",
		Services: []string{"check"}, State: state, Load: h.sidecar.Load(),
	}
	for _, e := range h.fleet.entries {
		h.fleet.after(h.fleet.delay(), func() { e.step(gate.MemberChanged{Member: member}) })
	}
}

// reportEngineLoad delivers the engine's current load to the sidecar after
// engineReportLag.
func (h *host) reportEngineLoad(incarnation uint64) {
	report := sidecar.EngineLoad{Running: len(h.engine.running), Queued: len(h.engine.queue), KVFree: 0.5}
	h.fleet.after(engineReportLag, func() {
		if h.incarnation == incarnation {
			h.step(report)
		}
	})
}

// startDraining drains the sidecar. The entries get no message about it: they see
// only its refusals and the missing heartbeats.
func (h *host) startDraining() {
	h.draining = true
	h.step(sidecar.Drain{})
}

// crash stops the sidecar and the engine and discards their state. The entries
// see lost connections.
func (h *host) crash() {
	for _, stream := range h.sortedStreams() {
		stream.closed = true
		h.fleet.after(h.fleet.delay(), func() {
			stream.entry.reportAttemptEnd(stream.id, pb.Outcome_OUTCOME_UNKNOWN, pb.Reason_REASON_CONNECTION_LOST, nil, 0)
		})
	}
	h.sidecar, h.engine = nil, nil
	h.streams = map[sidecar.AttemptID]*attemptStream{}
}

// sortedStreams returns the streams ordered by request ID and attempt, so that
// runs are reproducible.
func (h *host) sortedStreams() []*attemptStream {
	return slices.SortedFunc(maps.Values(h.streams), func(a, b *attemptStream) int {
		return cmp.Or(cmp.Compare(a.id.RequestID, b.id.RequestID), cmp.Compare(a.id.Attempt, b.id.Attempt))
	})
}

func (h *host) receive(w sidecar.Work, stream *attemptStream) {
	if h.sidecar == nil {
		if stream != nil && !stream.closed {
			stream.closed = true
			delete(h.streams, w.ID)
			stream.entry.reportAttemptEnd(w.ID, pb.Outcome_OUTCOME_NOT_RUN, pb.Reason_REASON_CONNECT_FAILED, nil, 0)
		}
		return
	}
	if stream == nil {
		// A duplicate has no stream, so its refusal is discarded.
		h.sidecar.Step(h.fleet.now, sidecar.Submit{Work: w})
		for _, out := range h.sidecar.Drain() {
			if refuse, ok := out.(sidecar.Refuse); !ok || refuse.ID != w.ID {
				h.handleOutput(out)
			}
		}
		return
	}
	h.submit(w)
}

func (h *host) submit(w sidecar.Work) {
	h.work[w.ID] = w
	h.submittedAt[w.ID] = h.fleet.now
	if h.fleet.mode == modeDirect {
		h.start(w.ID, false)
		return
	}
	h.step(sidecar.Submit{Work: w})
}

func (h *host) step(in sidecar.Input) {
	if h.sidecar == nil {
		return
	}
	h.sidecar.Step(h.fleet.now, in)
	h.handleOutputs()
}

func (h *host) handleOutputs() {
	for _, out := range append([]sidecar.Output(nil), h.sidecar.Drain()...) {
		h.handleOutput(out)
	}
}

func (h *host) handleOutput(out sidecar.Output) {
	switch out := out.(type) {
	case sidecar.Start:
		h.start(out.ID, out.Resume)
	case sidecar.Stop:
		h.stopped[out.ID] = true
		h.fleet.batch.stopped++
		h.engine.stop(out.ID, out.Pause)
	case sidecar.Refuse:
		h.sendEnd(out.ID, out.Outcome, out.Reason, out.RetryAfter)
	case sidecar.FreeCapacity:
		h.freeCapacity = out.Items
		h.leaseBatchItems()
	case sidecar.Drained:
		h.drained = true
	}
}

func (h *host) start(id sidecar.AttemptID, resume bool) {
	w := h.work[id]
	if w.Class == sidecar.Online {
		h.fleet.calls[id.RequestID].engineStarts++
	} else {
		h.fleet.batch.started++
	}
	var paused *generation
	if resume {
		paused = h.pausedGenerations[id]
	}
	delete(h.pausedGenerations, id)
	h.engine.enqueue(w, paused)
}

func (h *host) tokenGenerated(gen *generation) {
	h.step(sidecar.TokensProduced{ID: gen.id, Count: 1})
	if stream, ok := h.streams[gen.id]; ok {
		stream.deliver(func() { stream.entry.relayToken(gen.id) })
	}
}

func (h *host) generationEnded(gen *generation, outcome pb.Outcome) {
	if gen.pauseRequested && outcome != pb.Outcome_OUTCOME_DONE {
		h.pausedGenerations[gen.id] = gen
	}
	w := h.work[gen.id]
	if w.Class == sidecar.Batch && outcome == pb.Outcome_OUTCOME_DONE {
		h.fleet.batch.done++
		h.fleet.batch.tokens += w.MaxTokens
	}
	reason := pb.Reason_REASON_NONE
	if outcome != pb.Outcome_OUTCOME_DONE {
		reason = pb.Reason_REASON_CANCELLED
	}
	h.step(sidecar.RunEnded{ID: gen.id, Outcome: outcome, Reason: reason, Paused: gen.pauseRequested})
	h.sendEnd(gen.id, outcome, reason, 0)
	if h.fleet.mode == modeDirect && w.Class == sidecar.Batch {
		h.leaseBatchItems()
	}
}

// sendEnd reports the end of an attempt to its entry.
func (h *host) sendEnd(id sidecar.AttemptID, outcome pb.Outcome, reason pb.Reason, retryAfter time.Duration) {
	stream, ok := h.streams[id]
	if !ok {
		return
	}
	delete(h.streams, id)
	load := h.sidecar.Load()
	stream.deliver(func() { stream.entry.reportAttemptEnd(id, outcome, reason, load, retryAfter) })
}

// leaseBatchItems submits batch items after 20 ms, the latency of a lease.
func (h *host) leaseBatchItems() {
	if h.fleet.nextBatchItem == nil || h.leasePending {
		return
	}
	h.leasePending = true
	h.fleet.after(20*time.Millisecond, func() {
		h.leasePending = false
		if h.sidecar == nil || h.fleet.nextBatchItem == nil {
			return
		}
		capacity := h.freeCapacity
		if h.fleet.mode == modeDirect {
			capacity = engineMaxRunning - len(h.engine.running) - len(h.engine.queue)
		}
		for range capacity {
			w := h.fleet.nextBatchItem(h.fleet.leasedItems)
			w.ID = sidecar.AttemptID{RequestID: fmt.Sprint("item", h.fleet.leasedItems), Attempt: 1}
			h.fleet.leasedItems++
			h.submit(w)
		}
		if capacity > 0 && h.fleet.mode != modeDirect {
			h.leaseBatchItems()
		}
	})
}
