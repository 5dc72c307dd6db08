package gate

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

// Request is what a caller asks for.
type Request struct {
	ID         string
	Caller     string
	Service    string
	Idempotent bool
	// IdempotencyKey is the caller's idempotency key; empty when there is none.
	IdempotencyKey string
	Digest         []byte
	// PrefixHashes holds the hashes of the prompt's leading blocks.
	PrefixHashes []uint64
	PromptTokens int
	MaxTokens    int
	// Deadline ends the request; zero takes the due time of the profile.
	Deadline time.Time
	// Plain requests go to plain services, which stream no tokens.
	Plain bool
	// Resumable tells that a cut answer can go on at its position.
	Resumable bool
}

// Profiles gives the profiles in force.
type Profiles interface {
	// ProfileOf returns a service with its profiles; batch may be nil.
	ProfileOf(service string) (svc *pb.Service, online, batch *pb.Profile, ok bool)
}

// Input is what a shell reports to the core.
type Input interface{ gateInput() }

// RequestArrived brings a request.
type RequestArrived struct{ Request Request }

// ClaimResponse is the answer to a Claim; one of Result and Err is set.
type ClaimResponse struct {
	ID     string
	Result *pb.ClaimResult
	Err    *pb.ControlError
}

// FirstByte reports that an attempt has its first byte for the caller. The
// shell relays it when the Drain after it holds no Dropped for the attempt.
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
	// Relayed tells that the caller got a part of the answer.
	Relayed bool
	// RelayedTokens that the caller got from all attempts so far.
	RelayedTokens uint32
	// RetryAfter is what the sidecar asks for; zero when it asks for nothing.
	RetryAfter time.Duration
}

// CallerGone reports that the caller's connection is closed.
type CallerGone struct{ ID string }

// MemberChanged announces an upstream.
type MemberChanged struct{ Member *pb.Member }

// MemberGone tells that an upstream is no longer heard of.
type MemberGone struct{ ID string }

// ProfilesChanged puts profiles in force.
type ProfilesChanged struct{ Profiles Profiles }

// ReadinessChanged tells whether the profiles in force are confirmed.
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

// Output is what the core wants done.
type Output interface{ gateOutput() }

// OpenClaim asks the control replicas for the key of a request.
type OpenClaim struct {
	ID   string
	Open *pb.ClaimOpen
}

// CloseClaim records the answer of a request under its key. With NotRun set the
// key is released instead.
type CloseClaim struct {
	ID             string
	Caller         string
	IdempotencyKey string
	NotRun         bool
	Attempt        uint32
}

// Send opens an attempt.
type Send struct {
	ID      string
	Attempt uint32
	Member  *pb.Member
	// Remaining is the time until the deadline; zero means none.
	Remaining time.Duration
	Profile   *pb.Profile
	// ResumeFrom is the number of tokens that the caller has already.
	ResumeFrom uint32
	// RetryReason is why the attempt before failed; none for a first attempt.
	RetryReason pb.Reason
	// Hedge tells that the attempt before still runs.
	Hedge bool
}

// Abort ends an attempt whose answer is not wanted.
type Abort struct {
	ID      string
	Attempt uint32
}

// Finish is the final answer to a request.
type Finish struct {
	ID      string
	Outcome pb.Outcome
	Reason  pb.Reason
	// RetryAfter is the earliest sensible time to try again; zero means none is
	// known.
	RetryAfter time.Duration
	// Attempt is the one that was relayed, zero when none was.
	Attempt uint32
	// RecordedResult is a recorded answer to relay.
	RecordedResult *pb.ClaimResult
}

// InputDropped tells that a late or crossed report was ignored.
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
