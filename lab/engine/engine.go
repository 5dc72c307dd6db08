package labengine

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/engine"
)

// Engine is the core of the fake engine.
type Engine struct {
	options Options
	rand    *rand.Rand
	faults  Faults

	// waiting holds admitted sequences in the order of their arrival.
	waiting []*sequence
	// running holds the sequences of the current batch, oldest first.
	running []*sequence
	// kvUsed is the memory of the running sequences, in tokens.
	kvUsed int

	cache     prefixCache
	cacheLog  cacheReports
	loads     loadReports
	ledger    ledger
	serves    engine.Identity
	orders    core.Deadlines[uint64]
	pending   map[uint64]engine.OrderRequest
	lastEnded string

	stepping bool
	stepEnds time.Time
	counters Counters
	outbox   core.Outbox[Output]
}

// Counters sum what an engine has done.
type Counters struct {
	Steps          uint64 `json:"steps"`
	Tokens         uint64 `json:"tokens"`
	PrefillTokens  uint64 `json:"prefill_tokens"`
	CachedTokens   uint64 `json:"cached_tokens"`
	Recomputations uint64 `json:"recomputations"`
	// Busy is the total time of all steps.
	Busy time.Duration `json:"busy_ns"`
}

// New returns an engine without requests.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		options: o,
		rand:    core.NewRand(o.Seed),
		faults:  o.Faults,
		cache:   newPrefixCache(),
		pending: make(map[uint64]engine.OrderRequest),
	}
	e.cacheLog.lag = o.CacheEventLag
	e.loads.lag = o.LoadLag
	e.loads.published = engine.Load{KVCapacity: o.MaxKVTokens}
	e.serves = engine.Identity{
		ID:            o.ID,
		Kind:          "model",
		Models:        slices.Clone(o.Models),
		Adapters:      slices.Clone(o.Adapters),
		Version:       o.Version,
		Role:          o.Role,
		ChecksFencing: o.ChecksFencing,
	}
	return e
}

// Step handles one input.
func (e *Engine) Step(now time.Time, in Input) {
	e.Tick(now)
	switch in := in.(type) {
	case Start:
		e.submit(in)
	case Cancel:
		e.cancel(func(s *sequence) bool { return s.start.Serial == in.Serial })
	case CancelID:
		e.cancel(func(s *sequence) bool { return s.start.ID == in.ID })
	case Order:
		e.order(now, in)
	case SetFaults:
		e.faults = in.Faults
	}
	e.beginStep(now)
	e.sampleLoad(now)
}

// Tick ends the steps and orders whose time has come.
func (e *Engine) Tick(now time.Time) {
	e.finishOrders(now)
	for e.stepping && !e.stepEnds.After(now) {
		ended := e.stepEnds
		e.endStep(ended)
		e.beginStep(ended)
		e.sampleLoad(ended)
	}
}

// NextTick returns the time at which Tick has work to do.
func (e *Engine) NextTick() (time.Time, bool) {
	next, ok := e.orders.Earliest()
	if e.stepping && (!ok || e.stepEnds.Before(next)) {
		return e.stepEnds, true
	}
	return next, ok
}

// Drain returns the outputs since the last call. The slice is valid until the
// next call.
func (e *Engine) Drain() []Output { return e.outbox.Drain() }

// Load returns the load report that is published now.
func (e *Engine) Load(now time.Time) engine.Load { return e.loads.publish(now) }

// CacheEvents returns the events after a sequence number that are published.
func (e *Engine) CacheEvents(now time.Time, after uint64) engine.CacheEventsResponse {
	return e.cacheLog.after(now, after)
}

// Identity returns what the engine serves.
func (e *Engine) Identity() engine.Identity {
	identity := e.serves
	identity.Models = slices.Clone(e.serves.Models)
	identity.Adapters = slices.Clone(e.serves.Adapters)
	return identity
}

// Ledger returns one entry for each request ID in the order of first arrival.
func (e *Engine) Ledger() []LedgerEntry { return e.ledger.all() }

// Counters returns the sums since the start.
func (e *Engine) Counters() Counters { return e.counters }

func (e *Engine) sampleLoad(now time.Time) {
	e.loads.add(now, engine.Load{
		Running:    len(e.running),
		Waiting:    len(e.waiting),
		KVTokens:   e.kvUsed,
		KVCapacity: e.options.MaxKVTokens,
	})
}

func (e *Engine) chance(probability float64) bool {
	return probability > 0 && e.rand.Float64() < probability
}
