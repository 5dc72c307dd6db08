package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Twenty daemons share 2 upstreams of version 1 and 18 of version 2, which end 80 streams
// per second when they are full. Streams of version 1 that callers take up should be granted at least half
// as often as new ones.
func TestReviewStreamsGoOnHalfAsOftenAsNewOnesBegin(t *testing.T) {
	for _, newRate := range []float64{64, 72, 78, 84, 92} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint("rate ", newRate, " seed ", seed), func(t *testing.T) { playBoundStreams(t, newRate, seed) })
		}
	}
}

func playBoundStreams(t *testing.T, newRate float64, seed uint64) {
	const (
		daemons   = 20
		hold      = 2000 * time.Millisecond
		step      = 10 * time.Millisecond
		duration  = 20 * time.Second
		boundRate = 3.0
	)
	var pools []*Pool
	for d := range daemons {
		p := New(Options{DataCentre: "near", Seed: uint64(d + 1), PeerTimeout: time.Second, SummaryTimeout: time.Second})
		for i := range 20 {
			version := "2"
			if i < 2 {
				version = "1"
			}
			p.UpdateUpstream(versionedUpstream(fmt.Sprintf("u%02d", i), version, 8))
		}
		pools = append(pools, p)
	}
	random := rand.New(rand.NewPCG(1, seed))
	type ending struct {
		at    time.Time
		pool  int
		grant Grant
	}
	var running []ending
	boundIDs := make(map[uint64]bool)
	granted, asked := map[bool]int{}, map[bool]int{}
	refusals := map[string]int{}
	id, sequence := uint64(0), uint64(0)
	for at := time.Duration(0); at < duration; at += step {
		now := start.Add(at)
		kept := running[:0]
		for _, r := range running {
			if now.Before(r.at) {
				kept = append(kept, r)
				continue
			}
			pools[r.pool].Release(now, r.grant, Served)
		}
		running = kept
		ask := func(bound bool) {
			id++
			request := onlineRequest(id, 500*time.Millisecond)
			if bound {
				request = boundRequest(id, "1", time.Second)
				boundIDs[id] = true
			}
			if at > 5*time.Second {
				asked[bound]++
			}
			pools[random.IntN(daemons)].Request(now, request)
		}
		if random.Float64() < newRate*step.Seconds() {
			ask(false)
		}
		if at > 5*time.Second && random.Float64() < boundRate*step.Seconds() {
			ask(true)
		}
		if at%(50*time.Millisecond) == 0 {
			sequence++
			for i, from := range pools {
				report := LoadReport{Peer: fmt.Sprint("d", i), DataCentre: "near", Incarnation: 1, Sequence: sequence, Loads: from.Loads(now)}
				for j, to := range pools {
					if i != j {
						to.ApplyLoadReport(now, report)
					}
				}
			}
		}
		for i, p := range pools {
			p.Tick(now)
			grants, refused := p.Drain()
			for _, g := range grants {
				if at > 5*time.Second {
					granted[boundIDs[g.SlotRequestID]]++
				}
				running = append(running, ending{now.Add(time.Duration((0.5 + random.Float64()) * float64(hold))), i, g})
			}
			for _, r := range refused {
				refusals[fmt.Sprint(boundIDs[r.SlotRequestID], " ", r.Reason)]++
			}
		}
	}
	newShare := float64(granted[false]) / float64(asked[false])
	boundShare := float64(granted[true]) / float64(asked[true])
	t.Logf("new %d of %d (%.2f), bound %d of %d (%.2f), refusals %v", granted[false], asked[false], newShare, granted[true], asked[true], boundShare, refusals)
	NewWithT(t).Expect(boundShare).To(BeNumerically(">=", newShare/2))
}
