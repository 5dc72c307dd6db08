package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/briarcross/briarcross/gate"
	"github.com/briarcross/briarcross/pb"
)

const (
	gateRequests        = 20_000
	gateRequestInterval = 500 * time.Microsecond
	requestsPerTick     = 20
	// requestsPerMember is below the window of a member (32).
	requestsPerMember = 20
)

// gateProfiles returns the same profile for every service.
type gateProfiles struct{ profile *pb.Profile }

// ProfileOf implements gate.Profiles.
func (p gateProfiles) ProfileOf(service string) (*pb.Service, *pb.Profile, *pb.Profile, bool) {
	return &pb.Service{Name: service}, p.profile, nil, true
}

func newGate(seed uint64, members int) *gate.Gate {
	profile := &pb.Profile{
		FirstTokenMs: 350, BetweenTokensMs: 66, DueMs: 60_000, QueueMs: 1000,
		MaxAttempts: 3, RetryBudgetPermille: 100, HarmPermille: 50,
	}
	g := gate.New(gate.Options{DataCentre: "lulea", Seed: seed})
	g.Step(startTime, gate.ProfilesChanged{Profiles: gateProfiles{profile}})
	g.Step(startTime, gate.ReadinessChanged{Ready: true})
	for i := range members {
		g.Step(startTime, gate.MemberChanged{Member: &pb.Member{
			Id: fmt.Sprintf("sidecar-%05d", i), Incarnation: 1, Version: 1, Address: address(i),
			DataCentre: "lulea", Services: []string{"dam-watch"}, State: pb.MemberState_MEMBER_SERVING,
			Load: &pb.Load{Window: 32},
		}})
	}
	return g
}

func gateRequest(i int) gate.Request {
	return gate.Request{
		ID: fmt.Sprintf("request-%07d", i), Caller: fmt.Sprintf("caller-%d", i%100), Service: "dam-watch",
		Idempotent: true, PromptTokens: 400, MaxTokens: 64,
		PrefixHashes: []uint64{uint64(i % 50), uint64(i%50) + 1000, uint64(i)},
	}
}

// openAttempt passes a request to the gate and returns the attempt that the gate
// sends.
func openAttempt(g *gate.Gate, now time.Time, request gate.Request) gate.Send {
	g.Step(now, gate.RequestArrived{Request: request})
	for _, out := range g.Drain() {
		if send, ok := out.(gate.Send); ok {
			return send
		}
	}
	panic("capacity: the gate sent no attempt of " + request.ID)
}

// gateCosts measures the processor time of a request by the number of members, and
// the memory of requests in flight.
func gateCosts(seed uint64) []CostSeries {
	cpuPerRequest := newCostSeries(GateRequestCPU, "µs a request", "members")
	memory := newCostSeries(GateMemory, "B", "requests in flight")
	for _, members := range []int{10, 40, 160, 640} {
		g := newGate(seed, members)
		var gateCPU cpuMeter
		runtime.GC()
		gateCPU.measure(func() { runGateRequests(g) })
		cpuPerRequest.add(float64(members), gateCPU.microseconds()/gateRequests)
	}
	for _, requests := range []int{1000, 4000, 16_000} {
		g := newGate(seed, requests/requestsPerMember)
		before := heapBytes()
		for i := range requests {
			openAttempt(g, startTime, gateRequest(i))
		}
		memory.add(float64(requests), heapBytes()-before)
		runtime.KeepAlive(g)
	}
	return fitAll(cpuPerRequest, memory)
}

// runGateRequests runs requests one after another through the gate, from arrival
// to the end of the attempt.
func runGateRequests(g *gate.Gate) {
	now := startTime
	for i := range gateRequests {
		now = now.Add(gateRequestInterval)
		send := openAttempt(g, now, gateRequest(i))
		g.Step(now, gate.FirstByte{ID: send.ID, Attempt: send.Attempt})
		g.Drain()
		g.Step(now, gate.AttemptEnded{
			ID: send.ID, Attempt: send.Attempt, Outcome: pb.Outcome_OUTCOME_DONE, Relayed: true, RelayedTokens: 64,
			Load: &pb.Load{Window: 32, FirstTokenUs: 90_000, BetweenTokensUs: 12_000},
		})
		g.Drain()
		if i%requestsPerTick == 0 {
			g.Tick(now)
			g.Drain()
		}
	}
}
