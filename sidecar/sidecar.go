package sidecar

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

// Options configures a Sidecar.
type Options struct {
	// Incarnation identifies this start of the process; it grows with each start.
	Incarnation uint64
	// Services are the names of the services that the engine offers.
	Services []string
	// MaxQueue is the maximum number of queued online requests.
	MaxQueue int
	// InitialWindow, MinWindow and MaxWindow are the initial, smallest and
	// largest size of the concurrency window, in streams.
	InitialWindow int
	MinWindow     int
	MaxWindow     int
	// CanPause is set when the engine exports and imports KV caches, so that a
	// preempted batch item can resume where it was stopped.
	CanPause bool
	// WaitForStop delays an online request until the batch stream that is
	// preempted for it has ended. Otherwise the request starts at once and the
	// streams exceed the window until the batch stream ends.
	WaitForStop bool
	// DisablePreemption never stops batch streams for online requests, for
	// comparisons.
	DisablePreemption bool
	// HarmPermille is the share of online latency that batch work may add, in
	// thousandths, for requests whose profile sets none.
	HarmPermille uint32
	// MaxBatchWait is the longest time that a batch item without an exported
	// KV cache waits in the queue before it is released to its job.
	MaxBatchWait time.Duration
	// DuplicateRetention is the time for which attempts of online requests are
	// remembered to refuse duplicates, counted from their submission.
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

// Sidecar is the scheduling core of one engine. It implements core.Core.
type Sidecar struct {
	options Options
	out     core.Outbox[Output]
	// entries holds all queued and running work.
	entries     map[AttemptID]*entry
	onlineQueue queue
	batchQueue  queue
	streams     runningStreams
	// deadlines holds the time at which each entry is aborted.
	deadlines core.Deadlines[AttemptID]
	// batchWaits holds the time at which each queued batch item that is not
	// paused is released to its job.
	batchWaits     core.Deadlines[AttemptID]
	recentAttempts attemptHistory
	window         concurrencyWindow
	onlineLatency  onlineLatencies
	interference   interferenceModel
	batchRamp      batchRamp
	prefixCache    prefixIndex
	// lastSequence is the queueSequence of the entry that was queued last.
	lastSequence uint64
	// onlineQueueEmptyAt is the last time at which the online queue was empty.
	onlineQueueEmptyAt time.Time
	services           []string
	draining           bool
	drainReported      bool
	// reportedCapacity is the number of items in the last FreeCapacity.
	reportedCapacity int
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

// Tick handles what depends on the passing of time: it aborts expired entries,
// releases batch items that waited too long and adapts the window.
func (s *Sidecar) Tick(now time.Time) {
	s.expireEntries(now)
	s.releaseWaitingItems(now)
	s.recentAttempts.expire(now)
	s.window.adapt(now, s.usage())
	s.interference.observeOnline(now, s.streams.onlineCount)
	s.schedule(now)
}

// Drain returns and clears the outputs since the last call.
func (s *Sidecar) Drain() []Output {
	return s.out.Drain()
}

// Load returns the load of the engine as the sidecar counts it, without the lag
// of the engine's own reports.
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

// schedule starts queued work, preempts batch streams and reports changes of
// the free batch capacity and the end of a drain.
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
