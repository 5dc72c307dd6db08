package sidecar

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

// AttemptID names one attempt of a request or of a batch item.
type AttemptID struct {
	RequestID string
	Attempt   uint32
}

// Class separates work that people wait for from work that is due later.
type Class int

// The classes of work.
const (
	Online Class = iota
	Batch
)

// Work is a request or a batch item that wants to run on the engine.
type Work struct {
	ID       AttemptID
	Class    Class
	Service  string
	Caller   string
	Priority uint32
	// Deadline ends the work wherever it stands; zero means none.
	Deadline time.Time
	// StartDeadline is the latest start; zero means none.
	StartDeadline time.Time
	// FirstTokenTarget is the target from submission to first token; zero means none.
	FirstTokenTarget time.Duration
	// BetweenTokensTarget is the target from token to token; zero means none.
	BetweenTokensTarget time.Duration
	PromptTokens        int
	MaxTokens           int
	// PrefixHashes holds the hashes of the prompt's leading blocks.
	PrefixHashes []uint64
	Idempotent   bool
	// Incarnation is the receiver that the sender meant; zero accepts any.
	Incarnation uint64
	// HarmPermille is the share of online latency that batch work may add, in
	// thousandths; zero means the default.
	HarmPermille uint32
}

// Input is what a shell reports to the core.
type Input interface{ sidecarInput() }

// Submit offers work.
type Submit struct{ Work Work }

// Cancel ends work that nobody waits for any more.
type Cancel struct{ ID AttemptID }

// TokensProduced reports tokens that the engine has produced since the last report.
// The first report after a Start marks the first token.
type TokensProduced struct {
	ID    AttemptID
	Count int
}

// RunEnded reports that the engine no longer runs the work. Paused tells that its
// KV cache was exported and the work can be resumed.
type RunEnded struct {
	ID      AttemptID
	Outcome pb.Outcome
	Reason  pb.Reason
	Paused  bool
}

// EngineLoad is a report of the engine, which may be late.
type EngineLoad struct {
	Running int
	Queued  int
	// KVFree is the free share of the KV cache, from 0 to 1.
	KVFree float64
}

// CacheEvent is a change of the engine's prefix cache. Events come late, and a
// jump in Sequence means that some were lost.
type CacheEvent struct {
	Sequence uint64
	Stored   []uint64
	Evicted  []uint64
	Cleared  bool
}

// Drain refuses new work from now on and lets the accepted work finish.
type Drain struct{}

// Undrain accepts work again.
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

// Output is what the core wants done.
type Output interface{ sidecarOutput() }

// Start calls the engine. With Resume set, the exported KV cache of the work is
// imported first.
type Start struct {
	ID     AttemptID
	Resume bool
}

// Stop cancels the work at the engine. With Pause set, its KV cache is exported
// before.
type Stop struct {
	ID    AttemptID
	Pause bool
}

// Refuse is the final answer to a submission.
type Refuse struct {
	ID      AttemptID
	Outcome pb.Outcome
	Reason  pb.Reason
	// RetryAfter is the earliest sensible time to try again; zero means now.
	RetryAfter time.Duration
}

// Requeued tells that a batch item was stopped to make room and waits here.
type Requeued struct{ ID AttemptID }

// ReleaseItem returns a batch item, which does not run, to its job.
type ReleaseItem struct {
	ID AttemptID
	// Ran tells that the engine has run a part of it before it was stopped.
	Ran bool
}

// FreeCapacity tells how many more batch items can be taken.
type FreeCapacity struct{ Items int }

// Drained tells that nothing is queued or running after a Drain.
type Drained struct{}

func (Start) sidecarOutput()        {}
func (Stop) sidecarOutput()         {}
func (Refuse) sidecarOutput()       {}
func (Requeued) sidecarOutput()     {}
func (ReleaseItem) sidecarOutput()  {}
func (FreeCapacity) sidecarOutput() {}
func (Drained) sidecarOutput()      {}
