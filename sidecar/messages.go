package sidecar

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

// AttemptID identifies one attempt of a request or batch item.
type AttemptID struct {
	RequestID string
	Attempt   uint32
}

// Class separates online requests, for which a caller waits, from batch items,
// which are due later.
type Class int

const (
	Online Class = iota
	Batch
)

// Work is an online request or a batch item to run on the engine.
type Work struct {
	ID      AttemptID
	Class   Class
	Service string
	Caller  string
	// Priority orders work of one class; lower values start first.
	Priority uint32
	// Deadline is the time at which the work is aborted, queued or running;
	// zero means none.
	Deadline time.Time
	// StartDeadline is the latest time at which an online request may start;
	// zero means none.
	StartDeadline time.Time
	// FirstTokenTarget is the target time from submission to first token; zero
	// means none.
	FirstTokenTarget time.Duration
	// BetweenTokensTarget is the target time between two tokens; zero means
	// none.
	BetweenTokensTarget time.Duration
	PromptTokens        int
	MaxTokens           int
	// PrefixHashes are the hashes of the prompt's leading blocks, first block
	// first.
	PrefixHashes []uint64
	// Idempotent work may run more than once.
	Idempotent bool
	// Incarnation is the incarnation of the sidecar that the sender addressed;
	// zero means any.
	Incarnation uint64
	// HarmPermille is the share of online latency that batch work may add, in
	// thousandths; zero means Options.HarmPermille.
	HarmPermille uint32
}

// Input is an event that the daemon reports to the core.
type Input interface{ sidecarInput() }

// Submit asks to run work.
type Submit struct{ Work Work }

// Cancel aborts work whose result is no longer wanted.
type Cancel struct{ ID AttemptID }

// TokensProduced reports the number of tokens that the engine has produced for
// an attempt since the last report. The first report after a Start marks the
// first token.
type TokensProduced struct {
	ID    AttemptID
	Count int
}

// RunEnded reports that the engine no longer runs the work. Paused is set when
// its KV cache was exported, so that the work can be resumed.
type RunEnded struct {
	ID      AttemptID
	Outcome pb.Outcome
	Reason  pb.Reason
	Paused  bool
}

// EngineLoad is a load report of the engine. It may be late.
type EngineLoad struct {
	// Running and Queued are numbers of streams.
	Running int
	Queued  int
	// KVFree is the free share of the KV cache, from 0 to 1.
	KVFree float64
}

// CacheEvent is a change of the engine's prefix cache. Events arrive late, and a
// gap in Sequence means that some were lost. Stored and Evicted are hashes of
// blocks.
type CacheEvent struct {
	Sequence uint64
	Stored   []uint64
	Evicted  []uint64
	Cleared  bool
}

// Drain refuses new work, releases queued batch items to their jobs and lets the
// other accepted work finish.
type Drain struct{}

// Undrain accepts new work again after a Drain.
type Undrain struct{}

// SetServices replaces the services that the engine offers.
type SetServices struct{ Services []string }

func (Submit) sidecarInput()         {}
func (Cancel) sidecarInput()         {}
func (TokensProduced) sidecarInput() {}
func (RunEnded) sidecarInput()       {}
func (EngineLoad) sidecarInput()     {}
func (CacheEvent) sidecarInput()     {}
func (Drain) sidecarInput()          {}
func (Undrain) sidecarInput()        {}
func (SetServices) sidecarInput()    {}

// Output is an action for the daemon or a notification to it.
type Output interface{ sidecarOutput() }

// Start sends the work to the engine. With Resume set, the exported KV cache of
// the work is imported first.
type Start struct {
	ID     AttemptID
	Resume bool
}

// Stop cancels the work at the engine. With Pause set, its KV cache is exported
// first.
type Stop struct {
	ID    AttemptID
	Pause bool
}

// Refuse is the final response to a submission.
type Refuse struct {
	ID      AttemptID
	Outcome pb.Outcome
	Reason  pb.Reason
	// RetryAfter is the time after which a retry may succeed; zero means now.
	RetryAfter time.Duration
}

// Requeued reports that a preempted batch item has ended at the engine and is
// queued again.
type Requeued struct{ ID AttemptID }

// ReleaseItem returns a queued batch item to its job, which may lease it to
// another sidecar.
type ReleaseItem struct {
	ID AttemptID
	// Ran is set when the engine ran a part of the item before it was preempted.
	Ran bool
}

// FreeCapacity reports a change of the number of batch items that the sidecar can
// take in addition to those it has.
type FreeCapacity struct{ Items int }

// Drained reports that nothing is queued or running after a Drain.
type Drained struct{}

func (Start) sidecarOutput()        {}
func (Stop) sidecarOutput()         {}
func (Refuse) sidecarOutput()       {}
func (Requeued) sidecarOutput()     {}
func (ReleaseItem) sidecarOutput()  {}
func (FreeCapacity) sidecarOutput() {}
func (Drained) sidecarOutput()      {}
