package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/fleet"
)

// Class separates work that people wait for from work that is due later.
type Class int

// The classes of work.
const (
	Online Class = iota
	Batch
	classes
)

// Options configures a Pool.
type Options struct {
	// DataCentre is where the pool's requests come from.
	DataCentre string
	// Seed must differ between daemons.
	Seed uint64
	// BatchReserve is the number of slots of each upstream that batch leaves
	// free for online requests.
	BatchReserve int
	// PeerTimeout is the age at which another daemon's load report is dropped.
	PeerTimeout time.Duration
	// HeartbeatTimeout is the time without a heartbeat after which an upstream is used
	// only when no other is left.
	HeartbeatTimeout time.Duration
}

// SlotRequest is a request for a slot.
type SlotRequest struct {
	// ID names the ask; the caller chooses it.
	ID      uint64
	Service string
	Class   Class
	// Priority orders the asks of a class; zero comes first.
	Priority int
	// Avoid names upstreams that have already failed the request.
	Avoid []string
	// Urgent lets batch use slots that the next burst of online requests will
	// need again; it is for items that would be late otherwise.
	Urgent bool
	// MaxWait bounds the time for which the ask may wait for a slot.
	MaxWait time.Duration
	// Route names requests that start with the same time until their deadline.
	Route string
	// TimeLeft is the time until the caller's deadline; zero if it has none. An ask
	// that has less than others of its kind comes from a caller that returns.
	TimeLeft time.Duration
	// RetryMaxWait replaces Wait for a caller that returns.
	RetryMaxWait time.Duration
}

// Grant assigns a slot of an upstream to an ask. It is held until Done.
type Grant struct {
	SlotRequestID uint64
	Service       string
	Upstream      string
	Address       string
	Class         Class
	// GrantedAt is the time of the grant.
	GrantedAt time.Time
	// Waited is the time between the ask and the grant.
	Waited time.Duration
	// IsRetry is set for a caller that was sent away or failed before.
	IsRetry bool
	// FreeSlots is the number of slots that the pool believes to be free after the
	// grant; below zero, batch has to give way first.
	FreeSlots int
}

// Refusal ends an ask without a slot.
type Refusal struct {
	SlotRequestID uint64
	Reason        Reason
	// RetryAfter is the time after which a slot is likely to be free.
	RetryAfter time.Duration
	// IsRetry is set for a caller that was sent away or failed before.
	IsRetry bool
}

// Reason tells why an ask was refused.
type Reason string

// The reasons of refusals.
const (
	// NoUpstream means that no upstream of the service is known.
	NoUpstream Reason = "no_upstream"
	// QueueFull means that the wait would be longer than the ask allows.
	QueueFull Reason = "queue_full"
	// WaitTimeout means that no slot became free within the allowed wait.
	WaitTimeout Reason = "wait_over"
)

type waiting struct {
	ask   SlotRequest
	since time.Time
	// returned is set for a caller that was sent away or failed before.
	returned bool
}

// of returns the record of a service or kind, which it makes if there is none.
func of[V any](records map[string]*V, name string) *V {
	record, known := records[name]
	if !known {
		record = new(V)
		records[name] = record
	}
	return record
}

// upstream is what the pool knows of one upstream.
type upstream struct {
	fleet.Upstream
	// own counts the grants of this pool, peers those of other daemons.
	own   [classes]int
	peers [classes]int
	health
	// rank is the upstream's place in this pool's order.
	rank uint64
}

func (u *upstream) online() int { return u.own[Online] + u.peers[Online] }

func (u *upstream) batch() int { return u.own[Batch] + u.peers[Batch] }

func (u *upstream) free() int { return u.Slots - u.online() - u.batch() }

// Pool assigns slots.
type Pool struct {
	options   Options
	rand      *rand.Rand
	upstreams map[string]*upstream
	// order lists the upstreams by ascending ID.
	order   []*upstream
	reports map[string]peerReport
	queue   []waiting
	rates   map[string]*rate
	peaks   map[string]*peak
	returns map[string]*returns
	// lefts holds the most milliseconds that asks of a kind had left, and
	// forgotten is when kinds without asks were dropped last.
	lefts     map[string]*peak
	forgotten time.Time
	granted   []Grant
	refused   []Refusal
	judged    []HealthChange
}

// New returns a pool without upstreams.
func New(options Options) *Pool {
	return &Pool{
		options:   options,
		rand:      core.NewRand(options.Seed),
		upstreams: make(map[string]*upstream),
		reports:   make(map[string]peerReport),
		rates:     make(map[string]*rate),
		peaks:     make(map[string]*peak),
		returns:   make(map[string]*returns),
		lefts:     make(map[string]*peak),
	}
}

// UpdateUpstream stores the latest heartbeat of an upstream.
func (p *Pool) UpdateUpstream(u fleet.Upstream) {
	held, known := p.upstreams[u.ID]
	if !known {
		held = &upstream{Upstream: u, rank: p.rand.Uint64()}
		p.upstreams[u.ID] = held
		at, _ := slices.BinarySearchFunc(p.order, u.ID, byID)
		p.order = slices.Insert(p.order, at, held)
	}
	if u.BornUnixMs != held.BornUnixMs {
		held.health = health{}
	}
	held.Upstream = u
	if !known {
		p.countPeers()
	}
}

func byID(u *upstream, id string) int { return cmp.Compare(u.ID, id) }

// RemoveUpstream drops an upstream. Grants that are still held end without effect.
func (p *Pool) RemoveUpstream(id string) {
	if _, known := p.upstreams[id]; !known {
		return
	}
	delete(p.upstreams, id)
	at, _ := slices.BinarySearchFunc(p.order, id, byID)
	p.order = slices.Delete(p.order, at, at+1)
}

// Request handles an ask: the answer comes with the next Drain.
func (p *Pool) Request(now time.Time, ask SlotRequest) {
	w := waiting{ask: ask, since: now, returned: p.returned(now, ask)}
	if w.returned && p.returnsFit(now, ask.Service) {
		w.ask.MaxWait = max(ask.MaxWait, ask.RetryMaxWait)
	}
	if ask.Class == Online {
		p.rate(ask.Service).arrive(now)
	}
	at, ahead := p.place(now, w)
	if ahead == 0 && p.grant(now, w) {
		return
	}
	p.wait(now, w, at, ahead)
}

// place returns where an ask belongs in the queue, and the number of asks of
// its service that come first.
func (p *Pool) place(now time.Time, w waiting) (at, ahead int) {
	at = len(p.queue)
	returnsFirst := p.returnsFit(now, w.ask.Service)
	for i, q := range p.queue {
		if before(w, q, returnsFirst) {
			at = min(at, i)
			continue
		}
		if q.ask.Service == w.ask.Service {
			ahead++
		}
	}
	return at, ahead
}

// before orders asks by class and priority, and then puts callers that return
// first where that is asked for.
func before(a, b waiting, returnsFirst bool) bool {
	order := cmp.Or(cmp.Compare(a.ask.Class, b.ask.Class), cmp.Compare(a.ask.Priority, b.ask.Priority))
	return order < 0 || order == 0 && returnsFirst && a.returned && !b.returned
}

// wait queues an ask, or refuses it when the queue moves too slowly for it.
func (p *Pool) wait(now time.Time, w waiting, at, ahead int) {
	if !p.serves(w.ask.Service) {
		p.refuse(now, w, NoUpstream)
		return
	}
	expected := p.freeIn(now, w.ask.Service, ahead+1)
	if expected > w.ask.MaxWait || w.ask.MaxWait <= 0 {
		p.refuse(now, w, QueueFull)
		return
	}
	p.queue = slices.Insert(p.queue, at, w)
}

func (p *Pool) serves(service string) bool {
	for _, u := range p.order {
		if u.Service == service && u.Phase == fleet.Ready {
			return true
		}
	}
	return false
}

func (p *Pool) refuse(now time.Time, w waiting, reason Reason) {
	after := p.retryAfter(now, w.ask, reason)
	if w.ask.Class == Online {
		p.expected(w.ask.Service).note(now, after)
	}
	p.refused = append(p.refused, Refusal{w.ask.ID, reason, after, w.returned})
}

// Cancel withdraws an ask that waits.
func (p *Pool) Cancel(id uint64) {
	p.queue = slices.DeleteFunc(p.queue, func(w waiting) bool { return w.ask.ID == id })
}

// Outcome tells how a request ended at its upstream.
type Outcome int

// The outcomes of a grant.
const (
	// Served requests were answered by the upstream.
	Served Outcome = iota
	// Inconclusive grants say nothing about the upstream.
	Inconclusive
	// Rejected upstreams refused the request without running it.
	Rejected
	// Failed upstreams could not be reached, failed the request or broke the
	// answer off.
	Failed
	// OtherInstance upstreams said that they are not the one that was meant.
	OtherInstance
)

// Release ends a grant.
func (p *Pool) Release(now time.Time, g Grant, outcome Outcome) {
	if g.Class == Online {
		r := p.rate(g.Service)
		r.underway = max(0, r.underway-1)
	}
	u, known := p.upstreams[g.Upstream]
	if !known {
		return
	}
	u.own[g.Class] = max(0, u.own[g.Class]-1)
	p.judge(now, u, g, outcome)
	switch outcome {
	case Served:
		p.rate(u.Service).complete(now, g)
	case OtherInstance:
		u.Phase = fleet.Gone
	case Inconclusive, Rejected, Failed:
	}
	p.advance(now)
}

// Tick grants what can be granted and refuses what has waited too long.
func (p *Pool) Tick(now time.Time) {
	p.expirePeers(now)
	p.notePeaks(now)
	p.advance(now)
	p.queue = slices.DeleteFunc(p.queue, func(w waiting) bool {
		if now.Sub(w.since) < w.ask.MaxWait {
			return false
		}
		p.refuse(now, w, WaitTimeout)
		return true
	})
}

// advance grants the asks that wait, in order, as far as slots are free.
func (p *Pool) advance(now time.Time) {
	kept := p.queue[:0]
	for _, w := range p.queue {
		if !p.grant(now, w) {
			kept = append(kept, w)
		}
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}

func (p *Pool) grant(now time.Time, w waiting) bool {
	u := p.pick(now, w.ask)
	if u == nil {
		return false
	}
	u.own[w.ask.Class]++
	if w.ask.Class == Online {
		p.rate(w.ask.Service).underway++
	}
	p.granted = append(p.granted, Grant{
		SlotRequestID: w.ask.ID,
		Service:       w.ask.Service,
		Upstream:      u.ID,
		Address:       u.Address,
		Class:         w.ask.Class,
		GrantedAt:     now,
		Waited:        now.Sub(w.since),
		IsRetry:       w.returned,
		FreeSlots:     u.free(),
	})
	return true
}

// Drain returns the grants and refusals since the last call.
func (p *Pool) Drain() ([]Grant, []Refusal) {
	granted, refused := p.granted, p.refused
	p.granted, p.refused = nil, nil
	return granted, refused
}

// QueueLength returns the number of asks that wait.
func (p *Pool) QueueLength() int {
	return len(p.queue)
}
