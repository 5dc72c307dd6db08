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

	// MinRequestInterval is the least time between two requests.
	MinRequestInterval time.Duration
	// ResultDelay is how long a result waits for others to share a request.
	ResultDelay time.Duration
	// ResendAfter is when a result that is not settled is sent again.
	ResendAfter time.Duration
	// RequestTimeout is when a request without an answer counts as failed.
	RequestTimeout time.Duration
}

const (
	defaultMinRequestInterval = 50 * time.Millisecond
	defaultResultDelay        = 100 * time.Millisecond
	defaultResendAfter        = 3 * time.Second
	defaultRequestTimeout     = 8 * time.Second

	requestRetryBase = 100 * time.Millisecond
	requestRetryMax  = 2 * time.Second
	// renewalsPerLease is how often a lease is renewed during its time.
	renewalsPerLease = 4
	// maxRequestBytes bounds the result bodies of one request.
	maxRequestBytes = 1 << 20
	// maxUnsettled is how many unsettled results stop the pulling.
	maxUnsettled = 4096
)

// WorkerInput is an input of a Worker.
type WorkerInput interface{ workerInput() }

// FreeCapacity tells how many more items the sidecar can take now, besides those that
// it was given.
type FreeCapacity struct{ Items int }

// ResponseReceived is the leader's answer to the outstanding Ask.
type ResponseReceived struct{ Message *pb.LeaseResponse }

// RequestFailed tells that the outstanding Ask has no answer.
type RequestFailed struct{}

// ItemFinished is the outcome of an item. The sidecar sets ITEM_DONE for an
// answer, ITEM_FAILED for a refusal that another run would repeat, ITEM_RETRY
// for a failure that it may not, ITEM_NOT_RUN when certainly no engine has seen
// the item, and ITEM_YIELDED when an idempotent item was stopped to make room.
type ItemFinished struct {
	Ref    LeaseRef
	Result *pb.ItemResult
}

// Drain makes the worker take no more items.
type Drain struct{}

// Undrain makes a draining worker take items again.
type Undrain struct{}

// SetServices replaces the services that the worker pulls for.
type SetServices struct{ Services []string }

func (FreeCapacity) workerInput()     {}
func (ResponseReceived) workerInput() {}
func (RequestFailed) workerInput()    {}
func (ItemFinished) workerInput()     {}
func (Drain) workerInput()            {}
func (Undrain) workerInput()          {}
func (SetServices) workerInput()      {}

// WorkerOutput is an output of a Worker.
type WorkerOutput interface{ workerOutput() }

// SendRequest is a request for the leader. At most one is outstanding; it ends with a
// Response, a RequestFailed or the worker's own timeout.
type SendRequest struct{ Message *pb.LeaseRequest }

// RunItem gives an item to the sidecar, which answers with Finished.
type RunItem struct{ Item *pb.LeasedItem }

// StopItem ends a run whose lease ended. Its Finished is not needed.
type StopItem struct{ Ref LeaseRef }

// Drained tells once that a draining worker holds nothing any more.
type Drained struct{}

func (SendRequest) workerOutput() {}
func (RunItem) workerOutput()     {}
func (StopItem) workerOutput()    {}
func (Drained) workerOutput()     {}

// WorkerStats counts what a worker did.
type WorkerStats struct {
	Requests       uint64
	RequestsFailed uint64
	ItemsRun       uint64
	ItemsStopped   uint64
	ItemsExpired   uint64
	ResultsSent    uint64
	ResultsResent  uint64
	ResultsSettled uint64
}

// heldItem is an item that the sidecar runs.
type heldItem struct {
	ref        LeaseRef
	idempotent bool
	customID   string
}

// unsettledResult is a result that the leader has not settled.
type unsettledResult struct {
	ref     LeaseRef
	result  *pb.ItemResult
	addedAt time.Time
	sent    bool
	sentAt  time.Time
}

// Worker is a sidecar's core of batch work.
type Worker struct {
	options WorkerOptions
	out     core.Outbox[WorkerOutput]
	random  *rand.Rand
	stats   WorkerStats

	freeCapacity    int
	services        []string
	draining        bool
	drainedReported bool

	held      orderedTable[*heldItem]
	unsettled orderedTable[*unsettledResult]

	requestSequence    uint64
	term               uint64
	requestOutstanding bool
	requestSentAt      time.Time
	nextPullAt         time.Time
	retryAt            time.Time
	failedRequests     int
	leaseTime          time.Duration
	leasesExpireAt     time.Time
	requestNow         bool
}

// NewWorker returns a worker that holds nothing.
func NewWorker(o WorkerOptions) *Worker {
	setDefault(&o.MinRequestInterval, defaultMinRequestInterval)
	setDefault(&o.ResultDelay, defaultResultDelay)
	setDefault(&o.ResendAfter, defaultResendAfter)
	setDefault(&o.RequestTimeout, defaultRequestTimeout)
	return &Worker{
		options:    o,
		random:     core.NewRand(o.Seed),
		services:   append([]string(nil), o.Services...),
		held:       newOrderedTable[*heldItem](),
		unsettled:  newOrderedTable[*unsettledResult](),
		leaseTime:  defaultLeaseTime,
		requestNow: true,
	}
}

// Stats returns the counters since the start.
func (w *Worker) Stats() WorkerStats {
	return w.stats
}

// Step implements core.Core.
func (w *Worker) Step(now time.Time, in WorkerInput) {
	switch in := in.(type) {
	case FreeCapacity:
		w.freeCapacity = in.Items
	case ResponseReceived:
		w.stepResponseReceived(now, in.Message)
	case RequestFailed:
		w.handleRequestFailure(now)
	case ItemFinished:
		w.stepItemFinished(now, in)
	case Drain:
		w.requestNow = w.requestNow || !w.draining
		w.draining = true
	case Undrain:
		w.requestNow = w.requestNow || w.draining
		w.draining = false
		w.drainedReported = false
	case SetServices:
		w.services = append([]string(nil), in.Services...)
		w.requestNow = true
	}
	w.emitDue(now)
}

// Tick implements core.Core.
func (w *Worker) Tick(now time.Time) {
	if w.requestOutstanding && now.Sub(w.requestSentAt) >= w.options.RequestTimeout {
		w.handleRequestFailure(now)
	}
	w.expireLeases(now)
	w.emitDue(now)
}

// Drain implements core.Core.
func (w *Worker) Drain() []WorkerOutput {
	return w.out.Drain()
}

// HeldItems returns how many items the worker holds.
func (w *Worker) HeldItems() int {
	return w.held.len()
}

// UnsettledResults returns how many results are not settled.
func (w *Worker) UnsettledResults() int {
	return w.unsettled.len()
}

func (w *Worker) emitDue(now time.Time) {
	if w.requestDue(now) {
		w.sendRequest(now)
	}
	if w.draining && !w.drainedReported && w.held.len() == 0 && w.unsettled.len() == 0 {
		w.drainedReported = true
		w.out.Put(Drained{})
	}
}

// stepItemFinished turns a held item into a result.
func (w *Worker) stepItemFinished(now time.Time, in ItemFinished) {
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
	w.unsettled.set(item.ref, &unsettledResult{ref: item.ref, result: result, addedAt: now})
}

// expireLeases stops everything when no renewal has succeeded within the
// lease time, so that nothing runs on for a job that was cancelled meanwhile.
func (w *Worker) expireLeases(now time.Time) {
	if w.held.len() == 0 || now.Before(w.leasesExpireAt) {
		return
	}
	for _, item := range w.held.values() {
		w.stats.ItemsExpired++
		w.out.Put(StopItem{item.ref})
		w.held.remove(item.ref)
		if !item.idempotent {
			w.addResult(now, item, unknownOf(item.ref))
		}
	}
}
