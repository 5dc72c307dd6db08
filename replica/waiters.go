package replica

import (
	"sync"

	"github.com/briarcross/briarcross/pb"
)

// proposalAnswer is the outcome of a proposal.
type proposalAnswer struct {
	result *pb.CommandResult
	err    *pb.ControlError
}

type proposalWaiter struct {
	term   uint64
	answer chan proposalAnswer
}

// waiters links proposals and reads with those who wait for them.
type waiters struct {
	lock   sync.Mutex
	nextID uint64
	// proposed holds proposals by ID until the core has answered.
	proposed map[uint64]chan proposalAnswer
	// appended holds proposals by index until they are applied.
	appended map[uint64]proposalWaiter
	reads    map[uint64]chan *pb.ControlError
	closed   bool
}

func newWaiters() *waiters {
	return &waiters{
		proposed: make(map[uint64]chan proposalAnswer),
		appended: make(map[uint64]proposalWaiter),
		reads:    make(map[uint64]chan *pb.ControlError),
	}
}

func unknown(reason string) *pb.ControlError {
	return &pb.ControlError{Code: pb.ControlError_UNKNOWN, Reason: reason}
}

func notLeader(reason string) *pb.ControlError {
	return &pb.ControlError{Code: pb.ControlError_NOT_LEADER, Reason: reason}
}

// addProposal returns false after close.
func (w *waiters) addProposal() (uint64, chan proposalAnswer, bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.nextID++
	answer := make(chan proposalAnswer, 1)
	w.proposed[w.nextID] = answer
	return w.nextID, answer, !w.closed
}

// addRead returns false after close.
func (w *waiters) addRead() (uint64, chan *pb.ControlError, bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.nextID++
	answer := make(chan *pb.ControlError, 1)
	w.reads[w.nextID] = answer
	return w.nextID, answer, !w.closed
}

func (w *waiters) onProposed(id, index, term uint64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	answer, ok := w.proposed[id]
	if !ok {
		return
	}
	delete(w.proposed, id)
	w.appended[index] = proposalWaiter{term, answer}
}

func (w *waiters) onRefused(id uint64, err *pb.ControlError) {
	w.lock.Lock()
	defer w.lock.Unlock()
	answer, ok := w.proposed[id]
	if !ok {
		return
	}
	delete(w.proposed, id)
	answer <- proposalAnswer{err: err}
}

func (w *waiters) onRead(id uint64, err *pb.ControlError) {
	w.lock.Lock()
	defer w.lock.Unlock()
	answer, ok := w.reads[id]
	if !ok {
		return
	}
	delete(w.reads, id)
	answer <- err
}

// onApplied answers the proposal of an applied entry. An entry of another
// term has taken its place: the proposal is certainly lost.
func (w *waiters) onApplied(applied appliedCommand) {
	w.lock.Lock()
	defer w.lock.Unlock()
	waiter, ok := w.appended[applied.index]
	if !ok {
		return
	}
	delete(w.appended, applied.index)
	if waiter.term != applied.term {
		waiter.answer <- proposalAnswer{err: notLeader("another leader replaced the entry")}
		return
	}
	waiter.answer <- proposalAnswer{result: applied.result}
}

// onDeposed answers the proposals that the old leader had not committed.
func (w *waiters) onDeposed(commit uint64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for index, waiter := range w.appended {
		if index > commit {
			delete(w.appended, index)
			waiter.answer <- proposalAnswer{err: unknown("leadership lost before the commit")}
		}
	}
}

// onInstalled answers the proposals that a snapshot has passed over.
func (w *waiters) onInstalled(index uint64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for at, waiter := range w.appended {
		if at <= index {
			delete(w.appended, at)
			waiter.answer <- proposalAnswer{err: unknown("a snapshot replaced the log")}
		}
	}
}

func (w *waiters) pending() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return len(w.proposed) + len(w.appended)
}

// close answers everything that still waits.
func (w *waiters) close() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.closed = true
	for _, answer := range w.proposed {
		answer <- proposalAnswer{err: unknown("replica stopped")}
	}
	for _, waiter := range w.appended {
		waiter.answer <- proposalAnswer{err: unknown("replica stopped")}
	}
	for _, answer := range w.reads {
		answer <- notLeader("replica stopped")
	}
	clear(w.proposed)
	clear(w.appended)
	clear(w.reads)
}
