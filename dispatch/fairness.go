package dispatch

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"
)

// This file decides whose request goes first and whose is refused when requests of
// several customers wait. It addresses one customer that sends several times its usual
// rate for some seconds at the peak of the load: in order of arrival, its requests take
// the slots of all others in proportion to their number.

const (
	// maxShares is the number of customers, by service, that a daemon tells apart. The
	// others share one record. A daemon of the largest fleet gets 55 requests a second,
	// of at most 550 customers while their records are kept.
	maxShares = 1024
	// shareMemory is the time constant with which grants to a customer are forgotten. It
	// spans a few streams and is shorter than a burst.
	shareMemory = 2 * time.Second
	// forgottenUsage is the usage at which the record of a customer is dropped.
	forgottenUsage = 0.05
	// minServedShare is the share of the rate at which all requests are served below which
	// a customer's requests go first. The guarantee is a quarter; the margin covers that
	// each daemon knows its own requests only.
	minServedShare = 0.4
	// minShareRequests is the number of recent requests of a customer from which on the
	// share of those served says something.
	minShareRequests = 4
	// shortShare is the share of requests served below which a service is short of
	// capacity.
	shortShare = 0.95
	// fairLevelInterval is the time for which a fair level is used. It bounds the cost of
	// finding it.
	fairLevelInterval = 100 * time.Millisecond
	// keptFreeTime is the time whose requests of customers within their share find slots
	// kept free for them. It covers the way of a load report and the spread of arrivals.
	keptFreeTime = 8 * time.Millisecond
)

// shareKey identifies a customer's use of a service. The requests of callers without a
// customer have an empty name.
type shareKey struct{ service, customer string }

// customerShare is what a daemon knows of a customer's use of a service.
type customerShare struct {
	// held counts the slots that the customer's requests hold.
	held int
	// requested and served count recent requests and grants, each of which decays with
	// shareMemory, up to updatedAt.
	requested float64
	served    float64
	updatedAt time.Time
	// queued counts the requests that have been placed in the order of the queue.
	queued int
}

func (s *customerShare) decay(now time.Time) {
	if elapsed := now.Sub(s.updatedAt); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(shareMemory))
		s.requested *= factor
		s.served *= factor
		s.updatedAt = now
	}
}

// usage is what the customer holds and got lately.
func (s *customerShare) usage() float64 { return float64(s.held) + s.served }

// isStarved reports whether the customer's requests are served much less often than all.
func (s *customerShare) isStarved(all *serviceShares) bool {
	return s.requested >= minShareRequests && s.served*all.requested < minServedShare*all.served*s.requested
}

// serviceShares sums the requests of all customers of a service.
type serviceShares struct {
	customerShare
	// fairLevel is the number of recent requests up to which a customer is within its
	// share, such that the slots suffice if each customer above gets as much. It is
	// infinite while the service is not short of capacity.
	fairLevel float64
	// keptFree is the number of slots kept free for customers within their share.
	keptFree int
	levelAt  time.Time
}

// customerShares is a bounded table of the customers that use a daemon's services.
type customerShares struct {
	shares   map[shareKey]*customerShare
	services map[string]*serviceShares
	// overflow stands for the customers that are not in the table.
	overflow  *customerShare
	expiredAt time.Time
	// named is set while the table has a customer with a name. Without one there is
	// nothing to share.
	named bool
}

func newCustomerShares() *customerShares {
	return &customerShares{shares: make(map[shareKey]*customerShare), services: make(map[string]*serviceShares), overflow: new(customerShare)}
}

func (c *customerShares) service(name string) *serviceShares { return getOrCreate(c.services, name) }

// record counts a request and returns the share of its customer, nil in a deployment
// without customers.
func (c *customerShares) record(now time.Time, request *SlotRequest) *customerShare {
	if c.named {
		c.expire(now)
	}
	if request.Customer == "" && !c.named {
		return nil
	}
	c.named = true
	key := shareKey{request.Service, request.Customer}
	share, known := c.shares[key]
	switch {
	case !known && len(c.shares) < maxShares:
		share = &customerShare{updatedAt: now}
		c.shares[key] = share
	case !known:
		share = c.overflow
	}
	share.decay(now)
	share.requested++
	service := c.service(request.Service)
	service.decay(now)
	service.requested++
	return share
}

// expire drops the customers without recent requests.
func (c *customerShares) expire(now time.Time) {
	if now.Sub(c.expiredAt) < shareMemory {
		return
	}
	c.expiredAt = now
	c.named = false
	for key, share := range c.shares {
		share.decay(now)
		if share.held == 0 && share.requested < forgottenUsage && share.served < forgottenUsage {
			delete(c.shares, key)
			continue
		}
		c.named = c.named || key.customer != ""
	}
	maps.DeleteFunc(c.services, func(_ string, service *serviceShares) bool {
		service.decay(now)
		return service.requested < forgottenUsage
	})
}

// recordGrant counts a grant to a customer.
func (c *customerShares) recordGrant(now time.Time, service string, share *customerShare) {
	if share == nil {
		return
	}
	share.decay(now)
	share.held++
	share.served++
	sum := c.service(service)
	sum.decay(now)
	sum.served++
}

// release ends a grant to a customer.
func (s *customerShare) release() {
	if s != nil {
		s.held = max(0, s.held-1)
	}
}

// turn is the place of a waiting request in the order of the customers' shares.
type turn struct {
	// usage is what the customer will have got before the request.
	usage float64
	// level is the logarithm of the usage. Usages that differ by less than a factor of two
	// count as equal, so that retrying callers of different customers keep their
	// precedence over new ones.
	level int
}

func (c *customerShares) nextTurn(service string, share *customerShare) turn {
	usage := share.usage() + float64(share.queued)
	share.queued++
	if share.isStarved(c.service(service)) {
		return turn{usage, 0}
	}
	return turn{usage, bits.Len(uint(usage))}
}

// sortQueueByShares brings the queue into the order of class, priority, whether requests
// are bound, and customers' shares. Within a level, retrying callers come first if the
// retries fit.
func (p *Pool) sortQueueByShares(now time.Time) {
	retriesFirst := make(map[string]bool)
	for i := range p.queue {
		service := p.queue[i].slotRequest.Service
		if _, known := retriesFirst[service]; !known {
			retriesFirst[service] = p.retriesFit(now, service)
		}
		if share := p.queue[i].share; share != nil {
			share.decay(now)
			share.queued = 0
		}
	}
	first := func(queued *queuedRequest) bool { return queued.retrying && retriesFirst[queued.slotRequest.Service] }
	for _, pass := range []bool{true, false} {
		for i := range p.queue {
			if queued := &p.queue[i]; queued.share != nil && first(queued) == pass {
				queued.turn = p.shares.nextTurn(queued.slotRequest.Service, queued.share)
			}
		}
	}
	slices.SortStableFunc(p.queue, func(a, b queuedRequest) int {
		return cmp.Or(
			cmp.Compare(a.slotRequest.Class, b.slotRequest.Class),
			cmp.Compare(a.slotRequest.Priority, b.slotRequest.Priority),
			compareBool(a.slotRequest.Bound, b.slotRequest.Bound),
			cmp.Compare(a.turn.level, b.turn.level),
			compareBool(first(&a), first(&b)),
			cmp.Compare(a.turn.usage, b.turn.usage),
		)
	})
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// requestByShares grants, queues or refuses a request of a customer. If the queue then is
// too long for the requests behind it, the last request of the customer with the largest
// share is refused instead.
func (p *Pool) requestByShares(now time.Time, queued queuedRequest) {
	request := &queued.slotRequest
	if len(p.queue) == 0 {
		if !p.tryGrant(now, &queued) {
			p.sortInto(now, &queued)
			p.enqueue(now, queued, 0, 0, nil)
		}
		return
	}
	index := p.sortInto(now, &queued)
	ahead, boundAhead := 0, map[string]int(nil)
	for i := range index {
		countAhead(request, &p.queue[i].slotRequest, &ahead, &boundAhead)
	}
	if ahead == 0 && p.tryGrant(now, &queued) {
		return
	}
	waiting := len(p.queue)
	p.enqueue(now, queued, index, ahead, boundAhead)
	if len(p.queue) > waiting && !request.Bound {
		p.displace(now, queued)
	}
}

// sortInto sorts the queue, sets the turn of a new request and returns the index at which
// to insert it.
func (p *Pool) sortInto(now time.Time, queued *queuedRequest) int {
	id := queued.slotRequest.ID
	p.queue = append(p.queue, *queued)
	p.sortQueueByShares(now)
	index := slices.IndexFunc(p.queue, func(other queuedRequest) bool { return other.slotRequest.ID == id })
	*queued = p.queue[index]
	p.queue = slices.Delete(p.queue, index, index+1)
	return index
}

// displace refuses the last request of the customer with the largest share among those
// that wait behind a new request, if the queue has become too long for it.
func (p *Pool) displace(now time.Time, added queuedRequest) {
	last := -1
	for i, other := range p.queue {
		if other.share != nil && other.share != added.share && added.competesForTurn(&other) && other.turn.level > added.turn.level &&
			(last < 0 || other.share.usage() >= p.queue[last].share.usage()) {
			last = i
		}
	}
	if last < 0 {
		return
	}
	displaced := p.queue[last]
	ahead, boundAhead := 0, map[string]int(nil)
	for i := range last {
		countAhead(&displaced.slotRequest, &p.queue[i].slotRequest, &ahead, &boundAhead)
	}
	if now.Sub(displaced.queuedAt)+p.expectedWait(now, displaced.slotRequest.Service, ahead, boundAhead) <= displaced.slotRequest.MaxWait {
		return
	}
	p.queue = slices.Delete(p.queue, last, last+1)
	p.refuse(now, displaced, UnfairShare)
}

// competesForTurn reports whether customers' shares decide between two requests.
func (q *queuedRequest) competesForTurn(other *queuedRequest) bool {
	a, b := &q.slotRequest, &other.slotRequest
	return a.Service == b.Service && a.Class == b.Class && a.Priority == b.Priority && a.Bound == b.Bound
}

// mustLeaveSlots reports whether a request of a customer above its share leaves the last
// free slots to the other customers. Each daemon grants the slots that its own requests
// release, so without that a request waits for one of the few released at its daemon while
// others give theirs to the customer above its share.
func (p *Pool) mustLeaveSlots(now time.Time, queued *queuedRequest) bool {
	if queued.share == nil || queued.slotRequest.Bound {
		return false
	}
	service := p.shares.service(queued.slotRequest.Service)
	p.updateFairLevel(now, queued.slotRequest.Service, service)
	if queued.share.requested <= service.fairLevel || queued.share.isStarved(service) {
		return false
	}
	free := 0
	for _, u := range p.sortedUpstreams {
		if queued.slotRequest.fits(u) && !u.coarse {
			free += max(0, u.Slots-u.online())
		}
	}
	return free > 0 && free <= service.keptFree
}

// updateFairLevel finds the fair level of a service and the number of slots to keep free.
func (p *Pool) updateFairLevel(now time.Time, name string, service *serviceShares) {
	if now.Sub(service.levelAt) < fairLevelInterval {
		return
	}
	service.levelAt = now
	service.decay(now)
	service.fairLevel = math.Inf(1)
	if service.served >= shortShare*service.requested {
		return
	}
	var requested []float64
	for key, share := range p.shares.shares {
		if key.service == name {
			share.decay(now)
			requested = append(requested, share.requested)
		}
	}
	slices.Sort(requested)
	remaining, within := service.served, 0.0
	for i, r := range requested {
		level := remaining / float64(len(requested)-i)
		if r > level {
			service.fairLevel = level
			break
		}
		remaining -= r
		within += r
	}
	service.keptFree = int(math.Ceil(within / shareMemory.Seconds() * keptFreeTime.Seconds() * float64(p.daemonsWithOnline())))
}

// daemonsWithOnline returns the number of daemons that place online requests, as far as
// they are known by their own reports.
func (p *Pool) daemonsWithOnline() int {
	daemons := 1
	for _, report := range p.peerReports {
		if !report.Summary && slices.ContainsFunc(report.Loads, func(load UpstreamLoad) bool { return load.Online > 0 }) {
			daemons++
		}
	}
	return daemons
}
