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
	options        Options
	out            core.Outbox[Output]
	entries        map[AttemptID]*entry
	onlineQueue    queue
	batchQueue     queue
	streams        runningStreams
	deadlines      core.Deadlines[AttemptID]
	batchWaits     core.Deadlines[AttemptID]
	recentAttempts attemptHistory
	window         concurrencyWindow
	onlineLatency  onlineLatencies
	interference   interferenceModel
	batchRamp      batchRamp
	prefixCache    prefixIndex
	lastSequence   uint64
	// onlineQueueEmptyAt is the time at which the online queue was last empty.
	onlineQueueEmptyAt time.Time
	services           []string
	draining           bool
	drainReported      bool
	reportedCapacity   int
}

// New returns a sidecar core with nothing queued or running.
func New(o Options) *Sidecar {
	o.setDefaults()
	return &Sidecar{
		options:        o,
		entries:        make(map[AttemptID]*entry),
		onlineQueue:    newQueue(),
		batchQueue:     newQueue(),
		recentAttempts: newAttemptHistory(o.DuplicateRetention),
		window:         newWindow(o),
		interference:   newInterferenceModel(o.HarmPermille),
		prefixCache:    newPrefixIndex(),
		services:       slices.Clone(o.Services),
	}
}

// Step handles one input.
func (s *Sidecar) Step(now time.Time, in Input) {
	switch in := in.(type) {
	case TokensProduced:
		s.recordTokens(now, in)
		return
	case Submit:
		s.submit(now, in.Work)
	case Cancel:
		s.cancel(in.ID)
	case RunEnded:
		s.runEnded(now, in)
	case EngineLoad:
		s.window.applyEngineLoad(in)
	case CacheEvent:
		s.prefixCache.apply(in)
	case Drain:
		s.drain()
	case Undrain:
		s.draining, s.drainReported = false, false
	case SetServices:
		s.services = slices.Clone(in.Services)
	}
	s.schedule(now)
}

// Tick runs every system once.
func (s *Sidecar) Tick(now time.Time) {
	s.expireEntries(now)
	s.releaseWaitingItems(now)
	s.recentAttempts.expire(now)
	s.window.adapt(now, s.usage())
	s.interference.observeOnline(now, s.streams.onlineCount)
	s.schedule(now)
}

// Drain returns the outputs since the last call.
func (s *Sidecar) Drain() []Output {
	return s.out.Drain()
}

// Load returns the exact load of the engine.
func (s *Sidecar) Load() *pb.Load {
	return &pb.Load{
		RunningOnline:   uint32(s.streams.onlineCount),
		RunningBatch:    uint32(s.streams.batchCount()),
		QueuedOnline:    uint32(s.onlineQueue.len()),
		Window:          uint32(s.window.attainableSize()),
		FirstTokenUs:    uint32(s.onlineLatency.firstToken.value.Microseconds()),
		BetweenTokensUs: uint32(s.onlineLatency.betweenTokens.value.Microseconds()),
	}
}

func (s *Sidecar) usage() windowUsage {
	return windowUsage{
		slots:              s.streams.total() + s.onlineReserve(),
		awaitingFirstToken: s.streams.awaitingFirstToken,
		onlineQueued:       s.onlineQueue.len() > 0,
	}
}

// schedule admits what can start and reports changes.
func (s *Sidecar) schedule(now time.Time) {
	s.admitOnline(now)
	if s.onlineQueue.len() == 0 {
		s.onlineQueueEmptyAt = now
	}
	s.preemptExcess(now)
	s.admitBatch(now)
	s.reportFreeCapacity(now)
	s.reportDrained()
}

func (s *Sidecar) refuse(id AttemptID, outcome pb.Outcome, reason pb.Reason, retryAfter time.Duration) {
	s.out.Put(Refuse{ID: id, Outcome: outcome, Reason: reason, RetryAfter: retryAfter})
}

func (s *Sidecar) refuseNotRun(id AttemptID, reason pb.Reason, retryAfter time.Duration) {
	s.refuse(id, pb.Outcome_OUTCOME_NOT_RUN, reason, retryAfter)
}

func (s *Sidecar) reportFreeCapacity(now time.Time) {
	capacity := s.freeCapacity(now)
	if capacity == s.reportedCapacity {
		return
	}
	s.reportedCapacity = capacity
	s.out.Put(FreeCapacity{Items: capacity})
}

func (s *Sidecar) reportDrained() {
	if !s.draining || s.drainReported || len(s.entries) > 0 {
		return
	}
	s.drainReported = true
	s.out.Put(Drained{})
}
