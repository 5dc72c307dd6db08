package dispatch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// overload is a pattern of bursts at a fleet that serves 100 requests a second.
type overload struct {
	low, high     float64 // requests a second
	lowMs, highMs int
	herd          int // requests at once, in the middle of each pause
}

type overloadResult struct {
	asked, servedAtOnce, servedOnReturn, refusedTwice int
}

// play lets callers with a deadline of 5 s come, return once after the time
// that they were given, and leave for good when they are refused again.
func (o overload) play(t *testing.T) overloadResult {
	t.Helper()
	const (
		stepMs     = 5
		lastMs     = 60_000
		shortestMs = 400
		longestMs  = 1000
		deadline   = 5 * time.Second
		patience   = deadline / 3
		objective  = 300 * time.Millisecond
		queueWait  = objective / 4
		upstreams  = 9
		slotsEach  = 8
		returnFlag = uint64(1) << 32
	)
	p := New(Options{DataCentre: "near", Seed: 1, BatchReserve: 1, PeerTimeout: time.Second, HeartbeatTimeout: time.Hour})
	for i := range upstreams {
		p.UpdateUpstream(readyUpstream("u"+strconv.Itoa(i), "near", slotsEach))
	}
	random := rand.New(rand.NewPCG(3, 5))
	var result overloadResult
	running := map[int][]Grant{}
	returning := map[int][]uint64{}
	arrived := map[uint64]int{}
	next := uint64(0)
	ask := func(now int, id uint64, left time.Duration) {
		p.Request(timeAt(now), SlotRequest{ID: id, Service: "s", Class: Online, MaxWait: queueWait, RetryMaxWait: objective, TimeToDeadline: left})
	}
	for now := 0; now < lastMs; now += stepMs {
		for _, g := range running[now] {
			p.Release(timeAt(now), g, Served)
		}
		phase := now % (o.lowMs + o.highMs)
		perSecond := o.low
		if phase >= o.lowMs {
			perSecond = o.high
		}
		fresh := 0
		for expected := perSecond * stepMs / 1000; random.Float64() < expected; expected-- {
			fresh++
		}
		if phase == o.lowMs/2/stepMs*stepMs {
			fresh += o.herd
		}
		asks := returning[now]
		for range fresh {
			next++
			arrived[next] = now
			result.asked++
			asks = append(asks, next)
		}
		random.Shuffle(len(asks), func(i, j int) { asks[i], asks[j] = asks[j], asks[i] })
		for _, id := range asks {
			ask(now, id, deadline-time.Duration(now-arrived[id&^returnFlag])*time.Millisecond)
		}
		p.Tick(timeAt(now))
		granted, refused := p.Drain()
		for _, g := range granted {
			end := now + (shortestMs+random.IntN(longestMs-shortestMs))/stepMs*stepMs
			running[end] = append(running[end], g)
			if g.SlotRequestID&returnFlag != 0 {
				result.servedOnReturn++
			} else {
				result.servedAtOnce++
			}
		}
		for _, r := range refused {
			if r.SlotRequestID&returnFlag != 0 {
				result.refusedTwice++
				continue
			}
			due := now + int(min(r.RetryAfter, patience).Milliseconds())
			due += stepMs - due%stepMs
			returning[due] = append(returning[due], r.SlotRequestID|returnFlag)
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
	for name, load := range map[string]overload{
		"half over":        {low: 30, high: 150, lowMs: 3600, highMs: 2400},
		"long half over":   {low: 30, high: 125, lowMs: 6000, highMs: 5000},
		"short and high":   {low: 30, high: 220, lowMs: 4500, highMs: 1000},
		"herds at an idle": {low: 10, high: 10, lowMs: 3000, highMs: 3000, herd: 120},
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			r := load.play(t)
			expect.Expect(r.servedOnReturn).To(BeNumerically(">", 0))
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
	r := overload{low: 30, high: 700, lowMs: 5000, highMs: 5000}.play(t)
	served := r.servedAtOnce + r.servedOnReturn
	expect.Expect(float64(served)).To(BeNumerically(">=", 0.9*4000), "slots stand idle")
	expect.Expect(float64(r.servedAtOnce)).To(BeNumerically(">=", 0.39*float64(served)))
}

// Routes come and go; what was learned of their callers goes with them.
func TestIdleRoutesExpire(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(readyUpstream("a", "near", 8))
	for i := range 100 {
		now := start.Add(time.Duration(i) * peakWindow)
		ask := onlineRequest(uint64(i), 0)
		ask.Route, ask.TimeToDeadline = strconv.Itoa(i), time.Second
		g, _ := requestSlot(p, now, ask)
		p.Release(now, *g, Served)
	}
	expect.Expect(len(p.maxTimeToDeadline)).To(BeNumerically("<=", 3))
}
