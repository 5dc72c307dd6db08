package batch

import (
	"math/rand/v2"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

// WorkerOptions configures a Worker. Zero durations select the defaults.
type WorkerOptions struct {
	ID string
	// Incarnation increases with each start of the sidecar.
	Incarnation uint64
	// Services are the services whose items the worker pulls.
	Services   []string
	DataCentre string
	// Seed seeds the jitter of retries.
	Seed uint64

	// MinRequestInterval is the least time between two lease requests.
	MinRequestInterval time.Duration
	// ResultDelay is how long a result waits so that several share a request.
	ResultDelay time.Duration
	// ResendAfter is the time after which an unsettled result is sent again.
	ResendAfter time.Duration
	// RequestTimeout is the time after which a request without a response has
	// failed.
	RequestTimeout time.Duration
}

const (
	defaultMinRequestInterval = 50 * time.Millisecond
	defaultResultDelay        = 100 * time.Millisecond
	defaultResendAfter        = 3 * time.Second
	defaultRequestTimeout     = 8 * time.Second

	requestRetryBase = 100 * time.Millisecond
	requestRetryMax  = 2 * time.Second
	// renewalsPerLease is how many times leases are renewed within a lease time.
	renewalsPerLease = 4
	// maxRequestBytes is the total size of the result bodies at which a request
	// takes no further result.
	maxRequestBytes = 1 << 20
	// maxUnsettledResults is the number of unsettled results at which the worker
	// stops pulling items.
	maxUnsettledResults = 4096
)

// WorkerInput is an input of a Worker.
type WorkerInput interface{ workerInput() }

// FreeCapacity reports how many items the sidecar can take in addition to those
// that it was given.
type FreeCapacity struct{ Items int }

// ResponseReceived is the leader's response to the outstanding SendRequest.
type ResponseReceived struct{ Message *pb.LeaseResponse }

// RequestFailed reports that the outstanding SendRequest got no response.
type RequestFailed struct{}

// ItemFinished is the outcome of a RunItem. The sidecar sets ITEM_DONE for an
// engine's response, ITEM_FAILED for a failure that another run would repeat,
// ITEM_RETRY for a failure that may not recur, ITEM_NOT_RUN when it is certain
// that no engine received the item, and ITEM_YIELDED when an idempotent item was
// preempted.
type ItemFinished struct {
	Ref    LeaseRef
	Result *pb.ItemResult
}

// Drain makes the worker stop taking items.
type Drain struct{}

// Undrain ends a Drain.
type Undrain struct{}

// SetServices replaces the services whose items the worker pulls.
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

// SendRequest sends a lease request to the leader. At most one is outstanding;
// it ends with ResponseReceived, RequestFailed or the worker's RequestTimeout.
type SendRequest struct{ Message *pb.LeaseRequest }

// RunItem starts an item. The sidecar reports its end with ItemFinished.
type RunItem struct{ Item *pb.LeasedItem }

// StopItem stops an item whose lease has ended. It needs no ItemFinished.
type StopItem struct{ Ref LeaseRef }

// Drained reports, once per drain, that the worker has no held items and no
// unsettled results.
type Drained struct{}

func (SendRequest) workerOutput() {}
func (RunItem) workerOutput()     {}
func (StopItem) workerOutput()    {}
func (Drained) workerOutput()     {}

// WorkerStats counts events since the start of a worker.
type WorkerStats struct {
	Requests       uint64
	RequestsFailed uint64
	ItemsRun       uint64
	// ItemsStopped counts items whose lease the leader revoked.
	ItemsStopped uint64
	// ItemsExpired counts items whose lease was not renewed in time.
	ItemsExpired   uint64
	ResultsSent    uint64
	ResultsResent  uint64
	ResultsSettled uint64
}

// heldItem is an item that was given to the sidecar and has not finished.
type heldItem struct {
	ref        LeaseRef
	idempotent bool
	customID   string
}

// unsettledResult is a result that the leader has not yet reported as committed
// or finally refused.
type unsettledResult struct {
	ref     LeaseRef
	result  *pb.ItemResult
	addedAt time.Time
	// sent is reset when a request fails.
	sent   bool
	sentAt time.Time
}

// Worker is the core that leases and reports batch items for a sidecar.
type Worker struct {
	options WorkerOptions
	out     core.Outbox[WorkerOutput]
	random  *rand.Rand
	stats   WorkerStats

	// freeCapacity is the number of items that the sidecar can still take.
	freeCapacity int
	services     []string
	draining     bool
	// drainedReported is set once Drained was put out for the current drain.
	drainedReported bool

	held      orderedMap[*heldItem]
	unsettled orderedMap[*unsettledResult]

	// requestSequence numbers the lease requests.
	requestSequence uint64
	// term is the highest term of a leader that has responded.
	term               uint64
	requestOutstanding bool
	requestSentAt      time.Time
	// nextPullAt is when the worker may pull items again.
	nextPullAt time.Time
	// retryAt is when the worker may send a request again after a failed one.
	retryAt time.Time
	// failedRequests counts failed requests since the last response.
	failedRequests int
	leaseTime      time.Duration
	// leasesExpireAt is when the leases of all held items end.
	leasesExpireAt time.Time
	// requestNow makes a request due without waiting for the next pull, renewal
	// or result.
	requestNow bool
}

// NewWorker returns a worker without items.
func NewWorker(o WorkerOptions) *Worker {
	setDefaultIfZero(&o.MinRequestInterval, defaultMinRequestInterval)
	setDefaultIfZero(&o.ResultDelay, defaultResultDelay)
	setDefaultIfZero(&o.ResendAfter, defaultResendAfter)
	setDefaultIfZero(&o.RequestTimeout, defaultRequestTimeout)
	return &Worker{
		options:    o,
		random:     core.NewRand(o.Seed),
		services:   append([]string(nil), o.Services...),
		held:       newOrderedMap[*heldItem](),
		unsettled:  newOrderedMap[*unsettledResult](),
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

// HeldItems returns the number of items that the sidecar has not finished.
func (w *Worker) HeldItems() int {
	return w.held.len()
}

// UnsettledResults returns the number of results that are not settled.
func (w *Worker) UnsettledResults() int {
	return w.unsettled.len()
}

// emitDue puts out a lease request and Drained when they are due.
func (w *Worker) emitDue(now time.Time) {
	if w.requestDue(now) {
		w.sendRequest(now)
	}
	if w.draining && !w.drainedReported && w.held.len() == 0 && w.unsettled.len() == 0 {
		w.drainedReported = true
		w.out.Put(Drained{})
	}
}

// stepItemFinished turns a held item into an unsettled result.
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

// expireLeases stops all items when no renewal has succeeded within the lease
// time, so that items of a job that has been cancelled meanwhile do not go on
// running.
func (w *Worker) expireLeases(now time.Time) {
	if w.held.len() == 0 || now.Before(w.leasesExpireAt) {
		return
	}
	for _, item := range w.held.values() {
		w.stats.ItemsExpired++
		w.out.Put(StopItem{item.ref})
		w.held.remove(item.ref)
		if !item.idempotent {
			w.addResult(now, item, unknownOutcomeResult(item.ref))
		}
	}
}
