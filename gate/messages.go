package gate

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

// Request is an online request of a caller.
type Request struct {
	ID         string
	Caller     string
	Service    string
	Idempotent bool
	// IdempotencyKey is set by the caller; empty means none.
	IdempotencyKey string
	// Digest is a hash of the path and body. A request that reuses a key with
	// another digest fails.
	Digest []byte
	// PrefixHashes holds the hashes of the prompt's leading blocks.
	PrefixHashes []uint64
	PromptTokens int
	MaxTokens    int
	// Deadline is when the request fails; zero means the due time of the profile.
	Deadline time.Time
	// Plain marks a request to a plain service, which streams no tokens.
	Plain bool
	// Resumable means that a truncated response can be continued from the last
	// relayed token.
	Resumable bool
}

// Profiles looks up the profiles in force.
type Profiles interface {
	// ProfileOf returns a service and its profiles; batch may be nil. ok is false
	// for an unknown service.
	ProfileOf(service string) (svc *pb.Service, online, batch *pb.Profile, ok bool)
}

// Input is an event that the daemon reports to the core.
type Input interface{ gateInput() }

// RequestArrived reports a new request.
type RequestArrived struct{ Request Request }

// ClaimResponse is the response to an OpenClaim; one of Result and Err is set.
type ClaimResponse struct {
	ID     string
	Result *pb.ClaimResult
	Err    *pb.ControlError
}

// FirstByte reports that an attempt received the first byte of its response. The
// daemon may relay it if the next Drain returns no InputDropped for the attempt.
type FirstByte struct {
	ID      string
	Attempt uint32
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	ID      string
	Attempt uint32
	Outcome pb.Outcome
	Reason  pb.Reason
	Load    *pb.Load
	// Relayed means that a part of the attempt's response was relayed.
	Relayed bool
	// RelayedTokens is the number of tokens relayed from all attempts so far.
	RelayedTokens uint32
	// RetryAfter is the delay that the sidecar requested; zero means none.
	RetryAfter time.Duration
}

// CallerGone reports that the caller closed its connection.
type CallerGone struct{ ID string }

// MemberChanged reports a new or changed upstream.
type MemberChanged struct{ Member *pb.Member }

// MemberGone reports that an upstream was removed from the membership.
type MemberGone struct{ ID string }

// ProfilesChanged replaces the profiles in force.
type ProfilesChanged struct{ Profiles Profiles }

// ReadinessChanged reports whether the profiles in force are confirmed.
type ReadinessChanged struct{ Ready bool }

func (RequestArrived) gateInput()   {}
func (ClaimResponse) gateInput()    {}
func (FirstByte) gateInput()        {}
func (AttemptEnded) gateInput()     {}
func (CallerGone) gateInput()       {}
func (MemberChanged) gateInput()    {}
func (MemberGone) gateInput()       {}
func (ProfilesChanged) gateInput()  {}
func (ReadinessChanged) gateInput() {}

// Output is an action that the daemon must perform.
type Output interface{ gateOutput() }

// OpenClaim claims the idempotency key of a request at the control replicas.
type OpenClaim struct {
	ID   string
	Open *pb.ClaimOpen
}

// CloseClaim records the response to a request under its idempotency key. With
// NotRun set, the key is released instead.
type CloseClaim struct {
	ID             string
	Caller         string
	IdempotencyKey string
	NotRun         bool
	Attempt        uint32
}

// Send starts an attempt at an upstream.
type Send struct {
	ID      string
	Attempt uint32
	Member  *pb.Member
	// TimeToDeadline is the time until the deadline; zero means none.
	TimeToDeadline time.Duration
	Profile        *pb.Profile
	// ResumeFrom is the number of tokens already relayed to the caller.
	ResumeFrom uint32
	// RetryReason is why the last failed attempt failed; REASON_NONE if none has.
	RetryReason pb.Reason
	// Hedge means that the previous attempt still runs.
	Hedge bool
}

// Abort cancels an attempt whose response is no longer needed.
type Abort struct {
	ID      string
	Attempt uint32
}

// Finish is the final outcome of a request.
type Finish struct {
	ID      string
	Outcome pb.Outcome
	Reason  pb.Reason
	// RetryAfter is the recommended delay before the caller retries; zero means
	// that none is known.
	RetryAfter time.Duration
	// Attempt is the number of the relayed attempt; zero means none.
	Attempt uint32
	// RecordedResult is the result recorded under the idempotency key, to be
	// relayed instead of an attempt; nil means none.
	RecordedResult *pb.ClaimResult
}

// InputDropped reports that an input was ignored, because it was late or its
// request ID is already in use. Attempt is zero if the input named none.
type InputDropped struct {
	ID      string
	Attempt uint32
}

func (OpenClaim) gateOutput()    {}
func (CloseClaim) gateOutput()   {}
func (Send) gateOutput()         {}
func (Abort) gateOutput()        {}
func (Finish) gateOutput()       {}
func (InputDropped) gateOutput() {}
