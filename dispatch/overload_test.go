package dispatch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// burstLoad alternates between a low and a high request rate. It is sent to
// upstreams that serve 100 requests a second.
type burstLoad struct {
	lowPerSecond, highPerSecond float64
	lowMs, highMs               int
	simultaneous                int // requests sent together in the middle of each low phase
}

type burstResult struct {
	callers, servedFirstTime, servedOnRetry, refusedTwice int
}

// simulate sends the load for 60 s. Callers have a deadline of 5 s, retry once
// after RetryAfter if they are refused, and give up if they are refused again.
func (load burstLoad) simulate(t *testing.T) burstResult {
	t.Helper()
	const (
		stepMs    = 5
		lastMs    = 60_000
		minRunMs  = 400
		maxRunMs  = 1000
		deadline  = 5 * time.Second
		maxDelay  = deadline / 3
		objective = 300 * time.Millisecond
		queueWait = objective / 4
		upstreams = 9
		slotsEach = 8
		retryFlag = uint64(1) << 32
	)
	p := New(Options{DataCentre: "near", Seed: 1, BatchReserve: 1, PeerTimeout: time.Second})
	for i := range upstreams {
		p.UpdateUpstream(readyUpstream("u"+strconv.Itoa(i), "near", slotsEach))
	}
	random := rand.New(rand.NewPCG(3, 5))
	var result burstResult
	endingAt := map[int][]Grant{}
	retriesAt := map[int][]uint64{}
	arrivedAt := map[uint64]int{}
	nextID := uint64(0)
	request := func(now int, id uint64, timeToDeadline time.Duration) {
		p.Request(timeAt(now), SlotRequest{ID: id, Service: "s", Class: Online, MaxWait: queueWait, RetryMaxWait: objective, TimeToDeadline: timeToDeadline})
	}
	for now := 0; now < lastMs; now += stepMs {
		for _, g := range endingAt[now] {
			p.Release(timeAt(now), g, Served)
		}
		phase := now % (load.lowMs + load.highMs)
		perSecond := load.lowPerSecond
		if phase >= load.lowMs {
			perSecond = load.highPerSecond
		}
		newCallers := 0
		for expected := perSecond * stepMs / 1000; random.Float64() < expected; expected-- {
			newCallers++
		}
		if phase == load.lowMs/2/stepMs*stepMs {
			newCallers += load.simultaneous
		}
		ids := retriesAt[now]
		for range newCallers {
			nextID++
			arrivedAt[nextID] = now
			result.callers++
			ids = append(ids, nextID)
		}
		random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		for _, id := range ids {
			request(now, id, deadline-time.Duration(now-arrivedAt[id&^retryFlag])*time.Millisecond)
		}
		p.Tick(timeAt(now))
		granted, refused := p.Drain()
		for _, g := range granted {
			end := now + (minRunMs+random.IntN(maxRunMs-minRunMs))/stepMs*stepMs
			endingAt[end] = append(endingAt[end], g)
			if g.SlotRequestID&retryFlag != 0 {
				result.servedOnRetry++
			} else {
				result.servedFirstTime++
			}
		}
		for _, r := range refused {
			if r.SlotRequestID&retryFlag != 0 {
				result.refusedTwice++
				continue
			}
			due := now + int(min(r.RetryAfter, maxDelay).Milliseconds())
			due += stepMs - due%stepMs
			retriesAt[due] = append(retriesAt[due], r.SlotRequestID|retryFlag)
		}
	}
	t.Logf("%+v", result)
	return result
}

// In these bursts, the requests beyond capacity are fewer than the upstreams serve
// within the longest RetryAfter (1.5 s at 103 requests a second), and the low
// phases make up for them. Every caller can therefore be served on its retry at
// the latest.
func TestCallersRefusedInBurstAreServedOnRetry(t *testing.T) {
	for name, load := range map[string]burstLoad{
		"50% over capacity":                 {lowPerSecond: 30, highPerSecond: 150, lowMs: 3600, highMs: 2400},
		"25% over capacity for longer":      {lowPerSecond: 30, highPerSecond: 125, lowMs: 6000, highMs: 5000},
		"120% over capacity for 1 s":        {lowPerSecond: 30, highPerSecond: 220, lowMs: 4500, highMs: 1000},
		"simultaneous requests at low load": {lowPerSecond: 10, highPerSecond: 10, lowMs: 3000, highMs: 3000, simultaneous: 120},
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			r := load.simulate(t)
			expect.Expect(r.servedOnRetry).To(BeNumerically(">", 0))
			expect.Expect(r.refusedTwice).To(BeZero())
		})
	}
}

// In a burst of several times the capacity, the retries alone exceed it. New
// callers must still get slots, as they can be served without delay: half of the
// slots during a burst except its first second, and all between bursts, which is
// 0.39 of the 793 requests served in a period.
func TestBurstFarBeyondCapacityServesNewCallers(t *testing.T) {
	expect := NewWithT(t)
	r := burstLoad{lowPerSecond: 30, highPerSecond: 700, lowMs: 5000, highMs: 5000}.simulate(t)
	served := r.servedFirstTime + r.servedOnRetry
	expect.Expect(float64(served)).To(BeNumerically(">=", 0.9*4000), "slots were idle during the bursts")
	expect.Expect(float64(r.servedFirstTime)).To(BeNumerically(">=", 0.39*float64(served)))
}

// Guards against a leak: routes are added and removed while the daemon runs, so
// the state of a route must be dropped when it gets no more requests.
func TestIdleRoutesExpire(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(readyUpstream("a", "near", 8))
	for i := range 100 {
		now := start.Add(time.Duration(i) * peakWindow)
		request := onlineRequest(uint64(i), 0)
		request.Route, request.TimeToDeadline = strconv.Itoa(i), time.Second
		g, _ := requestSlot(p, now, request)
		p.Release(now, *g, Served)
	}
	expect.Expect(len(p.maxTimeToDeadline)).To(BeNumerically("<=", 3))
}
