package gate

import (
	"time"

	"github.com/briarcross/briarcross/admit"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/route"
)

// request is the state of an admitted, unfinished request.
type request struct {
	Request
	profile  *pb.Profile
	deadline time.Time
	// claimed is set if the idempotency key is, or may be, held for this request.
	claimed bool
	// attemptCount counts the attempts sent, liveAttempts holds the unfinished.
	attemptCount uint32
	liveAttempts []attempt
	// triedUpstreams are excluded from selection until a backoff has passed.
	triedUpstreams []*route.Upstream
	// winner is the number of the attempt whose response is relayed; zero before
	// the first byte.
	winner uint32
	// relayed is set once a part of a response was relayed to the caller.
	relayed bool
	// previousMayHaveRun is set if an engine may have seen an attempt that is no
	// longer live, or another request with the same key.
	previousMayHaveRun bool
	// resumeFrom is the number of tokens relayed when the last attempt failed.
	resumeFrom uint32
	// failureReason and retryAfter come from the last failed attempt.
	failureReason pb.Reason
	retryAfter    time.Duration
}

// attempt is a request sent to one upstream.
type attempt struct {
	number   uint32
	upstream *route.Upstream
}

func (r *request) callerKey() admit.CallerKey {
	return admit.CallerKey{Service: r.Service, Caller: r.Caller}
}

// liveIndex returns the index of an attempt in liveAttempts, or -1.
func (r *request) liveIndex(number uint32) int {
	for i := range r.liveAttempts {
		if r.liveAttempts[i].number == number {
			return i
		}
	}
	return -1
}

// mayHaveRun reports whether an engine may have seen the request.
func (r *request) mayHaveRun() bool {
	return r.previousMayHaveRun || len(r.liveAttempts) > 0
}

// canRetry reports whether another attempt can neither run a non-idempotent
// request twice nor relay a part of the response twice.
func (r *request) canRetry() bool {
	if r.relayed {
		return r.Idempotent && r.Resumable && r.resumeFrom > 0
	}
	return !r.previousMayHaveRun || r.Idempotent
}

// failedOutcome returns the outcome of a request that failed.
func (r *request) failedOutcome() pb.Outcome {
	if r.mayHaveRun() {
		return pb.Outcome_OUTCOME_UNKNOWN
	}
	return pb.Outcome_OUTCOME_NOT_RUN
}
