package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

const (
	// minReportInterval is the minimum time between two load reports. It limits the
	// rate of datagrams of a daemon under load. Batch items change the loads of their
	// daemon more often, but hold a slot for longer.
	minReportInterval      = 10 * time.Millisecond
	minBatchReportInterval = 20 * time.Millisecond
	// maxReportInterval is the maximum time between two load reports. Without a change
	// for steadyAfter, it is steadyReportInterval.
	maxReportInterval    = 250 * time.Millisecond
	steadyReportInterval = time.Second
	steadyAfter          = time.Second
	// quotaReportInterval is the maximum time between two load reports of an entry if
	// there are quotas: other entries miss one that is silent for 600 ms.
	quotaReportInterval = 100 * time.Millisecond
	// summaryInterval is the time between two summaries of a data centre.
	summaryInterval = 100 * time.Millisecond
	// SummaryTimeout is the age at which the summary of a data centre no longer
	// replaces the reports of its daemons.
	SummaryTimeout = 2 * steadyReportInterval
	// PeerTimeout is the age at which a load report is discarded. If a VM loses
	// power, its runs continue at the engines until they end, and nothing can stop
	// them; batch items take several seconds.
	PeerTimeout = 5 * time.Second
	// maxQueuedPreemptions bounds the preemption requests that wait to be sent.
	maxQueuedPreemptions = 64
	// planInterval is the interval at which the recipients of reports are determined.
	// They follow a change of the known daemons at once.
	planInterval = time.Second
)

// LoadReporter sends load reports to the other daemons that use the same
// upstreams.
type LoadReporter struct {
	datagrams    *transport.DatagramSocket
	identity     *transport.Identity
	view         *View
	settings     *Settings
	slots        *SlotPool
	loadsChanged chan struct{}
	preemptions  chan dispatch.PreemptionRequest
	minInterval  time.Duration
	// onBatchRunner is called with the address of a daemon that runs batch items: the
	// leader of the storage group.
	onBatchRunner func(address string)
	// quotas is nil on daemons other than entries.
	quotas *QuotaExchange
	// sent counts the datagrams by kind.
	sent *prometheus.CounterVec
	// runsBatch is set while this daemon runs batch items.
	runsBatch atomic.Bool

	mu       sync.Mutex
	exchange *loadExchange
	plan     exchangePlan
	// planOutdated is set when a daemon has begun to run batch items.
	planOutdated bool

	// The remaining fields are used by Run only. sequence is the number of the last
	// report, summarySequence that of the last summary.
	sequence        uint64
	summarySequence uint64
	planAt          time.Time
	daemonsVersion  uint64
	summaryAt       time.Time
	activeAt        time.Time
}

// NewLoadReporter returns a reporter of the loads of slots. It needs SetSocket
// before Run.
func NewLoadReporter(identity *transport.Identity, view *View, settings *Settings, slots *SlotPool, onBatchRunner func(address string)) *LoadReporter {
	sent := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "briarcross_load_datagrams_sent_total", Help: "Datagrams sent about the load of upstreams, by kind: report, summary, forward, preemption; failed counts those to all their recipients together.",
	}, []string{"kind"})
	minInterval := minReportInterval
	if settings.Role == RoleStore {
		minInterval = minBatchReportInterval
	}
	return &LoadReporter{
		sent: sent, minInterval: minInterval, identity: identity, view: view, settings: settings, slots: slots, loadsChanged: make(chan struct{}, 1),
		preemptions:   make(chan dispatch.PreemptionRequest, maxQueuedPreemptions),
		onBatchRunner: onBatchRunner, exchange: newLoadExchange(settings.Address, settings.DataCentre),
	}
}

// SetQuotas makes the reports of an entry carry the counts of requests of customers.
func (r *LoadReporter) SetQuotas(quotas *QuotaExchange) { r.quotas = quotas }

// SetSocket sets the socket for reports.
func (r *LoadReporter) SetSocket(datagrams *transport.DatagramSocket) {
	r.datagrams = datagrams
}

// LoadsChanged makes Run send a report soon. It never blocks.
func (r *LoadReporter) LoadsChanged() {
	select {
	case r.loadsChanged <- struct{}{}:
	default:
	}
}

// SetRunsBatch records whether this daemon runs batch items. A storage daemon that
// does not run any takes no part in the exchange.
func (r *LoadReporter) SetRunsBatch(runsBatch bool) {
	r.runsBatch.Store(runsBatch)
	r.LoadsChanged()
}

// Run sends reports until the context ends: after each change, and at least
// every maxReportInterval, or steadyReportInterval if nothing changes.
func (r *LoadReporter) Run(ctx context.Context) {
	idle := time.NewTimer(maxReportInterval)
	defer idle.Stop()
	changedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
		case <-r.loadsChanged:
			changedAt = time.Now()
		}
		now := time.Now()
		recipients := r.send(now)
		interval := maxReportInterval
		switch {
		case r.hasQuotas():
			interval = quotaReportInterval
		case now.Sub(changedAt) > steadyAfter:
			interval = steadyReportInterval
		}
		idle.Reset(interval)
		sleep(ctx, max(r.minInterval, reportInterval(recipients)))
	}
}

// hasQuotas reports whether other entries have to know that this one is there: they
// reserve a share of each quota for one that is silent.
func (r *LoadReporter) hasQuotas() bool { return r.quotas != nil && r.quotas.Enabled() }

// send sends the reports that are due, and returns the number of recipients of the
// daemon's own report.
func (r *LoadReporter) send(now time.Time) int {
	loads := r.slots.Loads()
	var batchRunners []string
	if r.settings.Role == RoleStore {
		if r.runsBatch.Load() || slices.ContainsFunc(loads, func(l dispatch.UpstreamLoad) bool { return l.Online+l.Batch+l.Failures > 0 }) {
			r.activeAt = now
		}
		// The report that the last run has ended may be lost.
		if now.Sub(r.activeAt) > steadyAfter {
			return 0
		}
		batchRunners = []string{r.settings.Address}
	}
	plan := r.currentPlan(now, batchRunners)
	r.sequence++
	r.sendReport("report", plan.reports, &pb.LoadReport{
		Sequence: r.sequence, DataCentre: r.settings.DataCentre, Loads: encodeLoads(loads), BatchRunners: batchRunners,
		Quotas: r.quotas.counts(now),
	})
	if len(plan.summaries) > 0 && now.Sub(r.summaryAt) >= summaryInterval {
		r.summaryAt = now
		r.summarySequence++
		r.sendReport("summary", plan.summaries, &pb.LoadReport{
			Sequence:         r.summarySequence,
			DataCentre:       r.settings.DataCentre,
			Relay:            r.identity.ID,
			RelayIncarnation: r.identity.Incarnation,
			Loads:            encodeLoads(r.slots.DataCentreLoads()),
			BatchRunners:     plan.localRunners,
			Quotas:           r.quotas.summaryCounts(now),
		})
	}
	return len(plan.reports)
}

// currentPlan returns the recipients of reports. It determines them anew each
// planInterval, and when daemons join or leave. batchRunners is the daemon itself if
// it runs batch items.
func (r *LoadReporter) currentPlan(now time.Time, batchRunners []string) exchangePlan {
	version := r.view.DaemonsVersion()
	r.mu.Lock()
	defer r.mu.Unlock()
	joined := r.exchange.recordBatchRunners(now, batchRunners)
	if joined || r.planOutdated || version != r.daemonsVersion || now.Sub(r.planAt) >= planInterval {
		r.planAt, r.daemonsVersion, r.planOutdated = now, version, false
		r.plan = r.exchange.plan(now, r.view.Daemons(RoleEntry, RoleStore))
	}
	return r.plan
}

// sendReport sends a report to each address. A failed send is only counted: the next
// report replaces a lost one.
func (r *LoadReporter) sendReport(kind string, addresses []string, report *pb.LoadReport) {
	r.sent.WithLabelValues(kind).Add(float64(len(addresses)))
	if err := r.datagrams.SendAll(addresses, &pb.Envelope{Body: &pb.Envelope_LoadReport{LoadReport: report}}); err != nil {
		r.sent.WithLabelValues("failed").Inc()
	}
}

// RequestPreemption asks the daemons that run batch items to free a slot. It does not
// block.
func (r *LoadReporter) RequestPreemption(request dispatch.PreemptionRequest) {
	select {
	case r.preemptions <- request:
	default:
		// The next load report tells the same.
	}
}

// sendPreemptions sends preemption requests until the context ends.
func (r *LoadReporter) sendPreemptions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-r.preemptions:
			r.mu.Lock()
			runners := r.plan.batchRunners
			r.mu.Unlock()
			message := &pb.PreemptionRequest{Upstream: request.Upstream, Online: uint32(request.Online)}
			r.sent.WithLabelValues("preemption").Add(float64(len(runners)))
			// A lost request is replaced by the next load report.
			if err := r.datagrams.SendAll(runners, &pb.Envelope{Body: &pb.Envelope_PreemptionRequest{PreemptionRequest: message}}); err != nil {
				r.sent.WithLabelValues("failed").Inc()
			}
		}
	}
}

// HandleReport applies a received report and, on a relay, forwards a summary that
// comes from another data centre.
func (r *LoadReporter) HandleReport(header *pb.Header, report *pb.LoadReport) {
	r.mu.Lock()
	if r.exchange.recordBatchRunners(time.Now(), report.GetBatchRunners()) {
		r.planOutdated = true
		r.LoadsChanged()
	}
	forwards := r.plan.forwards
	r.mu.Unlock()
	for _, address := range report.GetBatchRunners() {
		r.onBatchRunner(address)
	}
	r.quotas.handleReport(time.Now(), header, report)
	r.slots.ApplyLoadReport(DecodeLoadReport(header, report))
	isFirstHop := report.GetRelay() != "" && header.GetSender() == report.GetRelay()
	if isFirstHop && len(forwards) > 0 {
		r.sendReport("forward", forwards, report)
	}
}
