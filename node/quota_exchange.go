package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarcross/briarcross/customers"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quota"
	"github.com/briarcross/briarcross/transport"
)

// quotaTickInterval is the interval at which an entry updates what it knows of quotas.
const quotaTickInterval = 100 * time.Millisecond

// QuotaExchange is a quota.Ledger for concurrent use, which takes its members from the
// view. It does nothing until the first routing table with a quota.
type QuotaExchange struct {
	view         *View
	onTransition func(transition quota.Transition, request string)
	enabled      atomic.Bool

	mu             sync.Mutex
	ledger         *quota.Ledger
	daemonsVersion uint64
}

// NewQuotaExchange returns the quotas of an entry. onTransition is called with the lock
// held when a customer goes over its quota, with the ID of the request that did, or is
// back within it; it must not block.
func NewQuotaExchange(identity *transport.Identity, settings *Settings, view *View, onTransition func(transition quota.Transition, request string)) *QuotaExchange {
	window := settings.Quota.Window
	if window <= 0 {
		window = defaultQuotaWindow
	}
	return &QuotaExchange{
		view: view, onTransition: onTransition,
		ledger: quota.New(quota.Options{
			Self: identity.ID, DataCentre: settings.DataCentre, Incarnation: identity.Incarnation,
			Window: window, Over: settings.Quota.Over, Slack: settings.Quota.Slack,
		}),
	}
}

// SetLimits puts the quotas of a routing table in force, and starts the exchange of counts
// with the first one that has any. running is set if the entry has been in touch with the
// others under an earlier table.
func (q *QuotaExchange) SetLimits(limits map[string]customers.Quota, running bool) {
	if len(limits) == 0 && !q.Enabled() {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.enable(now, running)
	q.ledger.SetLimits(now, limits)
}

// ChangeLimits puts the quotas of some customers of a changed routing table in force. A quota
// without a limit ends that of its customer.
func (q *QuotaExchange) ChangeLimits(limits map[string]customers.Quota) {
	limited := func(limit customers.Quota) bool { return limit.Limited() }
	if !q.Enabled() && !slices.ContainsFunc(slices.Collect(maps.Values(limits)), limited) {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.enable(now, true)
	q.ledger.ChangeLimits(now, limits)
}

// enable starts the exchange of counts unless it has started. The caller must hold mu.
func (q *QuotaExchange) enable(now time.Time, running bool) {
	if q.enabled.Swap(true) {
		return
	}
	q.updateMembers(now)
	if running {
		q.ledger.ConfirmControl(now)
		q.ledger.AssumeHeard(now)
	}
}

// Enabled reports whether a customer has had a quota.
func (q *QuotaExchange) Enabled() bool { return q.enabled.Load() }

// Admit decides whether the quota of a customer leaves room for a request. If not, it
// returns the time after which there is room.
func (q *QuotaExchange) Admit(customer string, limit customers.Quota, request string) (admitted bool, retryAfter time.Duration) {
	if !limit.Limited() {
		return true, 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	admitted, retryAfter = q.ledger.Admit(time.Now(), customer, limit)
	q.passTransitions(request)
	return admitted, retryAfter
}

// Return gives back an admitted request that certainly has not run.
func (q *QuotaExchange) Return(customer string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Return(time.Now(), customer)
}

// Run updates the members and the time until the context ends.
func (q *QuotaExchange) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if q.Enabled() {
			q.tick(time.Now())
		}
		sleep(ctx, quotaTickInterval)
	}
}

func (q *QuotaExchange) tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.view.DaemonsVersion() != q.daemonsVersion {
		q.updateMembers(now)
	}
	if q.view.Current(now) {
		q.ledger.ConfirmControl(now)
	}
	q.ledger.Tick(now)
	q.passTransitions("")
}

// updateMembers passes the entries of the view to the ledger. The caller must hold mu.
func (q *QuotaExchange) updateMembers(now time.Time) {
	q.daemonsVersion = q.view.DaemonsVersion()
	var members []quota.Member
	for _, d := range q.view.Daemons(RoleEntry) {
		members = append(members, quota.Member{ID: d.GetId(), DataCentre: d.GetDataCentre()})
	}
	q.ledger.SetMembers(now, members)
}

// passTransitions passes the transitions on. The caller must hold mu.
func (q *QuotaExchange) passTransitions(request string) {
	for _, transition := range q.ledger.Transitions() {
		q.onTransition(transition, request)
	}
}

// counts returns the counts for a load report.
func (q *QuotaExchange) counts(now time.Time) []*pb.QuotaCount {
	if q == nil || !q.Enabled() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return encodeCounts(q.ledger.Counts(now))
}

// summaryCounts returns the counts of the data centre for its summary.
func (q *QuotaExchange) summaryCounts(now time.Time) []*pb.QuotaCount {
	if q == nil || !q.Enabled() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return encodeCounts(q.ledger.Summary(now))
}

// handleReport applies the counts of a load report, and records that its sender is there.
func (q *QuotaExchange) handleReport(now time.Time, header *pb.Header, report *pb.LoadReport) {
	if q == nil || !q.Enabled() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	decoded := quota.Report{Peer: header.GetSender(), Incarnation: header.GetIncarnation(), Sequence: report.GetSequence()}
	if report.GetRelay() != "" {
		q.ledger.Heard(now, decoded.Peer, decoded.Incarnation)
		decoded.Peer, decoded.Incarnation, decoded.SummaryOf = report.GetRelay(), report.GetRelayIncarnation(), report.GetDataCentre()
	}
	for _, count := range report.GetQuotas() {
		decoded.Counts = append(decoded.Counts, quota.Count{Customer: count.GetCustomer(), Admitted: count.GetAdmitted(), Level: float64(count.GetLevel())})
	}
	q.ledger.ApplyCounts(now, decoded)
}

func encodeCounts(counts []quota.Count) []*pb.QuotaCount {
	var encoded []*pb.QuotaCount
	for _, count := range counts {
		encoded = append(encoded, &pb.QuotaCount{Customer: count.Customer, Admitted: count.Admitted, Level: float32(count.Level)})
	}
	return encoded
}
