package entrynode

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// overQuota is the reason of refusals for the quota of a customer.
	overQuota = "over_quota"
	// maxQuotaLabels limits the customers that have a counter of their own. The log names
	// the others.
	maxQuotaLabels = 20
	// otherCustomers is the label of the customers beyond maxQuotaLabels.
	otherCustomers = "other"
)

// endIfOverQuota refuses the request if the quota of its customer leaves no room for it,
// and reports whether it did.
func (x *exchange) endIfOverQuota() bool {
	if x.customer == nil || !x.customer.Quota.Limited() {
		return false
	}
	admitted, retryAfter := x.node.Quotas.Admit(x.customer.Name, x.customer.Quota, x.headers.ID)
	if admitted {
		x.quotaCustomer = x.customer
		return false
	}
	x.node.refuseOverQuota(x.w, x.customer.Name, retryAfter)
	return true
}

// returnQuota gives the request back to the quota of its customer if it certainly has not
// run.
func (x *exchange) returnQuota() {
	if x.quotaCustomer != nil && x.mayHaveRunCount == 0 {
		x.node.Quotas.Return(x.quotaCustomer.Name)
	}
}

// refuseOverQuota responds to a request over a quota and counts it. It logs nothing: the
// exchange of counts logs when a customer goes over its quota and when it is back.
func (n *Node) refuseOverQuota(w http.ResponseWriter, customer string, retryAfter time.Duration) {
	n.metrics.refusals.WithLabelValues(overQuota).Inc()
	n.metrics.requests.WithLabelValues("refused").Inc()
	n.metrics.quotaRefusals.inc(customer)
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	http.Error(w, overQuota, http.StatusTooManyRequests)
}

// quotaRefusals counts refusals by customer. The first maxQuotaLabels customers have a
// counter each, which they keep, since counters must not decrease.
type quotaRefusals struct {
	counters *prometheus.CounterVec

	mu      sync.Mutex
	labeled map[string]bool
}

func newQuotaRefusals() *quotaRefusals {
	return &quotaRefusals{
		labeled: make(map[string]bool),
		counters: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_quota_refusals_total", Help: "Requests refused for the quota of their customer, by customer; those of customers beyond the first 20 have the label other.",
		}, []string{"customer"}),
	}
}

func (q *quotaRefusals) inc(customer string) { q.counters.WithLabelValues(q.label(customer)).Inc() }

func (q *quotaRefusals) label(customer string) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.labeled[customer] {
		if len(q.labeled) == maxQuotaLabels {
			return otherCustomers
		}
		q.labeled[customer] = true
	}
	return customer
}
