package labengine

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/engine"
)

// Engine is the deterministic state machine of the emulated engine.
type Engine struct {
	options Options
	rand    *rand.Rand
	faults  Faults

	// waiting holds the accepted sequences that are not in the batch, next first.
	waiting []*sequence
	// running holds the sequences of the current batch, oldest first.
	running []*sequence
	// runningKVTokens is the KV memory of the running sequences, in tokens.
	runningKVTokens int

	cache          prefixCache
	cacheEvents    laggedCacheEvents
	loadReports    laggedLoad
	ledger         ledger
	identity       engine.Identity
	orderDeadlines core.Deadlines[uint64]
	pendingOrders  map[uint64]engine.OrderRequest
	lastEndedID    string

	stepRunning bool
	stepEndTime time.Time
	counters    Counters
	outbox      core.Outbox[Output]
}

// Counters are totals since the start of an engine.
type Counters struct {
	Steps          uint64 `json:"steps"`
	Tokens         uint64 `json:"tokens"`
	PrefillTokens  uint64 `json:"prefill_tokens"`
	CachedTokens   uint64 `json:"cached_tokens"`
	Recomputations uint64 `json:"recomputations"`
	// BusyTime is the total duration of all steps.
	BusyTime time.Duration `json:"busy_ns"`
}

// New returns an engine without requests.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		options:       o,
		rand:          core.NewRand(o.Seed),
		faults:        o.Faults,
		cache:         newPrefixCache(),
		pendingOrders: make(map[uint64]engine.OrderRequest),
	}
	e.cacheEvents.lag = o.CacheEventLag
	e.loadReports.lag = o.LoadLag
	e.loadReports.published = engine.Load{KVCapacity: o.MaxKVTokens}
	e.identity = engine.Identity{
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
	case SubmitRequest:
		e.submitRequest(in)
	case Cancel:
		e.cancel(func(s *sequence) bool { return s.request.Serial == in.Serial })
	case CancelByID:
		e.cancel(func(s *sequence) bool { return s.request.ID == in.ID })
	case SubmitOrder:
		e.startOrder(now, in)
	case SetFaults:
		e.faults = in.Faults
	}
	e.beginStep(now)
	e.sampleLoad(now)
}

// Tick completes the steps and orders that are due by now.
func (e *Engine) Tick(now time.Time) {
	e.finishOrders(now)
	for e.stepRunning && !e.stepEndTime.After(now) {
		ended := e.stepEndTime
		e.endStep(ended)
		e.beginStep(ended)
		e.sampleLoad(ended)
	}
}

// NextTick returns the time when the next step or order is due, and false if
// there is none.
func (e *Engine) NextTick() (time.Time, bool) {
	next, ok := e.orderDeadlines.Earliest()
	if e.stepRunning && (!ok || e.stepEndTime.Before(next)) {
		return e.stepEndTime, true
	}
	return next, ok
}

// Drain returns the outputs since the last call. The slice is valid until
// Drain is called again.
func (e *Engine) Drain() []Output { return e.outbox.Drain() }

// Load returns the latest load report that is at least LoadLag old.
func (e *Engine) Load(now time.Time) engine.Load { return e.loadReports.publish(now) }

// CacheEvents returns the published cache events with a sequence number above
// after.
func (e *Engine) CacheEvents(now time.Time, after uint64) engine.CacheEventsResponse {
	return e.cacheEvents.after(now, after)
}

// Identity returns the models, adapters, role and version that the engine
// reports.
func (e *Engine) Identity() engine.Identity {
	identity := e.identity
	identity.Models = slices.Clone(e.identity.Models)
	identity.Adapters = slices.Clone(e.identity.Adapters)
	return identity
}

// Ledger returns one entry for each request ID in the order of first arrival.
func (e *Engine) Ledger() []LedgerEntry { return e.ledger.all() }

// Counters returns the totals since the start.
func (e *Engine) Counters() Counters { return e.counters }

func (e *Engine) sampleLoad(now time.Time) {
	e.loadReports.add(now, engine.Load{
		Running:    len(e.running),
		Waiting:    len(e.waiting),
		KVTokens:   e.runningKVTokens,
		KVCapacity: e.options.MaxKVTokens,
	})
}

// bernoulli returns true with a probability between 0 and 1.
func (e *Engine) bernoulli(probability float64) bool {
	return probability > 0 && e.rand.Float64() < probability
}
