package batch

import (
	"sort"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// workerEntry is a sidecar that pulls items.
type workerEntry struct {
	id          string
	incarnation uint64
	sequence    uint64
	services    []string
	draining    bool
	leases      []*lease
	parked      *parkedRequest
	// revoked and settled wait for the next answer.
	revoked []LeaseRef
	settled []LeaseRef

	// suspects are recent items whose failure counts against the worker,
	// score is its share of recent successes.
	suspects    []itemKey
	score       float64
	pauseLevel  int
	pausedUntil time.Time
	// restUntil keeps a worker that gave items back from getting them again
	// at once.
	restUntil time.Time
}

// parkedRequest is a request that has not been answered.
type parkedRequest struct {
	token    uint64
	sequence uint64
	room     int
	// starts counts claims whose items this answer will carry.
	starts int
	items  []*pb.LeasedItem
}

// workerTable holds the workers in the order of their IDs.
type workerTable struct {
	byID    map[string]*workerEntry
	order   []*workerEntry
	serving map[string]int
}

func newWorkerTable() workerTable {
	return workerTable{
		byID:    make(map[string]*workerEntry),
		serving: make(map[string]int),
	}
}

func (t *workerTable) add(id string, incarnation uint64) *workerEntry {
	w := &workerEntry{id: id, incarnation: incarnation, score: startScore}
	t.byID[id] = w
	at := sort.Search(len(t.order), func(i int) bool { return t.order[i].id > id })
	t.order = append(t.order, nil)
	copy(t.order[at+1:], t.order[at:])
	t.order[at] = w
	return w
}

func (t *workerTable) remove(w *workerEntry) {
	t.setServices(w, nil)
	delete(t.byID, w.id)
	for i, other := range t.order {
		if other == w {
			t.order = append(t.order[:i], t.order[i+1:]...)
			return
		}
	}
}

// setServices records what a worker serves; a draining worker serves nothing.
func (t *workerTable) setServices(w *workerEntry, services []string) {
	for _, service := range w.services {
		t.serving[service]--
		if t.serving[service] == 0 {
			delete(t.serving, service)
		}
	}
	w.services = append([]string(nil), services...)
	for _, service := range w.services {
		t.serving[service]++
	}
}

func (w *workerEntry) serves(service string) bool {
	for _, known := range w.services {
		if known == service {
			return true
		}
	}
	return false
}

func (w *workerEntry) removeLease(l *lease) {
	for i, known := range w.leases {
		if known == l {
			w.leases = append(w.leases[:i], w.leases[i+1:]...)
			return
		}
	}
}

func (w *workerEntry) revoke(ref LeaseRef) {
	w.revoked = append(w.revoked, ref)
}

func (w *workerEntry) settle(ref LeaseRef) {
	w.settled = append(w.settled, ref)
}

func (w *workerEntry) suspect(key itemKey) {
	const maxSuspects = 64
	for _, known := range w.suspects {
		if known == key {
			return
		}
	}
	if len(w.suspects) < maxSuspects {
		w.suspects = append(w.suspects, key)
	}
}

// clearSuspect drops an item that failed elsewhere too.
func (w *workerEntry) clearSuspect(key itemKey) {
	for i, known := range w.suspects {
		if known == key {
			w.suspects = append(w.suspects[:i], w.suspects[i+1:]...)
			return
		}
	}
}

// clearOldest drops one suspicion after a success.
func (w *workerEntry) clearOldest() {
	if len(w.suspects) > 0 {
		w.suspects = w.suspects[1:]
	}
}
