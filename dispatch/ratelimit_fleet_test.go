package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// rateFleet is a model of daemons that share upstreams with eight slots each, of which some
// state a rate limit. The last daemon runs batch items only.
type rateFleet struct {
	daemons   int
	upstreams int
	limited   int
	perSecond float64
	// onlineRate is the mean number of online requests a second. Unless it is steady, it is
	// two and a half times as high for two seconds of six.
	onlineRate float64
	steady     bool
	// restartAt is when a daemon is replaced by one that knows nothing.
	restartAt time.Duration
}

// rateFleetResult is what the upstreams with a limit got.
type rateFleetResult struct {
	// most is the highest number of requests of one upstream in rateTestWindow, allowed
	// the number that it may get.
	most, allowed int
	// used is the mean rate of the limited upstreams as a share of their limit.
	used float64
	// granted and asked count the online requests of each daemon.
	granted, asked []int
	// batch counts the items that were granted.
	batch int
}

const (
	rateTestWindow  = 4 * time.Second
	rateTestWarmUp  = 3 * time.Second
	rateTestTime    = 15 * time.Second
	rateTestStep    = 10 * time.Millisecond
	rateTestOnline  = 700 * time.Millisecond
	rateTestBatch   = 5 * time.Second
	rateReportDelay = 30 * time.Millisecond
)

// play returns what happened from rateTestWarmUp on. Upstreams state their limit from the
// start, in each answer.
func (f rateFleet) play(seed uint64) rateFleetResult {
	type running struct {
		until time.Time
		pool  int
		grant Grant
	}
	type message struct {
		arrives time.Time
		report  LoadReport
	}
	random := rand.New(rand.NewPCG(seed, 1))
	newDaemon := func(d int, seed uint64) *Pool {
		p := New(Options{Daemon: fmt.Sprint("d", d), DataCentre: "near", Seed: seed, BatchReserve: 1, PeerTimeout: 5 * time.Second, SummaryTimeout: time.Second})
		for i := range f.upstreams {
			p.UpdateUpstream(readyUpstream(fmt.Sprintf("u%02d", i), "near", 8))
		}
		return p
	}
	limited := make(map[string][]time.Time)
	for i := range f.limited {
		limited[fmt.Sprintf("u%02d", i)] = nil
	}
	var pools []*Pool
	for d := range f.daemons {
		pools = append(pools, newDaemon(d, uint64(d+1)))
	}
	result := rateFleetResult{granted: make([]int, f.daemons), asked: make([]int, f.daemons), allowed: int(1.5*f.perSecond*rateTestWindow.Seconds()) + 5}
	incarnations := make([]uint64, f.daemons)
	var requests []running
	var messages []message
	id, sequence := uint64(0), uint64(0)
	for at := time.Duration(0); at < rateTestTime; at += rateTestStep {
		now := start.Add(at)
		counted := at > rateTestWarmUp
		if f.restartAt > 0 && at == f.restartAt {
			pools[0], incarnations[0] = newDaemon(0, 1000), 1
		}
		kept := requests[:0]
		for _, r := range requests {
			if now.Before(r.until) {
				kept = append(kept, r)
				continue
			}
			pools[r.pool].Release(now, r.grant, Served)
		}
		requests = kept
		rate := f.onlineRate
		if !f.steady {
			rate *= 0.25
			if at%(6*time.Second) >= 4*time.Second {
				rate = f.onlineRate * 2.5
			}
		}
		for expected := rate * rateTestStep.Seconds(); expected > 0; expected-- {
			if random.Float64() >= expected {
				continue
			}
			id++
			// The first daemon gets twice as many requests as the others.
			d := max(0, random.IntN(f.daemons)-1)
			if counted {
				result.asked[d]++
			}
			pools[d].Request(now, onlineRequest(id, 75*time.Millisecond))
		}
		runner := pools[f.daemons-1]
		if at%(2*rateTestStep) == 0 {
			id++
			runner.Request(now, SlotRequest{ID: id, Service: "s", Class: Batch})
		}
		sequence++
		for d, p := range pools {
			report := LoadReport{Peer: fmt.Sprint("d", d), Incarnation: incarnations[d], Sequence: sequence, DataCentre: "near", Loads: p.Loads(now)}
			messages = append(messages, message{now.Add(rateReportDelay), report})
		}
		for len(messages) > 0 && !now.Before(messages[0].arrives) {
			for d, p := range pools {
				if messages[0].report.Peer != fmt.Sprint("d", d) {
					p.ApplyLoadReport(now, messages[0].report)
				}
			}
			messages = messages[1:]
		}
		for d, p := range pools {
			p.Tick(now)
			for upstream, count := range p.BatchPreemptions() {
				for i, r := range requests {
					if count > 0 && r.pool == d && r.grant.Class == Batch && r.grant.Upstream == upstream && r.until.After(now) {
						requests[i].until = now
						count--
					}
				}
			}
			granted, _ := p.Drain()
			for _, g := range granted {
				if _, isLimited := limited[g.Upstream]; isLimited {
					limited[g.Upstream] = append(limited[g.Upstream], now)
					p.RecordRate(now, RateNotice{Upstream: g.Upstream, PerSecond: f.perSecond, Source: SourceAnswer})
				}
				hold := rateTestOnline
				if g.Class == Batch {
					hold = rateTestBatch
					if counted {
						result.batch++
					}
				} else if counted {
					result.granted[d]++
				}
				requests = append(requests, running{now.Add(time.Duration((0.5 + random.Float64()) * float64(hold))), d, g})
			}
		}
	}
	sent := 0
	for _, times := range limited {
		first := 0
		for i, at := range times {
			if at.Sub(start) < rateTestWarmUp {
				first = i + 1
				continue
			}
			for at.Sub(times[first]) >= rateTestWindow {
				first++
			}
			result.most = max(result.most, i-first+1)
			sent++
		}
	}
	result.used = float64(sent) / float64(f.limited) / f.perSecond / (rateTestTime - rateTestWarmUp).Seconds()
	return result
}

var rateFleets = map[string]rateFleet{
	"few daemons":      {daemons: 5, upstreams: 18, limited: 13, perSecond: 2.2, onlineRate: 78},
	"many daemons":     {daemons: 22, upstreams: 41, limited: 29, perSecond: 2.2, onlineRate: 210},
	"all limited":      {daemons: 5, upstreams: 9, limited: 9, perSecond: 3, onlineRate: 60},
	"few requests":     {daemons: 22, upstreams: 41, limited: 29, perSecond: 0.4, onlineRate: 210},
	"hardly limited":   {daemons: 5, upstreams: 9, limited: 7, perSecond: 9, onlineRate: 70},
	"restarted daemon": {daemons: 5, upstreams: 9, limited: 9, perSecond: 3, onlineRate: 60, restartAt: 8 * time.Second},
}

// Each daemon placed requests without regard to the rate limit of an upstream, or to what
// the others had sent there.
func TestDaemonsTogetherExceedTheRateLimitOfAnUpstream(t *testing.T) {
	for name, fleet := range rateFleets {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				result := fleet.play(seed)
				t.Logf("%+v", result)
				NewWithT(t).Expect(result.most).To(BeNumerically("<=", result.allowed))
			})
		}
	}
}

// Under a load that the limits do not allow, daemons that leave the next request to each other
// must still use the limits, and each get its share of them.
func TestRateLimitIsNotUsedOrNotShared(t *testing.T) {
	for name, fleet := range map[string]rateFleet{
		"few daemons":  {daemons: 5, upstreams: 13, limited: 13, perSecond: 2.2, onlineRate: 90, steady: true},
		"many daemons": {daemons: 22, upstreams: 29, limited: 29, perSecond: 2.2, onlineRate: 200, steady: true},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				expect := NewWithT(t)
				result := fleet.play(seed)
				t.Logf("%+v", result)
				expect.Expect(result.most).To(BeNumerically("<=", result.allowed))
				expect.Expect(result.used).To(BeNumerically("~", 1, 0.1))
				asked, granted := 0, 0
				for d := range fleet.daemons - 1 {
					asked, granted = asked+result.asked[d], granted+result.granted[d]
				}
				share := float64(granted) / float64(asked)
				for d := range fleet.daemons - 1 {
					expect.Expect(float64(result.granted[d])/float64(result.asked[d])).To(BeNumerically(">=", share/2), "daemon %d", d)
				}
			})
		}
	}
}
