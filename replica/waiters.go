package replica

import (
	"sync"

	"github.com/briarcross/briarcross/pb"
)

// proposalOutcome is the outcome of a proposal.
type proposalOutcome struct {
	result *pb.CommandResult
	err    *pb.ControlError
}

type proposalWaiter struct {
	term    uint64
	outcome chan proposalOutcome
}

// waiters links proposals and reads with those who wait for them.
type waiters struct {
	lock   sync.Mutex
	nextID uint64
	// submitted holds proposals by ID until the core has answered.
	submitted map[uint64]chan proposalOutcome
	// appended holds proposals by index until they are applied.
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

// addProposal returns false after close.
func (w *waiters) addProposal() (uint64, chan proposalOutcome, bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.nextID++
	outcome := make(chan proposalOutcome, 1)
	w.submitted[w.nextID] = outcome
	return w.nextID, outcome, !w.closed
}

// addRead returns false after close.
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

// onApplied answers the proposal of an applied entry. An entry of another
// term has taken its place: the proposal is certainly lost.
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

// onSteppedDown answers the proposals that the old leader had not committed.
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

// onSnapshotInstalled answers the proposals that a snapshot has passed over.
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

// close answers everything that still waits.
func (w *waiters) close() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.closed = true
	for _, answer := range w.submitted {
		answer <- proposalOutcome{err: outcomeUnknownError("replica stopped")}
	}
	for _, waiter := range w.appended {
		waiter.outcome <- proposalOutcome{err: outcomeUnknownError("replica stopped")}
	}
	for _, answer := range w.reads {
		answer <- notLeaderError("replica stopped")
	}
	clear(w.submitted)
	clear(w.appended)
	clear(w.reads)
}
