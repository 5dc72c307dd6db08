package sidecar

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

// Options configures a Sidecar.
type Options struct {
	// Incarnation grows with each start of the process.
	Incarnation uint64
	// Services that the engine offers.
	Services []string
	// MaxQueue bounds the queued online requests.
	MaxQueue int
	// InitialWindow, MinWindow and MaxWindow bound the concurrency window, in
	// streams.
	InitialWindow int
	MinWindow     int
	MaxWindow     int
	// CanPause tells that the engine exports and imports KV caches.
	CanPause bool
	// WaitForStop holds an online request back until the batch stream that
	// makes room for it has ended. Otherwise it starts at once, above the
	// window.
	WaitForStop bool
	// DisablePreemption turns yielding off, for comparisons.
	DisablePreemption bool
	// HarmPermille is used when the profiles name none.
	HarmPermille uint32
	// MaxBatchWait is the longest time that a batch item waits here unpaused.
	MaxBatchWait time.Duration
	// DuplicateRetention is the time for which finished request IDs are kept.
	DuplicateRetention time.Duration
}

// Defaults of Options.
const (
	DefaultMaxQueue           = 256
	DefaultInitialWindow      = 8
	DefaultMinWindow          = 2
	DefaultMaxWindow          = 256
	DefaultHarmPermille       = 50
	DefaultMaxBatchWait       = 10 * time.Second
	DefaultDuplicateRetention = time.Minute
)

func (o *Options) setDefaults() {
	setDefault(&o.MaxQueue, DefaultMaxQueue)
	setDefault(&o.MaxWindow, DefaultMaxWindow)
	setDefault(&o.MinWindow, min(DefaultMinWindow, o.MaxWindow))
	setDefault(&o.InitialWindow, min(DefaultInitialWindow, o.MaxWindow))
	setDefault(&o.HarmPermille, DefaultHarmPermille)
	setDefault(&o.MaxBatchWait, DefaultMaxBatchWait)
	setDefault(&o.DuplicateRetention, DefaultDuplicateRetention)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Sidecar is the core beside one engine. It implements core.Core.
type Sidecar struct {
	options  Options
	out      core.Outbox[Output]
	work     map[AttemptID]*entry
	online   queue
	batch    queue
	streams  streams
	expiry   core.Deadlines[AttemptID]
	held     core.Deadlines[AttemptID]
	recent   recent
	window   window
	latency  latencies
	harm     harm
	ramp     ramp
	prefixes prefixIndex
	sequence uint64
	// queueSince is the time at which the online queue was last empty.
	queueSince time.Time
	services   []string
	draining   bool
	drained    bool
	room       int
}

// New returns a sidecar core with nothing queued or running.
func New(o Options) *Sidecar {
	o.setDefaults()
	return &Sidecar{
		options:  o,
		work:     make(map[AttemptID]*entry),
		online:   newQueue(),
		batch:    newQueue(),
		recent:   newRecent(o.DuplicateRetention),
		window:   newWindow(o),
		harm:     newHarm(o.HarmPermille),
		prefixes: newPrefixIndex(),
		services: slices.Clone(o.Services),
	}
}

// Step handles one input.
func (s *Sidecar) Step(now time.Time, in Input) {
	switch in := in.(type) {
	case TokensProduced:
		s.tokens(now, in)
		return
	case Submit:
		s.submit(now, in.Work)
	case Cancel:
		s.cancel(in.ID)
	case RunEnded:
		s.ended(now, in)
	case EngineLoad:
		s.window.correct(in)
	case CacheEvent:
		s.prefixes.apply(in)
	case Drain:
		s.drain()
	case Undrain:
		s.draining, s.drained = false, false
	case SetServices:
		s.services = slices.Clone(in.Services)
	}
	s.run(now)
}

// Tick runs every system once.
func (s *Sidecar) Tick(now time.Time) {
	s.expire(now)
	s.returnHeld(now)
	s.recent.expire(now)
	s.window.adapt(now, s.usage())
	s.harm.adapt(now, s.streams.online)
	s.run(now)
}

// Drain returns the outputs since the last call.
func (s *Sidecar) Drain() []Output {
	return s.out.Drain()
}

// Load returns the exact load of the engine.
func (s *Sidecar) Load() *pb.Load {
	return &pb.Load{
		RunningOnline:   uint32(s.streams.online),
		RunningBatch:    uint32(s.streams.batch()),
		QueuedOnline:    uint32(s.online.len()),
		Window:          uint32(s.window.attainable()),
		FirstTokenUs:    uint32(s.latency.firstToken.value.Microseconds()),
		BetweenTokensUs: uint32(s.latency.between.value.Microseconds()),
	}
}

func (s *Sidecar) usage() usage {
	return usage{
		places: s.streams.count() + s.reserve(),
		silent: s.streams.silent,
		queued: s.online.len() > 0,
	}
}

// run admits what can start and reports changes.
func (s *Sidecar) run(now time.Time) {
	s.admitOnline(now)
	if s.online.len() == 0 {
		s.queueSince = now
	}
	s.yield(now)
	s.admitBatch(now)
	s.reportRoom(now)
	s.reportDrained()
}

func (s *Sidecar) refuse(id AttemptID, outcome pb.Outcome, reason pb.Reason, after time.Duration) {
	s.out.Put(Refuse{ID: id, Outcome: outcome, Reason: reason, RetryAfter: after})
}

func (s *Sidecar) notRun(id AttemptID, reason pb.Reason, after time.Duration) {
	s.refuse(id, pb.Outcome_OUTCOME_NOT_RUN, reason, after)
}

func (s *Sidecar) reportRoom(now time.Time) {
	room := s.batchRoom(now)
	if room == s.room {
		return
	}
	s.room = room
	s.out.Put(FreeCapacity{Items: room})
}

func (s *Sidecar) reportDrained() {
	if !s.draining || s.drained || len(s.work) > 0 {
		return
	}
	s.drained = true
	s.out.Put(Drained{})
}
