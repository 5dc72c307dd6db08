package transport

import "sync"

// activity holds the streams of a session that are being read or written. While a session closes,
// yamux polls the state of such a stream in a loop without a pause, and with one processor, what
// would end the loop may not get to run. So they are interrupted before.
type activity struct {
	mu     sync.Mutex
	calls  map[*Stream]int
	closed bool
}

func newActivity() *activity { return &activity{calls: make(map[*Stream]int)} }

// begin records a read or write of a stream. After close, it interrupts the stream.
func (a *activity) begin(s *Stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls[s]++
	if a.closed {
		s.interrupt()
	}
}

func (a *activity) end(s *Stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.calls[s]--; a.calls[s] == 0 {
		delete(a.calls, s)
	}
}

// close interrupts all reads and writes. The connection of the session calls it when yamux closes
// it, which is after yamux has marked the session as closed, and before it waits for anything.
func (a *activity) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for s := range a.calls {
		s.interrupt()
	}
}
