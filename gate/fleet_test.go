package gate_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/gate"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
)

var epoch = time.Unix(1_000_000, 0)

const tickPeriod = 10 * time.Millisecond

// fleet simulates entries, sidecars and fake engines on virtual time. The
// responses of one attempt stay in order; all other messages may be reordered.
type fleet struct {
	now      time.Time
	events   eventHeap
	sequence int // of the last scheduled event
	random   *rand.Rand
	seed     uint64
	profile  *pb.Profile
	entries  []*entry
	hosts    []*host
	calls    map[string]*call // by request ID
	// duplicatePermille is the share of sends that arrive twice, in thousandths.
	duplicatePermille int
	// nextBatchItem returns the n-th batch item; nil means no batch work.
	nextBatchItem func(n int) sidecar.Work
	leasedItems   int
	batch         batchTotals
	droppedInputs int
	mode          mode
	// admissionDelays holds, for each online attempt, the time from submission to
	// the sidecar until its first engine step.
	admissionDelays []time.Duration
	// adjustSidecar changes the options of new sidecars; nil keeps the defaults.
	adjustSidecar func(*sidecar.Options)
}

// mode selects how work is routed and scheduled.
type mode int

const (
	// modeBriarcross uses all of the gate's and the sidecars' scheduling.
	modeBriarcross mode = iota
	// modeDirect bypasses the sidecars: engines serve first come, first served.
	modeDirect
	// modeSpread disables the packing of online work.
	modeSpread
	// modeRandom disables packing and ignores prefixes and load.
	modeRandom
	// modeEntryPriority queues online work first, but never stops running work.
	modeEntryPriority
)

// batchTotals counts batch items, and the tokens of completed items.
type batchTotals struct{ done, tokens, started, stopped int }

// call records what the caller and the engines saw of one request.
type call struct {
	request        gate.Request
	entry          *entry
	arrivedAt      time.Time
	firstTokenAt   time.Time
	lastTokenAt    time.Time
	tokenGaps      []time.Duration
	relayedTokens  int
	relayedAttempt uint32
	engineStarts   int
	finishes       int
	finish         gate.Finish
	finishedAt     time.Time
}

// entry is a simulated entry: a gate and the host code that drives it.
type entry struct {
	fleet   *fleet
	gate    *gate.Gate
	crashed bool
}

type fleetProfiles struct{ fleet *fleet }

func (p fleetProfiles) ProfileOf(service string) (*pb.Service, *pb.Profile, *pb.Profile, bool) {
	return &pb.Service{Name: service}, p.fleet.profile, nil, true
}

func newFleet(seed uint64, entryCount, hostCount int, m mode) *fleet {
	return newFleetWith(seed, entryCount, hostCount, m, nil)
}

func newFleetWith(seed uint64, entryCount, hostCount int, m mode, adjustSidecar func(*sidecar.Options)) *fleet {
	f := &fleet{
		now: epoch, random: core.NewRand(seed), calls: map[string]*call{}, mode: m, seed: seed, adjustSidecar: adjustSidecar,
		profile: &pb.Profile{
			FirstTokenMs: 1000, BetweenTokensMs: 60, DueMs: 60_000, QueueMs: 1000,
			MaxAttempts: 3, RetryBudgetPermille: 100, HarmPermille: 50,
		},
	}
	for n := range entryCount {
		g := gate.New(gate.Options{DataCentre: "a", Seed: seed + uint64(n), DisablePacking: m != modeBriarcross, RandomRouting: m == modeRandom})
		g.Step(f.now, gate.ProfilesChanged{Profiles: fleetProfiles{f}})
		g.Step(f.now, gate.ReadinessChanged{Ready: true})
		f.entries = append(f.entries, &entry{fleet: f, gate: g})
	}
	for n := range hostCount {
		h := &host{fleet: f, id: fmt.Sprintf("u%02d", n)}
		f.hosts = append(f.hosts, h)
		h.boot()
	}
	f.tick()
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, event{f.now.Add(d), f.sequence, run})
}

// delay returns the latency of a message: about a millisecond, with a long tail.
func (f *fleet) delay() time.Duration {
	d := time.Millisecond + time.Duration(f.random.IntN(300))*time.Microsecond
	if f.random.IntN(200) == 0 {
		d *= 20
	}
	return d
}

func (f *fleet) tick() {
	for _, e := range f.entries {
		if !e.crashed {
			e.gate.Tick(f.now)
			e.handleOutputs()
		}
	}
	for _, h := range f.hosts {
		if h.sidecar != nil {
			h.sidecar.Tick(f.now)
			h.handleOutputs()
		}
	}
	f.after(tickPeriod, f.tick)
}

func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// arrive delivers a request to an entry.
func (f *fleet) arrive(e *entry, r gate.Request) {
	if e.crashed {
		return
	}
	f.calls[r.ID] = &call{request: r, entry: e, arrivedAt: f.now}
	e.step(gate.RequestArrived{Request: r})
}

// startPoissonLoad delivers requests to random entries as a Poisson process.
func (f *fleet) startPoissonLoad(requestsPerSecond float64, d time.Duration, nextRequest func(n int) gate.Request) {
	end := f.now.Add(d)
	random := core.NewRand(f.seed + 77)
	var arriveNext func()
	n := 0
	arriveNext = func() {
		if f.now.After(end) {
			return
		}
		r := nextRequest(n)
		n++
		f.arrive(f.entries[random.IntN(len(f.entries))], r)
		f.after(time.Duration(random.ExpFloat64()/requestsPerSecond*float64(time.Second)), arriveNext)
	}
	arriveNext()
}

func (e *entry) step(in gate.Input) {
	if e.crashed {
		return
	}
	e.gate.Step(e.fleet.now, in)
	e.handleOutputs()
}

// crash stops an entry. Its connections close, so the sidecars cancel its
// attempts.
func (e *entry) crash() {
	e.crashed = true
	for _, h := range e.fleet.hosts {
		for _, stream := range h.sortedStreams() {
			if stream.entry == e {
				stream.closed = true
				e.fleet.after(e.fleet.delay(), func() { h.step(sidecar.Cancel{ID: stream.id}) })
			}
		}
	}
}

func (e *entry) handleOutputs() {
	for _, out := range append([]gate.Output(nil), e.gate.Drain()...) {
		switch out := out.(type) {
		case gate.Send:
			e.send(out)
		case gate.Abort:
			e.abort(out)
		case gate.InputDropped:
			e.fleet.droppedInputs++
		case gate.Finish:
			c := e.fleet.calls[out.ID]
			c.finishes++
			c.finish, c.finishedAt = out, e.fleet.now
		}
	}
}

func (e *entry) send(out gate.Send) {
	f := e.fleet
	h := f.host(out.Member.GetId())
	c := f.calls[out.ID]
	if out.ResumeFrom > 0 {
		c.relayedAttempt = 0
	}
	w := newWork(f, c.request, out)
	stream := &attemptStream{entry: e, host: h, incarnation: out.Member.GetIncarnation(), id: w.ID}
	h.streams[w.ID] = stream
	f.after(f.delay(), func() { h.receive(w, stream) })
	if f.random.IntN(1000) < f.duplicatePermille {
		f.after(f.delay()*100, func() { h.receive(w, nil) })
	}
}

func newWork(f *fleet, r gate.Request, out gate.Send) sidecar.Work {
	profile := out.Profile
	return sidecar.Work{
		ID:      sidecar.AttemptID{RequestID: r.ID, Attempt: out.Attempt},
		Service: r.Service, Caller: r.Caller, Priority: profile.GetPriority(),
		Deadline:            f.now.Add(out.TimeToDeadline),
		StartDeadline:       f.now.Add(time.Duration(profile.GetQueueMs()) * time.Millisecond),
		FirstTokenTarget:    time.Duration(profile.GetFirstTokenMs()) * time.Millisecond,
		BetweenTokensTarget: time.Duration(profile.GetBetweenTokensMs()) * time.Millisecond,
		PromptTokens:        r.PromptTokens + int(out.ResumeFrom), MaxTokens: r.MaxTokens - int(out.ResumeFrom), PrefixHashes: r.PrefixHashes,
		Idempotent: r.Idempotent, Incarnation: out.Member.GetIncarnation(),
		HarmPermille: profile.GetHarmPermille(),
	}
}

func (e *entry) abort(out gate.Abort) {
	id := sidecar.AttemptID{RequestID: out.ID, Attempt: out.Attempt}
	for _, h := range e.fleet.hosts {
		if _, ok := h.streams[id]; ok {
			e.fleet.after(e.fleet.delay(), func() { h.step(sidecar.Cancel{ID: id}) })
		}
	}
}

// relayToken relays one token if it belongs to the winning attempt.
func (e *entry) relayToken(id sidecar.AttemptID) {
	c := e.fleet.calls[id.RequestID]
	if c.finishes > 0 || e.crashed {
		return
	}
	if c.relayedAttempt == 0 {
		before := e.fleet.droppedInputs
		e.step(gate.FirstByte{ID: id.RequestID, Attempt: id.Attempt})
		if e.fleet.droppedInputs != before {
			return
		}
		c.relayedAttempt = id.Attempt
	}
	if c.relayedAttempt != id.Attempt {
		return
	}
	now := e.fleet.now
	if c.relayedTokens == 0 {
		c.firstTokenAt = now
	} else {
		c.tokenGaps = append(c.tokenGaps, now.Sub(c.lastTokenAt))
	}
	c.lastTokenAt = now
	c.relayedTokens++
}

func (e *entry) reportAttemptEnd(id sidecar.AttemptID, outcome pb.Outcome, reason pb.Reason, load *pb.Load, retryAfter time.Duration) {
	c := e.fleet.calls[id.RequestID]
	e.step(gate.AttemptEnded{
		ID: id.RequestID, Attempt: id.Attempt, Outcome: outcome, Reason: reason, Load: load,
		Relayed: c.relayedAttempt != 0, RelayedTokens: uint32(c.relayedTokens), RetryAfter: retryAfter,
	})
}

func (f *fleet) host(id string) *host {
	for _, h := range f.hosts {
		if h.id == id {
			return h
		}
	}
	panic("unknown host " + id)
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
