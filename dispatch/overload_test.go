package dispatch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// burstLoad is a pattern of bursts at a fleet that serves 100 requests a second.
type burstLoad struct {
	lowPerSecond, highPerSecond float64 // requests a second
	lowMs, highMs               int
	simultaneous                int // requests at once, in the middle of each pause
}

type burstResult struct {
	callers, servedFirstTime, servedOnRetry, refusedTwice int
}

// simulate lets callers with a deadline of 5 s come, return once after the time
// that they were given, and leave for good when they are refused again.
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
	p := New(Options{DataCentre: "near", Seed: 1, BatchReserve: 1, PeerTimeout: time.Second, HeartbeatTimeout: time.Hour})
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

// Bursts beyond what the fleet serves, with pauses that make up for them. What
// a burst brings in excess is less than the fleet serves in the time that a
// caller stays away (1.5 s of 103 requests a second), so all callers can be
// served, and none that returns is refused again.
func TestCallersRefusedInBurstAreServedOnRetry(t *testing.T) {
	for name, load := range map[string]burstLoad{
		"half over":        {lowPerSecond: 30, highPerSecond: 150, lowMs: 3600, highMs: 2400},
		"long half over":   {lowPerSecond: 30, highPerSecond: 125, lowMs: 6000, highMs: 5000},
		"short and high":   {lowPerSecond: 30, highPerSecond: 220, lowMs: 4500, highMs: 1000},
		"herds at an idle": {lowPerSecond: 10, highPerSecond: 10, lowMs: 3000, highMs: 3000, simultaneous: 120},
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			r := load.simulate(t)
			expect.Expect(r.servedOnRetry).To(BeNumerically(">", 0))
			expect.Expect(r.refusedTwice).To(BeZero())
		})
	}
}

// In a burst of several times what the fleet serves, returns alone exceed it;
// those who are new must still get slots, as they are served without delay:
// half of those of a burst but its first second, and all between bursts, which
// is 0.39 of 793 a period.
func TestBurstFarBeyondCapacityServesNewCallers(t *testing.T) {
	expect := NewWithT(t)
	r := burstLoad{lowPerSecond: 30, highPerSecond: 700, lowMs: 5000, highMs: 5000}.simulate(t)
	served := r.servedFirstTime + r.servedOnRetry
	expect.Expect(float64(served)).To(BeNumerically(">=", 0.9*4000), "slots stand idle")
	expect.Expect(float64(r.servedFirstTime)).To(BeNumerically(">=", 0.39*float64(served)))
}

// Routes come and go; what was learned of their callers goes with them.
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
