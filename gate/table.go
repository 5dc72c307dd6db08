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
	// attempts counts the sends; live holds those that run.
	attempts uint32
	live     []attempt
	// tried upstreams are not tried again until all were.
	tried []*route.Upstream
	// winner is the attempt whose answer is relayed, zero before the first byte.
	winner uint32
	// relayed tells that the caller got a part of an earlier attempt.
	relayed bool
	// ran tells that an engine may have seen an earlier attempt.
	ran        bool
	resumeFrom uint32
	// cause and retryAfter come from the last attempt that failed.
	cause      pb.Reason
	retryAfter time.Duration
}

// attempt is one send of a request.
type attempt struct {
	number   uint32
	upstream *route.Upstream
}

func (r *request) callerKey() admit.CallerKey {
	return admit.CallerKey{Service: r.Service, Caller: r.Caller}
}

// find returns the position of a live attempt, or -1.
func (r *request) find(number uint32) int {
	for i := range r.live {
		if r.live[i].number == number {
			return i
		}
	}
	return -1
}

// mayRun tells that an engine may have seen the request.
func (r *request) mayRun() bool {
	return r.ran || len(r.live) > 0
}

// mayRepeat tells that another attempt keeps the promises to the caller.
func (r *request) mayRepeat() bool {
	if r.relayed {
		return r.Idempotent && r.Resumable && r.resumeFrom > 0
	}
	return !r.ran || r.Idempotent
}

// failedOutcome is the outcome of a request that is given up.
func (r *request) failedOutcome() pb.Outcome {
	if r.mayRun() {
		return pb.Outcome_OUTCOME_UNKNOWN
	}
	return pb.Outcome_OUTCOME_NOT_RUN
}
