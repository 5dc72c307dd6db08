package batch

import (
	"sort"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// workerState is what the leader knows about a sidecar that pulls items.
type workerState struct {
	id          string
	incarnation uint64
	// sequence is that of the worker's latest request.
	sequence uint64
	services []string
	draining bool
	leases   []*lease
	// pending is the request without a response, if any.
	pending *pendingRequest
	// revoked and settled are sent with the next response.
	revoked []LeaseRef
	settled []LeaseRef

	// countedFailures are the items whose failures count against the worker.
	// successRate is a moving average of its run outcomes, from 0 to 1.
	countedFailures []itemKey
	successRate     float64
	// pauseLevel counts consecutive pauses, each twice as long as the one before.
	pauseLevel  int
	pausedUntil time.Time
	// cooldownUntil keeps a worker that returned items without a result from
	// getting them again at once.
	cooldownUntil time.Time
}

// pendingRequest is a lease request that the leader has not responded to.
type pendingRequest struct {
	token    uint64
	sequence uint64
	// freeCapacity is the number of further items that the worker can take.
	freeCapacity int
	// claims counts the pending claims that the response waits for.
	claims int
	items  []*pb.LeasedItem
}

// workerTable holds the workers by ID. The slice sorted lists them in ascending
// order of their IDs; countByService is the number of workers of each service.
type workerTable struct {
	byID           map[string]*workerState
	sorted         []*workerState
	countByService map[string]int
}

func newWorkerTable() workerTable {
	return workerTable{
		byID:           make(map[string]*workerState),
		countByService: make(map[string]int),
	}
}

func (t *workerTable) add(id string, incarnation uint64) *workerState {
	w := &workerState{id: id, incarnation: incarnation, successRate: initialSuccessRate}
	t.byID[id] = w
	position := sort.Search(len(t.sorted), func(i int) bool { return t.sorted[i].id > id })
	t.sorted = append(t.sorted, nil)
	copy(t.sorted[position+1:], t.sorted[position:])
	t.sorted[position] = w
	return w
}

func (t *workerTable) remove(w *workerState) {
	t.setServices(w, nil)
	delete(t.byID, w.id)
	for i, other := range t.sorted {
		if other == w {
			t.sorted = append(t.sorted[:i], t.sorted[i+1:]...)
			return
		}
	}
}

// setServices replaces the services that a worker serves.
func (t *workerTable) setServices(w *workerState, services []string) {
	for _, service := range w.services {
		t.countByService[service]--
		if t.countByService[service] == 0 {
			delete(t.countByService, service)
		}
	}
	w.services = append([]string(nil), services...)
	for _, service := range w.services {
		t.countByService[service]++
	}
}

func (w *workerState) serves(service string) bool {
	for _, known := range w.services {
		if known == service {
			return true
		}
	}
	return false
}

func (w *workerState) removeLease(l *lease) {
	for i, known := range w.leases {
		if known == l {
			w.leases = append(w.leases[:i], w.leases[i+1:]...)
			return
		}
	}
}

func (w *workerState) queueRevoked(ref LeaseRef) {
	w.revoked = append(w.revoked, ref)
}

func (w *workerState) queueSettled(ref LeaseRef) {
	w.settled = append(w.settled, ref)
}

// countFailure counts the failure of an item against the worker.
func (w *workerState) countFailure(key itemKey) {
	const maxCountedFailures = 64
	for _, known := range w.countedFailures {
		if known == key {
			return
		}
	}
	if len(w.countedFailures) < maxCountedFailures {
		w.countedFailures = append(w.countedFailures, key)
	}
}

// dropFailure stops counting the failure of an item against the worker.
func (w *workerState) dropFailure(key itemKey) {
	for i, known := range w.countedFailures {
		if known == key {
			w.countedFailures = append(w.countedFailures[:i], w.countedFailures[i+1:]...)
			return
		}
	}
}

// dropOldestFailure drops one counted failure after a success.
func (w *workerState) dropOldestFailure() {
	if len(w.countedFailures) > 0 {
		w.countedFailures = w.countedFailures[1:]
	}
}
