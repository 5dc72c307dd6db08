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

// reportLag is the lag of the engine's own load reports.
const reportLag = 1500 * time.Millisecond

// host is one upstream: a sidecar with its shell, and an engine.
type host struct {
	fleet       *fleet
	id          string
	incarnation uint64
	core        *sidecar.Sidecar
	engine      *engine
	asked       map[sidecar.AttemptID]time.Time
	links       map[sidecar.AttemptID]*link
	work        map[sidecar.AttemptID]sidecar.Work
	paused      map[sidecar.AttemptID]*stream
	stopped     map[sidecar.AttemptID]bool
	room        int
	pulling     bool
	drained     bool
	left        bool
}

// link is the stream of one attempt between an entry and a host.
type link struct {
	front       *front
	host        *host
	incarnation uint64
	id          sidecar.AttemptID
	arrives     time.Time
	closed      bool
}

// deliver runs in the order of the calls, after the delay of a message.
func (l *link) deliver(run func()) {
	if l == nil || l.closed {
		return
	}
	f := l.front.fleet
	at := f.now.Add(f.delay())
	if at.Before(l.arrives) {
		at = l.arrives
	}
	l.arrives = at
	f.after(at.Sub(f.now), func() {
		if !l.closed {
			run()
		}
	})
}

func (h *host) boot() {
	h.incarnation++
	o := sidecar.Options{
		Incarnation: h.incarnation, Services: []string{"check"}, CanPause: true,
		InitialWindow: 16, MaxWindow: engineSlots,
	}
	if h.fleet.mode == entryPriority {
		o.DisablePreemption, o.InitialWindow, o.MinWindow, o.HarmPermille = true, engineSlots, engineSlots, 1_000_000
	}
	if h.fleet.change != nil {
		h.fleet.change(&o)
	}
	h.core = sidecar.New(o)
	h.engine = &engine{fleet: h.fleet, host: h, cached: map[uint64]bool{}}
	h.links = map[sidecar.AttemptID]*link{}
	h.work = map[sidecar.AttemptID]sidecar.Work{}
	h.paused = map[sidecar.AttemptID]*stream{}
	h.stopped = map[sidecar.AttemptID]bool{}
	h.asked = map[sidecar.AttemptID]time.Time{}
	h.room = 0
	h.announce(pb.MemberState_MEMBER_SERVING, 1)
	h.core.Tick(h.fleet.now)
	h.drain()
	h.heartbeat(h.incarnation)
}

// heartbeat announces the load from time to time.
func (h *host) heartbeat(incarnation uint64) {
	h.fleet.after(500*time.Millisecond, func() {
		if h.core == nil || h.incarnation != incarnation {
			return
		}
		h.reportLate(incarnation)
		if !h.left {
			h.announce(pb.MemberState_MEMBER_SERVING, 1)
		}
		h.heartbeat(incarnation)
	})
}

func (h *host) announce(state pb.MemberState, version uint64) {
	member := &pb.Member{
		Id: h.id, Incarnation: h.incarnation, Version: version, DataCentre: "a",
		Services: []string{"check"}, State: state, Load: h.core.Load(),
	}
	for _, g := range h.fleet.gates {
		h.fleet.after(h.fleet.delay(), func() { g.step(gate.MemberChanged{Member: member}) })
	}
}

// reportLate lets the engine report its load with a lag.
func (h *host) reportLate(incarnation uint64) {
	report := sidecar.EngineLoad{Running: len(h.engine.streams), Queued: len(h.engine.queue), KVFree: 0.5}
	h.fleet.after(reportLag, func() {
		if h.incarnation == incarnation {
			h.step(report)
		}
	})
}

// leave drains the sidecar. The leave message is lost; only refusals and the
// end of the heartbeats tell the entries.
func (h *host) leave() {
	h.left = true
	h.step(sidecar.Drain{})
}

// crash loses the process with all that it holds. The entries see their
// connections break.
func (h *host) crash() {
	for _, l := range h.openLinks() {
		l.closed = true
		h.fleet.after(h.fleet.delay(), func() {
			l.front.end(l.id, pb.Outcome_OUTCOME_UNKNOWN, pb.Reason_REASON_CONNECTION_LOST, nil, 0)
		})
	}
	h.core, h.engine = nil, nil
	h.links = map[sidecar.AttemptID]*link{}
}

// openLinks returns the links in a fixed order.
func (h *host) openLinks() []*link {
	return slices.SortedFunc(maps.Values(h.links), func(a, b *link) int {
		return cmp.Or(cmp.Compare(a.id.RequestID, b.id.RequestID), cmp.Compare(a.id.Attempt, b.id.Attempt))
	})
}

func (h *host) receive(w sidecar.Work, l *link) {
	if h.core == nil {
		if l != nil && !l.closed {
			l.closed = true
			delete(h.links, w.ID)
			l.front.end(w.ID, pb.Outcome_OUTCOME_NOT_RUN, pb.Reason_REASON_CONNECT_FAILED, nil, 0)
		}
		return
	}
	if l == nil {
		// The answer to a duplicate has no stream to go to.
		h.core.Step(h.fleet.now, sidecar.Submit{Work: w})
		for _, out := range h.core.Drain() {
			if refuse, ok := out.(sidecar.Refuse); !ok || refuse.ID != w.ID {
				h.carryOut(out)
			}
		}
		return
	}
	h.submit(w)
}

func (h *host) submit(w sidecar.Work) {
	h.work[w.ID] = w
	h.asked[w.ID] = h.fleet.now
	if h.fleet.mode == direct {
		h.start(w.ID, false)
		return
	}
	h.step(sidecar.Submit{Work: w})
}

func (h *host) step(in sidecar.Input) {
	if h.core == nil {
		return
	}
	h.core.Step(h.fleet.now, in)
	h.drain()
}

func (h *host) drain() {
	for _, out := range append([]sidecar.Output(nil), h.core.Drain()...) {
		h.carryOut(out)
	}
}

func (h *host) carryOut(out sidecar.Output) {
	switch out := out.(type) {
	case sidecar.Start:
		h.start(out.ID, out.Resume)
	case sidecar.Stop:
		h.stopped[out.ID] = true
		h.fleet.batch.stopped++
		h.engine.stop(out.ID, out.Pause)
	case sidecar.Refuse:
		h.answer(out.ID, out.Outcome, out.Reason, out.RetryAfter)
	case sidecar.FreeCapacity:
		h.room = out.Items
		h.pull()
	case sidecar.Drained:
		h.drained = true
	}
}

func (h *host) start(id sidecar.AttemptID, resume bool) {
	w := h.work[id]
	if w.Class == sidecar.Online {
		h.fleet.calls[id.RequestID].started++
	} else {
		h.fleet.batch.started++
	}
	var from *stream
	if resume {
		from = h.paused[id]
	}
	delete(h.paused, id)
	h.engine.start(w, from)
}

func (h *host) token(s *stream) {
	h.step(sidecar.TokensProduced{ID: s.id, Count: 1})
	if l, ok := h.links[s.id]; ok {
		l.deliver(func() { l.front.frame(s.id) })
	}
}

func (h *host) ended(s *stream, outcome pb.Outcome) {
	if s.pause && outcome != pb.Outcome_OUTCOME_DONE {
		h.paused[s.id] = s
	}
	w := h.work[s.id]
	if w.Class == sidecar.Batch && outcome == pb.Outcome_OUTCOME_DONE {
		h.fleet.batch.done++
		h.fleet.batch.tokens += w.MaxTokens
	}
	reason := pb.Reason_REASON_NONE
	if outcome != pb.Outcome_OUTCOME_DONE {
		reason = pb.Reason_REASON_CANCELLED
	}
	h.step(sidecar.RunEnded{ID: s.id, Outcome: outcome, Reason: reason, Paused: s.pause})
	h.answer(s.id, outcome, reason, 0)
	if h.fleet.mode == direct && w.Class == sidecar.Batch {
		h.pull()
	}
}

// answer sends the end of an attempt to its entry.
func (h *host) answer(id sidecar.AttemptID, outcome pb.Outcome, reason pb.Reason, after time.Duration) {
	l, ok := h.links[id]
	if !ok {
		return
	}
	delete(h.links, id)
	load := h.core.Load()
	l.deliver(func() { l.front.end(id, outcome, reason, load, after) })
}

// pull takes batch items after the time that a lease takes.
func (h *host) pull() {
	if h.fleet.items == nil || h.pulling {
		return
	}
	h.pulling = true
	h.fleet.after(20*time.Millisecond, func() {
		h.pulling = false
		if h.core == nil || h.fleet.items == nil {
			return
		}
		room := h.room
		if h.fleet.mode == direct {
			room = engineSlots - len(h.engine.streams) - len(h.engine.queue)
		}
		for range room {
			w := h.fleet.items(h.fleet.taken)
			w.ID = sidecar.AttemptID{RequestID: fmt.Sprint("item", h.fleet.taken), Attempt: 1}
			h.fleet.taken++
			h.submit(w)
		}
		if room > 0 && h.fleet.mode != direct {
			h.pull()
		}
	})
}
