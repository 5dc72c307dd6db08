package gate

import (
	"time"

	"github.com/briarcross/briarcross/admit"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/route"
)

// request is one row of the request table.
type request struct {
	Request
	profile  *pb.Profile
	deadline time.Time
	// claimed tells that the key is held for this request.
	claimed bool
	// attemptCount counts the sends; live holds those that run.
	attemptCount uint32
	liveAttempts []attempt
	// triedUpstreams upstreams are not triedUpstreams again until all were.
	triedUpstreams []*route.Upstream
	// winner is the attempt whose answer is relayed, zero before the first byte.
	winner uint32
	// relayed tells that the caller got a part of an earlier attempt.
	relayed bool
	// previousMayHaveRun tells that an engine may have seen an earlier attempt.
	previousMayHaveRun bool
	resumeFrom         uint32
	// failureReason and retryAfter come from the last attempt that failed.
	failureReason pb.Reason
	retryAfter    time.Duration
}

// attempt is one send of a request.
type attempt struct {
	number   uint32
	upstream *route.Upstream
}

func (r *request) callerKey() admit.Key {
	return admit.Key{Service: r.Service, Caller: r.Caller}
}

// liveIndex returns the position of a live attempt, or -1.
func (r *request) liveIndex(number uint32) int {
	for i := range r.liveAttempts {
		if r.liveAttempts[i].number == number {
			return i
		}
	}
	return -1
}

// mayHaveRun tells that an engine may have seen the request.
func (r *request) mayHaveRun() bool {
	return r.previousMayHaveRun || len(r.liveAttempts) > 0
}

// canRetry tells that another attempt keeps the promises to the caller.
func (r *request) canRetry() bool {
	if r.relayed {
		return r.Idempotent && r.Resumable && r.resumeFrom > 0
	}
	return !r.previousMayHaveRun || r.Idempotent
}

// failedOutcome is the outcome of a request that is given up.
func (r *request) failedOutcome() pb.Outcome {
	if r.mayHaveRun() {
		return pb.Outcome_OUTCOME_UNKNOWN
	}
	return pb.Outcome_OUTCOME_NOT_RUN
}
