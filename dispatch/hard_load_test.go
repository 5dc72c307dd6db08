package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// hardLoad is a disturbance from 3 s to 6 s of a square wave on 12 daemons and 26 upstreams.
type hardLoad struct {
	// slowFactor is by how much the upstreams are slower, darkUpstreams the number of those
	// that end no request.
	slowFactor, darkUpstreams int
	// resent is the number of callers that come at once at 3 s, as after a loss of entries.
	resent int
}

type hardLoadResult struct {
	callers, served, neverServed, refusals, late int
}

// play returns what callers get that try three times.
func (load hardLoad) play(seed uint64) hardLoadResult {
	const (
		stepMs    = 5
		daemons   = 12
		perSecond = 120
		deadline  = 5 * time.Second
		objective = 300 * time.Millisecond
		tries     = 3
	)
	type caller struct{ arrivedMs, refused int }
	random := rand.New(rand.NewPCG(seed, 7))
	engines := make(map[string]*simulatedEngine)
	var order []string
	for u := range 26 {
		id := fmt.Sprintf("u%02d", u)
		order = append(order, id)
		engines[id] = &simulatedEngine{slots: 8}
	}
	pools := make([][]*Pool, 1)
	for d := range daemons {
		p := New(Options{DataCentre: "near", Seed: seed*100 + uint64(d+1), BatchReserve: 1, PeerTimeout: 5 * time.Second, SummaryTimeout: time.Second})
		for _, id := range order {
			p.UpdateUpstream(readyUpstream(id, "near", 8))
		}
		pools[0] = append(pools[0], p)
	}
	waiting := make(map[uint64]*caller)
	retriesAt := make(map[int][]uint64)
	var result hardLoadResult
	var engineResult fleetResult
	nextID, sequence := uint64(0), uint64(0)
	for nowMs := 0; nowMs < 10_000; nowMs += stepMs {
		now := timeAt(nowMs)
		disturbed := nowMs >= 3000 && nowMs < 6000
		for i, id := range order {
			holdMs := 400 + random.IntN(800)
			if disturbed {
				holdMs *= max(1, load.slowFactor)
			}
			if !disturbed || i >= load.darkUpstreams {
				engines[id].step(nowMs, holdMs, lateMs, &engineResult)
			}
		}
		expected := 0.38 * perSecond * stepMs / 1000
		if (nowMs+5000)%6600 < 2800 {
			expected = 1.84 * perSecond * stepMs / 1000
		}
		newCallers := 0
		for ; random.Float64() < expected; expected-- {
			newCallers++
		}
		if nowMs == 3000 {
			newCallers += load.resent
		}
		ids := retriesAt[nowMs]
		for range newCallers {
			nextID++
			waiting[nextID] = &caller{arrivedMs: nowMs}
			ids = append(ids, nextID)
		}
		result.callers += newCallers
		for _, id := range ids {
			request := onlineRequest(id, objective/4)
			request.RetryMaxWait, request.TimeToDeadline = objective, deadline-time.Duration(nowMs-waiting[id].arrivedMs)*time.Millisecond
			pools[0][random.IntN(daemons)].Request(now, request)
		}
		if nowMs%(2*stepMs) == 0 {
			sequence++
			exchangeReports(now, sequence, pools, false)
		}
		for _, p := range pools[0] {
			p.Tick(now)
			granted, refused := p.Drain()
			for _, g := range granted {
				result.served++
				delete(waiting, g.SlotRequestID)
				engines[g.Upstream].queue = append(engines[g.Upstream].queue, simulatedRun{pool: p, grant: g, arrivedMs: nowMs})
			}
			for _, r := range refused {
				result.refusals++
				c := waiting[r.SlotRequestID]
				c.refused++
				if c.refused == tries {
					result.neverServed++
					continue
				}
				due := nowMs + int(r.RetryAfter.Milliseconds())
				due += stepMs - due%stepMs
				retriesAt[due] = append(retriesAt[due], r.SlotRequestID)
			}
		}
	}
	result.late = engineResult.late
	return result
}

// Callers that are refused during a disturbance must be served on a retry, although new callers
// come meanwhile: all of them while the upstreams that are left suffice, and all but a few
// while these are five times slower.
func TestCallersRefusedInDisturbanceAreNotServed(t *testing.T) {
	for name, c := range map[string]struct {
		load            hardLoad
		mostNeverServed float64
	}{
		"15% of the upstreams dark":   {hardLoad{darkUpstreams: 4}, 0},
		"callers of lost entries":     {hardLoad{resent: 150}, 0},
		"upstreams five times slower": {hardLoad{slowFactor: 5}, 0.02},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := c.load.play(0)
			t.Logf("%+v", r)
			NewWithT(t).Expect(float64(r.neverServed) / float64(r.callers)).To(BeNumerically("<=", c.mostNeverServed))
		})
	}
}
