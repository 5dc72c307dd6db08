package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// customerLoad is a load of customers of skewed sizes on daemons that share upstreams. It
// is a square wave.
type customerLoad struct {
	customers, daemons, upstreams int
	perSecond                     float64
	highFactor, lowFactor         float64
	// burster sends burstFactor times its usual rate from burstFrom to burstTo. Its
	// requests reach burstDaemons daemons only, all if zero.
	burster          int
	burstFactor      float64
	burstFrom        int
	burstTo          int
	burstDaemons     int
	arrivalOrder     bool // requests do not say whose they are
	seconds, retries int
}

// customersLoad is the load of the deployment with customers.
func customersLoad() customerLoad {
	return customerLoad{
		customers: 83, daemons: 24, upstreams: 52, perSecond: 240, highFactor: 1.84, lowFactor: 0.38,
		burstFactor: 1, burstFrom: 1600, burstTo: 8100, seconds: 10, retries: 1,
	}
}

// customerResult counts, by customer, the callers that came while the burst lasts and those of
// them that were served.
type customerResult struct {
	callers, served           []int
	refusals                  map[Reason]int
	shortestRetry             time.Duration
	granted, waited, lateRuns int
	// placements lists the requests and upstreams of all grants.
	placements []string
}

func (r customerResult) share(customers ...int) float64 {
	callers, served := 0, 0
	for _, c := range customers {
		callers += r.callers[c]
		served += r.served[c]
	}
	return float64(served) / float64(max(1, callers))
}

func (r customerResult) shareOfAll() float64 {
	customers := make([]int, len(r.callers))
	for c := range customers {
		customers[c] = c
	}
	return r.share(customers...)
}

// others returns the served share of the customers except the burster and those larger
// than largest.
func (r customerResult) others(burster, largest int) float64 {
	var others []int
	for c := largest; c < len(r.callers); c++ {
		if c != burster {
			others = append(others, c)
		}
	}
	return r.share(others...)
}

// inTime returns the number of requests that were served and did not wait long at their
// upstream.
func (r customerResult) inTime() int { return r.granted - r.lateRuns }

func (load customerLoad) play(seed uint64) customerResult {
	const (
		stepMs    = 5
		deadline  = 5 * time.Second
		objective = 300 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, 7))
	engines := make(map[string]*simulatedEngine)
	var order []string
	for u := range load.upstreams {
		id := fmt.Sprintf("u%02d", u)
		order = append(order, id)
		engines[id] = &simulatedEngine{slots: 8}
	}
	pools := make([][]*Pool, 1)
	for d := range load.daemons {
		p := New(Options{Daemon: fmt.Sprint("d", d), DataCentre: "near", Seed: seed*100 + uint64(d+1), BatchReserve: 1, PeerTimeout: 5 * time.Second, SummaryTimeout: time.Second})
		for _, id := range order {
			p.UpdateUpstream(readyUpstream(id, "near", 8))
		}
		pools[0] = append(pools[0], p)
	}
	weights, sum := make([]float64, load.customers), 0.0
	for c := range weights {
		weights[c] = math.Pow(float64(c+1), -1.2)
		sum += weights[c]
	}
	type caller struct {
		customer, daemon, arrived, tries int
	}
	callers := make(map[uint64]*caller)
	retriesAt := make(map[int][]uint64)
	result := customerResult{callers: make([]int, load.customers), served: make([]int, load.customers), refusals: make(map[Reason]int), shortestRetry: time.Hour}
	var engineResult fleetResult
	nextID, sequence := uint64(0), uint64(0)
	counted := func(c *caller) bool { return c.arrived >= load.burstFrom && c.arrived < load.burstTo }
	for nowMs := 0; nowMs < load.seconds*1000; nowMs += stepMs {
		now := timeAt(nowMs)
		for _, id := range order {
			engines[id].step(nowMs, 400+random.IntN(800), lateMs, &engineResult)
		}
		factor := load.lowFactor
		if (nowMs+5000)%6600 < 2800 {
			factor = load.highFactor
		}
		ids := retriesAt[nowMs]
		for c, weight := range weights {
			expected := load.perSecond * factor * weight / sum * stepMs / 1000
			bursts := c == load.burster && nowMs >= load.burstFrom && nowMs < load.burstTo
			if bursts {
				expected *= load.burstFactor
			}
			for ; random.Float64() < expected; expected-- {
				nextID++
				daemon := random.IntN(load.daemons)
				if bursts && load.burstDaemons > 0 {
					daemon = random.IntN(load.burstDaemons)
				}
				callers[nextID] = &caller{customer: c, daemon: daemon, arrived: nowMs}
				ids = append(ids, nextID)
				if counted(callers[nextID]) {
					result.callers[c]++
				}
			}
		}
		random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		for _, id := range ids {
			c := callers[id]
			request := SlotRequest{ID: id, Service: "s", Class: Online, MaxWait: objective / 4, RetryMaxWait: objective, TimeToDeadline: deadline - time.Duration(nowMs-c.arrived)*time.Millisecond}
			if !load.arrivalOrder {
				request.Customer = "customer " + strconv.Itoa(c.customer)
			}
			pools[0][c.daemon].Request(now, request)
		}
		if nowMs%(2*stepMs) == 0 {
			sequence++
			exchangeReports(now, sequence, pools, false)
		}
		for _, p := range pools[0] {
			p.Tick(now)
			granted, refused := p.Drain()
			for _, g := range granted {
				result.placements = append(result.placements, fmt.Sprint(g.SlotRequestID, " ", g.Upstream))
				if c := callers[g.SlotRequestID]; counted(c) {
					result.served[c.customer]++
					result.granted++
					if g.Waited > 0 {
						result.waited++
					}
				}
				engines[g.Upstream].queue = append(engines[g.Upstream].queue, simulatedRun{pool: p, grant: g, arrivedMs: nowMs})
			}
			for _, r := range refused {
				c := callers[r.SlotRequestID]
				if counted(c) {
					result.refusals[r.Reason]++
					result.shortestRetry = min(result.shortestRetry, r.RetryAfter)
				}
				if c.tries == load.retries {
					continue
				}
				c.tries++
				if bursts := load.burstDaemons > 0 && c.customer == load.burster; !bursts {
					c.daemon = random.IntN(load.daemons)
				}
				due := nowMs + int(r.RetryAfter.Milliseconds())
				retriesAt[due+stepMs-due%stepMs] = append(retriesAt[due+stepMs-due%stepMs], r.SlotRequestID)
			}
		}
	}
	result.lateRuns = engineResult.late
	return result
}

// In order of arrival, a customer at 7.5 times its rate takes the slots of all others in
// proportion to its requests: a quarter of their callers were not served in two attempts.
func TestBurstOfOneCustomerTakesSlotsOfOthers(t *testing.T) {
	for name, change := range map[string]func(*customerLoad){
		"through all daemons":    func(*customerLoad) {},
		"through three daemons":  func(load *customerLoad) { load.burstDaemons = 3 },
		"few daemons":            func(load *customerLoad) { load.daemons = 5 },
		"second largest":         func(load *customerLoad) { load.burster, load.daemons, load.upstreams = 1, 12, 40 },
		"medium, full before it": func(load *customerLoad) { load.burster, load.daemons, load.upstreams = 5, 12, 40 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expect := NewWithT(t)
			load := customersLoad()
			change(&load)
			quiet := load.play(1)
			load.burstFactor = 7.5
			shared := load.play(1)
			load.arrivalOrder = true
			unshared := load.play(1)
			log := func(name string, r customerResult) {
				t.Logf("%-13s served of all %.3f, burster %.3f, others %.3f, small %.3f; in time %d, refusals %v", name,
					r.shareOfAll(), r.share(load.burster), r.others(load.burster, 0), r.others(load.burster, 10), r.inTime(), r.refusals)
			}
			log("without burst", quiet)
			log("arrival order", unshared)
			log("shares", shared)
			// Others that are large themselves may be above their share.
			expect.Expect(shared.others(load.burster, 0)).To(BeNumerically(">=", quiet.others(load.burster, 0)-0.06))
			expect.Expect(shared.others(load.burster, 10)).To(BeNumerically(">=", quiet.others(load.burster, 10)-0.03))
			shared.expectFloor(expect)
			// Daemons that find the same slot left free send there at once, and some of their
			// requests wait there. That must stay rare.
			expect.Expect(shared.inTime()).To(BeNumerically(">=", 0.9*float64(unshared.inTime())))
			expect.Expect(shared.shortestRetry).To(BeNumerically(">=", minRetryAfter/2))
		})
	}
}

// expectFloor checks that no customer with enough callers for a figure is served less than a
// quarter as often as all.
func (r customerResult) expectFloor(expect *WithT) {
	for c, callers := range r.callers {
		if callers >= 40 {
			expect.Expect(r.share(c)).To(BeNumerically(">=", r.shareOfAll()/4), "customer %d of %d callers", c, callers)
		}
	}
}

// With half or a quarter of the upstreams, equal shares would leave the largest customer with
// a few percent of its requests, and requests in turn by arrival leave the small ones with as
// little as the large ones.
func TestLongShortageStarvesACustomer(t *testing.T) {
	for _, upstreams := range []int{26, 13} {
		for _, daemons := range []int{24, 5} {
			t.Run(fmt.Sprint(upstreams, " upstreams, ", daemons, " daemons"), func(t *testing.T) {
				t.Parallel()
				expect := NewWithT(t)
				load := customersLoad()
				load.upstreams, load.daemons, load.burstFactor = upstreams, daemons, 7.5
				shared := load.play(1)
				load.arrivalOrder = true
				unshared := load.play(1)
				t.Logf("shares: all %.3f, burster %.3f, others %.3f, small %.3f; arrival order: all %.3f, others %.3f",
					shared.shareOfAll(), shared.share(0), shared.others(0, 0), shared.others(0, 10), unshared.shareOfAll(), unshared.others(0, 0))
				shared.expectFloor(expect)
				expect.Expect(shared.others(0, 0)).To(BeNumerically(">", 1.15*unshared.others(0, 0)))
				expect.Expect(shared.inTime()).To(BeNumerically(">=", 0.9*float64(unshared.inTime())))
			})
		}
	}
}

// While there is room, the names of customers must change no placement.
func TestCustomersChangePlacementWithRoomToSpare(t *testing.T) {
	expect := NewWithT(t)
	load := customersLoad()
	load.perSecond, load.burster, load.burstFactor = 200, 4, 4
	named := load.play(1)
	load.arrivalOrder = true
	unnamed := load.play(1)
	expect.Expect(named.refusals).To(BeEmpty())
	expect.Expect(named.placements).To(Equal(unnamed.placements))
}

func customerRequest(id uint64, customer string, wait time.Duration) SlotRequest {
	request := onlineRequest(id, wait)
	request.Customer = customer
	return request
}

// fullPool returns a pool whose slots are held by a customer named large, and that
// completes about one request each 100 ms.
func fullPool(slots int) (p *Pool, held []Grant) {
	p = newPool(readyUpstream("u", "near", slots))
	for i := range slots {
		g, _ := requestSlot(p, start, customerRequest(uint64(1000+i), "large", 0))
		held = append(held, *g)
	}
	p.statsOf("s").meanHoldTime = time.Duration(slots) * 100 * time.Millisecond
	return p, held
}

// A request that finds a long queue of one customer was refused although that customer
// held all slots.
func TestQueueOfOneCustomerKeepsOthersOut(t *testing.T) {
	expect := NewWithT(t)
	p, held := fullPool(8)
	for i := range 3 {
		p.Request(start, customerRequest(uint64(i+1), "large", 300*time.Millisecond))
	}
	expect.Expect(p.QueueLength()).To(Equal(3))
	_, refused := requestSlot(p, start, customerRequest(4, "large", 300*time.Millisecond))
	expect.Expect(refused.Reason).To(Equal(QueueFull))
	_, refused = requestSlot(p, start, customerRequest(5, "small", 300*time.Millisecond))
	expect.Expect(refused).NotTo(BeNil())
	expect.Expect(refused.SlotRequestID).To(Equal(uint64(3)), "the last request of the other customer")
	expect.Expect(refused.Reason).To(Equal(UnfairShare))
	expect.Expect(refused.RetryAfter).To(BeNumerically(">=", minRetryAfter/2))
	var order []uint64
	for i := range 4 {
		p.Release(timeAt(10+i), held[i], Served)
		granted, _ := p.Drain()
		for _, g := range granted {
			order = append(order, g.SlotRequestID)
		}
	}
	expect.Expect(order).To(Equal([]uint64{5, 1, 2}), "the refused request does not run")
}

// A request of higher priority, or with output, loses its place to none of lower priority
// or without output.
func TestDisplacedRequestIsOfSamePriorityAndUnbound(t *testing.T) {
	expect := NewWithT(t)
	p, _ := fullPool(8)
	for i := range 3 {
		request := customerRequest(uint64(i+1), "large", 300*time.Millisecond)
		request.Bound = i == 0
		p.Request(start, request)
	}
	request := customerRequest(4, "small", 300*time.Millisecond)
	request.Priority = 1
	_, refused := requestSlot(p, start, request)
	expect.Expect(refused.SlotRequestID).To(Equal(uint64(4)))
	expect.Expect(refused.Reason).To(Equal(QueueFull))
	p.queue = p.queue[:1]
	p.Request(start, customerRequest(5, "small", 300*time.Millisecond))
	p.Request(start, customerRequest(6, "smaller", 300*time.Millisecond))
	_, refusals := p.Drain()
	expect.Expect(refusals).To(BeEmpty())
}

// Requests of one customer keep their order: retrying callers first, then by arrival.
func TestRetryingCallerOfACustomerWaitsBehindItsNewCallers(t *testing.T) {
	expect := NewWithT(t)
	p, held := fullPool(4)
	for i, timeToDeadline := range []time.Duration{5 * time.Second, 5 * time.Second, 4 * time.Second} {
		request := customerRequest(uint64(i+1), "large", time.Second)
		request.TimeToDeadline = timeToDeadline
		p.Request(start, request)
	}
	var order []uint64
	for _, g := range held[:3] {
		p.Release(timeAt(10), g, Served)
		granted, _ := p.Drain()
		order = append(order, granted[0].SlotRequestID)
	}
	expect.Expect(order).To(Equal([]uint64{3, 1, 2}))
}

// Guards against memory that grows with the number of customers, and against slots that
// stay counted after their release.
func TestSharesOfCustomersAreBounded(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(readyUpstream("u", "near", 10*maxShares))
	var held []Grant
	for i := range 3 * maxShares {
		g, _ := requestSlot(p, start, customerRequest(uint64(i), strconv.Itoa(i), 0))
		held = append(held, *g)
	}
	expect.Expect(p.shares.shares).To(HaveLen(maxShares))
	expect.Expect(p.shares.overflow.held).To(Equal(2 * maxShares))
	for _, g := range held {
		p.Release(start, g, Served)
	}
	expect.Expect(p.shares.overflow.held).To(BeZero())
	later := start.Add(10 * shareMemory)
	requestSlot(p, later, onlineRequest(1, 0))
	expect.Expect(p.shares.shares).To(BeEmpty())
}

// BenchmarkDecisionWithoutSlots measures two requests that find all slots taken at 300
// upstreams. With customers, the second one takes the place of the first.
func BenchmarkDecisionWithoutSlots(b *testing.B) {
	b.Run("customers", func(b *testing.B) { benchmarkWithoutSlots(b, [2]string{"large", "small"}) })
	b.Run("no customers", func(b *testing.B) { benchmarkWithoutSlots(b, [2]string{}) })
}

func benchmarkWithoutSlots(b *testing.B, names [2]string) {
	b.Helper()
	p := newPool()
	const upstreams = 300
	for i := range upstreams {
		p.UpdateUpstream(readyUpstream("u"+strconv.Itoa(i), []string{"near", "far"}[i%2], 1))
	}
	for i := range upstreams {
		customer := ""
		if names[0] != "" {
			customer = strconv.Itoa(i % 83)
		}
		requestSlot(p, start, customerRequest(uint64(i), customer, 0))
	}
	p.statsOf("s").meanHoldTime = 10 * time.Second
	id := uint64(upstreams)
	request := func(customer string) {
		id++
		p.Request(start, customerRequest(id, customer, 75*time.Millisecond))
	}
	for b.Loop() {
		request(names[0])
		request(names[1])
		p.Drain()
		p.queue = p.queue[:0]
	}
}
