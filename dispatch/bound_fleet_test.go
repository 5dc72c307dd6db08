package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// streamKind is whether a stream is new or, if it is taken up, which version began it.
type streamKind string

const newStream streamKind = "new"

// versionFleet is a model of daemons that share 20 upstreams of two software versions,
// which end 80 streams per second when they are full.
type versionFleet struct {
	daemons int
	// firstVersion is the number of upstreams of version 1.
	firstVersion int
	// newRate and takenUpRate are the streams per second that begin and that callers
	// take up at version 1.
	newRate     float64
	takenUpRate float64
	// killed daemons end at killAt. If takeUp is set, their callers take all streams up
	// within a second, and the rest of a stream lasts as long as it would have.
	killed int
	takeUp bool
}

// versionFleetResult counts streams, by kind.
type versionFleetResult struct {
	asked   map[streamKind]int
	granted map[streamKind]int
	refused map[streamKind]int
}

func (r versionFleetResult) share(kind streamKind) float64 {
	return float64(r.granted[kind]) / float64(r.asked[kind])
}

// play returns the streams of the seconds from 5 to 20, or, if daemons are killed, those
// from killAt to 12.
func (f versionFleet) play(seed uint64) versionFleetResult {
	const (
		hold      = 2000 * time.Millisecond
		step      = 10 * time.Millisecond
		warmUp    = 5 * time.Second
		killAt    = 8 * time.Second
		maxReturn = time.Second
	)
	duration := 20 * time.Second
	if f.killed > 0 {
		duration = 12 * time.Second
	}
	var pools []*Pool
	for d := range f.daemons {
		p := New(Options{DataCentre: "near", Seed: uint64(d + 1), PeerTimeout: time.Second, SummaryTimeout: time.Second})
		for i := range 20 {
			version := "2"
			if i < f.firstVersion {
				version = "1"
			}
			p.UpdateUpstream(versionedUpstream(fmt.Sprintf("u%02d", i), version, 8))
		}
		pools = append(pools, p)
	}
	// Arrivals do not depend on what is granted, so that runs of one seed can be compared.
	arrivals, holds := rand.New(rand.NewPCG(1, seed)), rand.New(rand.NewPCG(2, seed))
	type running struct {
		until time.Time
		pool  int
		grant Grant
	}
	type returning struct {
		at      time.Duration
		version string
		rest    time.Duration
	}
	result := versionFleetResult{make(map[streamKind]int), make(map[streamKind]int), make(map[streamKind]int)}
	kinds := make(map[uint64]streamKind)
	rests := make(map[uint64]time.Duration)
	var streams []running
	var callers []returning
	id, sequence, first := uint64(0), uint64(0), 0
	for at := time.Duration(0); at < duration; at += step {
		now := start.Add(at)
		counted := at > warmUp && (f.killed == 0 || at >= killAt)
		if f.killed > 0 && at == killAt {
			first = f.killed
			kept := streams[:0]
			for _, s := range streams {
				switch {
				case s.pool >= first:
					kept = append(kept, s)
				case f.takeUp:
					callers = append(callers, returning{at + time.Duration(holds.Float64()*float64(maxReturn)), s.grant.SoftwareVersion, s.until.Sub(now)})
				}
			}
			streams = kept
		}
		kept := streams[:0]
		for _, s := range streams {
			if now.Before(s.until) {
				kept = append(kept, s)
				continue
			}
			pools[s.pool].Release(now, s.grant, Served)
		}
		streams = kept
		ask := func(random *rand.Rand, kind streamKind, request SlotRequest) {
			kinds[request.ID] = kind
			if counted {
				result.asked[kind]++
			}
			pools[first+random.IntN(f.daemons-first)].Request(now, request)
		}
		if arrivals.Float64() < f.newRate*step.Seconds() {
			id++
			ask(arrivals, newStream, onlineRequest(id, 500*time.Millisecond))
		}
		if arrivals.Float64() < f.takenUpRate*step.Seconds() && at > warmUp {
			id++
			ask(arrivals, "1", boundRequest(id, "1", time.Second))
		}
		for _, c := range callers {
			if c.at >= at && c.at < at+step {
				id++
				rests[id] = c.rest
				ask(holds, streamKind(c.version), boundRequest(id, c.version, time.Second))
			}
		}
		if at%(50*time.Millisecond) == 0 {
			sequence++
			for i, from := range pools[first:] {
				report := LoadReport{Peer: fmt.Sprint("d", first+i), DataCentre: "near", Incarnation: 1, Sequence: sequence, Loads: from.Loads(now)}
				for j, to := range pools[first:] {
					if i != j {
						to.ApplyLoadReport(now, report)
					}
				}
			}
		}
		for i := first; i < f.daemons; i++ {
			pools[i].Tick(now)
			grants, refused := pools[i].Drain()
			for _, g := range grants {
				if counted {
					result.granted[kinds[g.SlotRequestID]]++
				}
				lasts, takenUp := rests[g.SlotRequestID]
				if !takenUp {
					lasts = time.Duration((0.5 + holds.Float64()) * float64(hold))
				}
				streams = append(streams, running{now.Add(lasts), i, g})
			}
			for _, r := range refused {
				if counted {
					result.refused[kinds[r.SlotRequestID]]++
				}
			}
		}
	}
	return result
}

// Streams that callers take up should be granted at least half as often as new ones.
func TestStreamsGoOnHalfAsOftenAsNewOnesBegin(t *testing.T) {
	for _, newRate := range []float64{64, 72, 78, 84, 92} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint("rate ", newRate, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				fleet := versionFleet{daemons: 20, firstVersion: 2, newRate: newRate, takenUpRate: 3}
				result := fleet.play(seed)
				t.Log(result)
				NewWithT(t).Expect(result.share("1")).To(BeNumerically(">=", result.share(newStream)/2))
			})
		}
	}
}

// Half of the entries end at once. The streams taken up must starve neither new ones nor
// those of the other version.
func TestManyStreamsThatGoOnStarveNoOthers(t *testing.T) {
	for _, firstVersion := range []int{2, 10, 18} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(firstVersion, " upstreams seed ", seed), func(t *testing.T) {
				t.Parallel()
				expect := NewWithT(t)
				fleet := versionFleet{daemons: 20, firstVersion: firstVersion, newRate: 64, killed: 10}
				alone := fleet.play(seed)
				fleet.takeUp = true
				result := fleet.play(seed)
				t.Log("alone", alone, "with streams taken up", result)
				expect.Expect(result.asked[newStream]).To(Equal(alone.asked[newStream]))
				expect.Expect(result.share(newStream)).To(BeNumerically(">=", 0.9*alone.share(newStream)))
				for _, version := range []streamKind{"1", "2"} {
					expect.Expect(result.share(version)).To(BeNumerically(">=", result.share(newStream)/2), string(version))
				}
			})
		}
	}
}
