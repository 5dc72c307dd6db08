package replica

import (
	"sync"

	"github.com/briarcross/briarcross/pb"
)

// proposalOutcome holds the result of an applied command, or an error.
type proposalOutcome struct {
	result *pb.CommandResult
	err    *pb.ControlError
}

type proposalWaiter struct {
	term    uint64
	outcome chan proposalOutcome
}

// waiters holds the channels on which callers wait for proposals and reads.
type waiters struct {
	lock   sync.Mutex
	nextID uint64
	// submitted holds proposals by ID until the core appends or refuses them.
	submitted map[uint64]chan proposalOutcome
	// appended holds proposals by log index until their outcome is known.
	appended map[uint64]proposalWaiter
	reads    map[uint64]chan *pb.ControlError
	closed   bool
}

func newWaiters() *waiters {
	return &waiters{
		submitted: make(map[uint64]chan proposalOutcome),
		appended:  make(map[uint64]proposalWaiter),
		reads:     make(map[uint64]chan *pb.ControlError),
	}
}

func outcomeUnknownError(reason string) *pb.ControlError {
	return &pb.ControlError{Code: pb.ControlError_UNKNOWN, Reason: reason}
}

func notLeaderError(reason string) *pb.ControlError {
	return &pb.ControlError{Code: pb.ControlError_NOT_LEADER, Reason: reason}
}

// addProposal registers a proposal. It returns false after close.
func (w *waiters) addProposal() (uint64, chan proposalOutcome, bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.nextID++
	outcome := make(chan proposalOutcome, 1)
	w.submitted[w.nextID] = outcome
	return w.nextID, outcome, !w.closed
}

// addRead registers a read. It returns false after close.
func (w *waiters) addRead() (uint64, chan *pb.ControlError, bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.nextID++
	outcome := make(chan *pb.ControlError, 1)
	w.reads[w.nextID] = outcome
	return w.nextID, outcome, !w.closed
}

func (w *waiters) onAppended(id, index, term uint64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	outcome, ok := w.submitted[id]
	if !ok {
		return
	}
	delete(w.submitted, id)
	w.appended[index] = proposalWaiter{term, outcome}
}

func (w *waiters) onRefused(id uint64, err *pb.ControlError) {
	w.lock.Lock()
	defer w.lock.Unlock()
	outcome, ok := w.submitted[id]
	if !ok {
		return
	}
	delete(w.submitted, id)
	outcome <- proposalOutcome{err: err}
}

func (w *waiters) onReadDone(id uint64, err *pb.ControlError) {
	w.lock.Lock()
	defer w.lock.Unlock()
	outcome, ok := w.reads[id]
	if !ok {
		return
	}
	delete(w.reads, id)
	outcome <- err
}

// onApplied completes the proposal at the index of an applied entry. If the
// entry has another term, it replaced the proposal, which will never be applied.
func (w *waiters) onApplied(applied appliedEntry) {
	w.lock.Lock()
	defer w.lock.Unlock()
	waiter, ok := w.appended[applied.index]
	if !ok {
		return
	}
	delete(w.appended, applied.index)
	if waiter.term != applied.term {
		waiter.outcome <- proposalOutcome{err: notLeaderError("another leader replaced the entry")}
		return
	}
	waiter.outcome <- proposalOutcome{result: applied.result}
}

// onSteppedDown fails the proposals that this replica had not committed as
// leader; their outcome is unknown.
func (w *waiters) onSteppedDown(commitIndex uint64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for index, waiter := range w.appended {
		if index > commitIndex {
			delete(w.appended, index)
			waiter.outcome <- proposalOutcome{err: outcomeUnknownError("leadership lost before the commit")}
		}
	}
}

// onSnapshotInstalled fails the proposals at indexes that a snapshot covers;
// their outcome is unknown.
func (w *waiters) onSnapshotInstalled(snapshotIndex uint64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for entryIndex, waiter := range w.appended {
		if entryIndex <= snapshotIndex {
			delete(w.appended, entryIndex)
			waiter.outcome <- proposalOutcome{err: outcomeUnknownError("a snapshot replaced the log")}
		}
	}
}

func (w *waiters) pendingProposals() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return len(w.submitted) + len(w.appended)
}

// close fails all pending proposals and reads.
func (w *waiters) close() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.closed = true
	for _, outcome := range w.submitted {
		outcome <- proposalOutcome{err: outcomeUnknownError("replica stopped")}
	}
	for _, waiter := range w.appended {
		waiter.outcome <- proposalOutcome{err: outcomeUnknownError("replica stopped")}
	}
	for _, outcome := range w.reads {
		outcome <- notLeaderError("replica stopped")
	}
	clear(w.submitted)
	clear(w.appended)
	clear(w.reads)
}
