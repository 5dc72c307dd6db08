package batch

import (
	"math/rand/v2"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

// WorkerOptions sets up a Worker. Zero durations take the defaults.
type WorkerOptions struct {
	ID string
	// Incarnation grows with each start of the sidecar.
	Incarnation uint64
	Services    []string
	DataCentre  string
	Seed        uint64

	// AskInterval is the least time between two requests.
	AskInterval time.Duration
	// ResultDelay is how long a result waits for others to share a request.
	ResultDelay time.Duration
	// ResendAfter is when a result that is not settled is sent again.
	ResendAfter time.Duration
	// AskTimeout is when a request without an answer counts as failed.
	AskTimeout time.Duration
}

const (
	defaultAskInterval = 50 * time.Millisecond
	defaultResultDelay = 100 * time.Millisecond
	defaultResendAfter = 3 * time.Second
	defaultAskTimeout  = 8 * time.Second

	askRetryBase = 100 * time.Millisecond
	askRetryMax  = 2 * time.Second
	// renewalsPerLease is how often a lease is renewed during its time.
	renewalsPerLease = 4
	// maxAskBytes bounds the result bodies of one request.
	maxAskBytes = 1 << 20
	// maxUnsettled is how many unsettled results stop the pulling.
	maxUnsettled = 4096
)

// WorkerInput is an input of a Worker.
type WorkerInput interface{ workerInput() }

// Room tells how many more items the sidecar can take now, besides those that
// it was given.
type Room struct{ Items int }

// Response is the leader's answer to the outstanding Ask.
type Response struct{ Message *pb.LeaseResponse }

// RequestFailed tells that the outstanding Ask has no answer.
type RequestFailed struct{}

// Finished is the outcome of an item. The sidecar sets ITEM_DONE for an
// answer, ITEM_FAILED for a refusal that another run would repeat, ITEM_RETRY
// for a failure that it may not, ITEM_NOT_RUN when certainly no engine has seen
// the item, and ITEM_YIELDED when an idempotent item was stopped to make room.
type Finished struct {
	Ref    ItemRef
	Result *pb.ItemResult
}

// Drain makes the worker take no more items.
type Drain struct{}

// Undrain makes a draining worker take items again.
type Undrain struct{}

// SetServices replaces the services that the worker pulls for.
type SetServices struct{ Services []string }

func (Room) workerInput()          {}
func (Response) workerInput()      {}
func (RequestFailed) workerInput() {}
func (Finished) workerInput()      {}
func (Drain) workerInput()         {}
func (Undrain) workerInput()       {}
func (SetServices) workerInput()   {}

// WorkerOutput is an output of a Worker.
type WorkerOutput interface{ workerOutput() }

// Ask is a request for the leader. At most one is outstanding; it ends with a
// Response, a RequestFailed or the worker's own timeout.
type Ask struct{ Message *pb.LeaseRequest }

// Run gives an item to the sidecar, which answers with Finished.
type Run struct{ Item *pb.LeasedItem }

// Stop ends a run whose lease ended. Its Finished is not needed.
type Stop struct{ Ref ItemRef }

// Drained tells once that a draining worker holds nothing any more.
type Drained struct{}

func (Ask) workerOutput()     {}
func (Run) workerOutput()     {}
func (Stop) workerOutput()    {}
func (Drained) workerOutput() {}

// WorkerStats counts what a worker did.
type WorkerStats struct {
	Asks           uint64
	AsksFailed     uint64
	ItemsRun       uint64
	ItemsStopped   uint64
	ItemsExpired   uint64
	ResultsSent    uint64
	ResultsResent  uint64
	ResultsSettled uint64
}

// heldItem is an item that the sidecar runs.
type heldItem struct {
	ref        ItemRef
	idempotent bool
	customID   string
}

// unsettledResult is a result that the leader has not settled.
type unsettledResult struct {
	ref    ItemRef
	result *pb.ItemResult
	at     time.Time
	sent   bool
	sentAt time.Time
}

// Worker is a sidecar's core of batch work.
type Worker struct {
	options WorkerOptions
	out     core.Outbox[WorkerOutput]
	rand    *rand.Rand
	stats   WorkerStats

	room     int
	services []string
	draining bool
	drained  bool

	held      orderedMap[*heldItem]
	unsettled orderedMap[*unsettledResult]

	sequence    uint64
	term        uint64
	outstanding bool
	askedAt     time.Time
	nextPull    time.Time
	retryAt     time.Time
	failures    int
	leaseTime   time.Duration
	leaseUntil  time.Time
	changed     bool
}

// NewWorker returns a worker that holds nothing.
func NewWorker(o WorkerOptions) *Worker {
	setDefaultIfZero(&o.AskInterval, defaultAskInterval)
	setDefaultIfZero(&o.ResultDelay, defaultResultDelay)
	setDefaultIfZero(&o.ResendAfter, defaultResendAfter)
	setDefaultIfZero(&o.AskTimeout, defaultAskTimeout)
	return &Worker{
		options:   o,
		rand:      core.NewRand(o.Seed),
		services:  append([]string(nil), o.Services...),
		held:      newOrderedMap[*heldItem](),
		unsettled: newOrderedMap[*unsettledResult](),
		leaseTime: defaultLeaseTime,
		changed:   true,
	}
}

// Stats returns the counters since the start.
func (w *Worker) Stats() WorkerStats {
	return w.stats
}

// Step implements core.Core.
func (w *Worker) Step(now time.Time, in WorkerInput) {
	switch in := in.(type) {
	case Room:
		w.room = in.Items
	case Response:
		w.stepResponse(now, in.Message)
	case RequestFailed:
		w.askFailed(now)
	case Finished:
		w.stepFinished(now, in)
	case Drain:
		w.changed = w.changed || !w.draining
		w.draining = true
	case Undrain:
		w.changed = w.changed || w.draining
		w.draining = false
		w.drained = false
	case SetServices:
		w.services = append([]string(nil), in.Services...)
		w.changed = true
	}
	w.advance(now)
}

// Tick implements core.Core.
func (w *Worker) Tick(now time.Time) {
	if w.outstanding && now.Sub(w.askedAt) >= w.options.AskTimeout {
		w.askFailed(now)
	}
	w.expireLeases(now)
	w.advance(now)
}

// Drain implements core.Core.
func (w *Worker) Drain() []WorkerOutput {
	return w.out.Drain()
}

// Held returns how many items the worker holds.
func (w *Worker) Held() int {
	return w.held.len()
}

// Unsettled returns how many results are not settled.
func (w *Worker) Unsettled() int {
	return w.unsettled.len()
}

func (w *Worker) advance(now time.Time) {
	if w.mustAsk(now) {
		w.ask(now)
	}
	if w.draining && !w.drained && w.held.len() == 0 && w.unsettled.len() == 0 {
		w.drained = true
		w.out.Put(Drained{})
	}
}

// stepFinished turns a held item into a result.
func (w *Worker) stepFinished(now time.Time, in Finished) {
	item, ok := w.held.get(in.Ref)
	if !ok {
		return
	}
	w.held.remove(in.Ref)
	w.addResult(now, item, in.Result)
}

func (w *Worker) addResult(now time.Time, item *heldItem, result *pb.ItemResult) {
	result.JobId = item.ref.JobID
	result.Index = item.ref.Index
	result.FencingNumber = item.ref.FencingNumber
	result.CustomId = item.customID
	w.unsettled.set(item.ref, &unsettledResult{ref: item.ref, result: result, at: now})
}

// expireLeases stops everything when no renewal has succeeded within the
// lease time, so that nothing runs on for a job that was cancelled meanwhile.
func (w *Worker) expireLeases(now time.Time) {
	if w.held.len() == 0 || now.Before(w.leaseUntil) {
		return
	}
	for _, item := range w.held.values() {
		w.stats.ItemsExpired++
		w.out.Put(Stop{item.ref})
		w.held.remove(item.ref)
		if !item.idempotent {
			w.addResult(now, item, unknownOutcomeResult(item.ref))
		}
	}
}
