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

// fleet runs entries, sidecars and fake engines on virtual time. The messages
// of one attempt keep their order; everything else may overtake.
type fleet struct {
	now      time.Time
	events   eventHeap
	sequence int
	random   *rand.Rand
	seed     uint64
	profile  *pb.Profile
	gates    []*front
	hosts    []*host
	calls    map[string]*call
	// duplicates is the share of sends that arrive twice, in thousandths.
	duplicates int
	// items is the supply of batch items; nil turns batch off.
	items   func(n int) sidecar.Work
	taken   int
	batch   batchTotals
	dropped int
	mode    mode
	// joined holds the times from submission to the engine's first step.
	joined []time.Duration
	// change adjusts the options of the sidecars.
	change func(*sidecar.Options)
}

// mode selects what stands between callers and engines.
type mode int

const (
	briarcross mode = iota
	// direct hands everything to the engines, first come first served.
	direct
	// spread routes without regard to batch work.
	spread
	// random routes without regard to prefixes and load.
	random
	// entryPriority serves online work first, but never stops what runs.
	entryPriority
)

type batchTotals struct{ done, tokens, started, stopped int }

// call is a caller's view of one request and the engines' record of it.
type call struct {
	request  gate.Request
	front    *front
	arrived  time.Time
	first    time.Time
	last     time.Time
	gaps     []time.Duration
	tokens   int
	relayed  uint32
	started  int
	finishes int
	finish   gate.Finish
	finished time.Time
}

// front is an entry with its shell.
type front struct {
	fleet *fleet
	core  *gate.Gate
	lost  bool
}

type profiles struct{ fleet *fleet }

func (p profiles) ProfileOf(service string) (*pb.Service, *pb.Profile, *pb.Profile, bool) {
	return &pb.Service{Name: service}, p.fleet.profile, nil, true
}

func newFleet(seed uint64, fronts, hosts int, m mode) *fleet {
	return newFleetWith(seed, fronts, hosts, m, nil)
}

func newFleetWith(seed uint64, fronts, hosts int, m mode, change func(*sidecar.Options)) *fleet {
	f := &fleet{
		now: epoch, random: core.NewRand(seed), calls: map[string]*call{}, mode: m, seed: seed, change: change,
		profile: &pb.Profile{
			FirstTokenMs: 1000, BetweenTokensMs: 60, DueMs: 60_000, QueueMs: 1000,
			MaxAttempts: 3, RetryBudgetPermille: 100, HarmPermille: 50,
		},
	}
	for n := range fronts {
		g := gate.New(gate.Options{DataCentre: "a", Seed: seed + uint64(n), SpreadRoute: m != briarcross, RandomRoute: m == random})
		g.Step(f.now, gate.Config{Table: profiles{f}})
		g.Step(f.now, gate.Ready{Ready: true})
		f.gates = append(f.gates, &front{fleet: f, core: g})
	}
	for n := range hosts {
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

// delay is the time that a message takes, a millisecond with a long tail.
func (f *fleet) delay() time.Duration {
	d := time.Millisecond + time.Duration(f.random.IntN(300))*time.Microsecond
	if f.random.IntN(200) == 0 {
		d *= 20
	}
	return d
}

func (f *fleet) tick() {
	for _, g := range f.gates {
		if !g.lost {
			g.core.Tick(f.now)
			g.drain()
		}
	}
	for _, h := range f.hosts {
		if h.core != nil {
			h.core.Tick(f.now)
			h.drain()
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

// arrive sends a request through an entry.
func (f *fleet) arrive(g *front, r gate.Request) {
	if g.lost {
		return
	}
	f.calls[r.ID] = &call{request: r, front: g, arrived: f.now}
	g.step(gate.Arrive{Request: r})
}

// poisson lets requests arrive at random for a time.
func (f *fleet) poisson(perSecond float64, d time.Duration, next func(n int) gate.Request) {
	end := f.now.Add(d)
	random := core.NewRand(f.seed + 77)
	var again func()
	n := 0
	again = func() {
		if f.now.After(end) {
			return
		}
		r := next(n)
		n++
		f.arrive(f.gates[random.IntN(len(f.gates))], r)
		f.after(time.Duration(random.ExpFloat64()/perSecond*float64(time.Second)), again)
	}
	again()
}

func (g *front) step(in gate.Input) {
	if g.lost {
		return
	}
	g.core.Step(g.fleet.now, in)
	g.drain()
}

// crash loses an entry. Its connections close, so that the sidecars cancel what
// ran for it.
func (g *front) crash() {
	g.lost = true
	for _, h := range g.fleet.hosts {
		for _, l := range h.openLinks() {
			if l.front == g {
				l.closed = true
				g.fleet.after(g.fleet.delay(), func() { h.step(sidecar.Cancel{ID: l.id}) })
			}
		}
	}
}

func (g *front) drain() {
	for _, out := range append([]gate.Output(nil), g.core.Drain()...) {
		switch out := out.(type) {
		case gate.Send:
			g.send(out)
		case gate.Abort:
			g.abort(out)
		case gate.Dropped:
			g.fleet.dropped++
		case gate.Finish:
			c := g.fleet.calls[out.ID]
			c.finishes++
			c.finish, c.finished = out, g.fleet.now
		}
	}
}

func (g *front) send(out gate.Send) {
	f := g.fleet
	h := f.host(out.Member.GetId())
	c := f.calls[out.ID]
	if out.ResumeFrom > 0 {
		c.relayed = 0
	}
	w := workOf(f, c.request, out)
	link := &link{front: g, host: h, incarnation: out.Member.GetIncarnation(), id: w.ID}
	h.links[w.ID] = link
	f.after(f.delay(), func() { h.receive(w, link) })
	if f.random.IntN(1000) < f.duplicates {
		f.after(f.delay()*100, func() { h.receive(w, nil) })
	}
}

func workOf(f *fleet, r gate.Request, out gate.Send) sidecar.Work {
	p := out.Profile
	return sidecar.Work{
		ID:      sidecar.AttemptID{RequestID: r.ID, Attempt: out.Attempt},
		Service: r.Service, Caller: r.Caller, Priority: p.GetPriority(),
		Deadline:            f.now.Add(out.Remaining),
		StartDeadline:       f.now.Add(time.Duration(p.GetQueueMs()) * time.Millisecond),
		FirstTokenTarget:    time.Duration(p.GetFirstTokenMs()) * time.Millisecond,
		BetweenTokensTarget: time.Duration(p.GetBetweenTokensMs()) * time.Millisecond,
		PromptTokens:        r.PromptTokens + int(out.ResumeFrom), MaxTokens: r.MaxTokens - int(out.ResumeFrom), PrefixHashes: r.Prefix,
		Idempotent: r.Idempotent, Incarnation: out.Member.GetIncarnation(),
		HarmPermille: p.GetHarmPermille(),
	}
}

func (g *front) abort(out gate.Abort) {
	id := sidecar.AttemptID{RequestID: out.ID, Attempt: out.Attempt}
	for _, h := range g.fleet.hosts {
		if _, ok := h.links[id]; ok {
			g.fleet.after(g.fleet.delay(), func() { h.step(sidecar.Cancel{ID: id}) })
		}
	}
}

// frame relays one token when its attempt is the one that won.
func (g *front) frame(id sidecar.AttemptID) {
	c := g.fleet.calls[id.RequestID]
	if c.finishes > 0 || g.lost {
		return
	}
	if c.relayed == 0 {
		before := g.fleet.dropped
		g.step(gate.FirstByte{ID: id.RequestID, Attempt: id.Attempt})
		if g.fleet.dropped != before {
			return
		}
		c.relayed = id.Attempt
	}
	if c.relayed != id.Attempt {
		return
	}
	now := g.fleet.now
	if c.tokens == 0 {
		c.first = now
	} else {
		c.gaps = append(c.gaps, now.Sub(c.last))
	}
	c.last = now
	c.tokens++
}

func (g *front) end(id sidecar.AttemptID, outcome pb.Outcome, reason pb.Reason, load *pb.Load, after time.Duration) {
	c := g.fleet.calls[id.RequestID]
	g.step(gate.Ended{
		ID: id.RequestID, Attempt: id.Attempt, Outcome: outcome, Reason: reason, Load: load,
		Relayed: c.relayed != 0, Tokens: uint32(c.tokens), RetryAfter: after,
	})
}

func (f *fleet) host(id string) *host {
	for _, h := range f.hosts {
		if h.id == id {
			return h
		}
	}
	panic("no host " + id)
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
