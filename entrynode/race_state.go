package entrynode

// attemptState is the state of one of the attempts of a race.
type attemptState int

const (
	// attemptAbsent means that the attempt has not started.
	attemptAbsent attemptState = iota
	// attemptRunning means that the attempt has had no complete event.
	attemptRunning
	// attemptWon means that the response of the attempt is relayed.
	attemptWon
	// attemptFailed means that the attempt ended without a response to relay.
	attemptFailed
	// attemptCancelled means that the attempt was cancelled. Its response is discarded.
	attemptCancelled
)

// raceDecision is what follows from the end of an attempt's wait for its first event.
type raceDecision int

const (
	// raceContinues means that the other attempt still runs.
	raceContinues raceDecision = iota
	// raceWon means that the response of this attempt is relayed.
	raceWon
	// raceFailed means that no attempt is left, and that the failure of this one is that
	// of the race.
	raceFailed
)

// raceState decides a race of up to two attempts of one request: the first attempt and its
// hedge. The zero value has no attempts.
type raceState struct {
	attempts [2]attemptState
}

// start records that an attempt, 0 or 1, has been sent.
func (r *raceState) start(attempt int) { r.attempts[attempt] = attemptRunning }

// mayHedge reports whether the first attempt is the only one.
func (r *raceState) mayHedge() bool {
	return r.attempts[0] == attemptRunning && r.attempts[1] == attemptAbsent
}

// running reports whether an attempt has had no complete event and was not cancelled.
func (r *raceState) running(attempt int) bool { return r.attempts[attempt] == attemptRunning }

// respond records that a running attempt has its first complete event, or has failed
// before. It reports whether the other attempt has to be cancelled. What a cancelled
// attempt still has is ignored.
func (r *raceState) respond(attempt int, firstEvent bool) (decision raceDecision, cancelOther bool) {
	other := 1 - attempt
	switch {
	case !r.running(attempt):
		return raceContinues, false
	case firstEvent:
		r.attempts[attempt] = attemptWon
		return raceWon, r.cancel(other)
	case r.running(other):
		r.attempts[attempt] = attemptFailed
		return raceContinues, false
	}
	r.attempts[attempt] = attemptFailed
	return raceFailed, false
}

// limitOver records that the race has taken as long as it may. It reports whether the
// first attempt has to be cancelled: the second one has lost less time since it began.
func (r *raceState) limitOver() bool { return r.running(1) && r.cancel(0) }

// cancel records that an attempt is cancelled, if it is running.
func (r *raceState) cancel(attempt int) bool {
	if !r.running(attempt) {
		return false
	}
	r.attempts[attempt] = attemptCancelled
	return true
}
