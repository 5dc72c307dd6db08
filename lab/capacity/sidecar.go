package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
)

const (
	sidecarWindow   = 32
	sidecarRequests = 9600
	tokenInterval   = 12 * time.Millisecond
)

func newSidecar(window int) *sidecar.Sidecar {
	return sidecar.New(sidecar.Options{
		Incarnation: 1, Services: []string{"dam-watch"},
		InitialWindow: window, MinWindow: window, MaxWindow: window, MaxQueue: 1 << 20,
	})
}

func sidecarWork(i int) sidecar.Work {
	return sidecar.Work{
		ID:    sidecar.AttemptID{RequestID: fmt.Sprintf("request-%07d", i), Attempt: 1},
		Class: sidecar.Online, Service: "dam-watch", Caller: "caller", PromptTokens: 400, MaxTokens: 64,
		FirstTokenTarget: 350 * time.Millisecond, BetweenTokensTarget: 66 * time.Millisecond, Idempotent: true,
		PrefixHashes: []uint64{uint64(i % 50), uint64(i)}, HarmPermille: 50,
	}
}

// sidecarCosts measures the processor time of a request by its tokens, and the
// memory of queued and running requests.
func sidecarCosts() []CostSeries {
	cpuPerRequest := newCostSeries(SidecarRequestCPU, "µs a request", "tokens")
	memory := newCostSeries(SidecarMemory, "B", "requests")
	for _, tokens := range []int{8, 32, 128, 512} {
		var sidecarCPU cpuMeter
		runtime.GC()
		sidecarCPU.measure(func() { runSidecarRequests(tokens) })
		cpuPerRequest.add(float64(tokens), sidecarCPU.microseconds()/sidecarRequests)
	}
	for _, requests := range []int{1000, 4000, 16_000} {
		s := newSidecar(sidecarWindow)
		before := heapBytes()
		for i := range requests {
			s.Step(startTime, sidecar.Submit{Work: sidecarWork(i)})
		}
		s.Drain()
		memory.add(float64(requests), heapBytes()-before)
		runtime.KeepAlive(s)
	}
	return fitAll(cpuPerRequest, memory)
}

// runSidecarRequests runs requests through a sidecar from submission to their end.
// A full window of requests runs at a time, and each step of the engine produces
// one token of each request.
func runSidecarRequests(tokens int) {
	core := newSidecar(sidecarWindow)
	now := startTime
	for first := 0; first < sidecarRequests; first += sidecarWindow {
		for i := range sidecarWindow {
			core.Step(now, sidecar.Submit{Work: sidecarWork(first + i)})
		}
		started := startedIDs(core.Drain())
		if len(started) != sidecarWindow {
			panic(fmt.Sprintf("capacity: the sidecar started %d of %d requests", len(started), sidecarWindow))
		}
		for range tokens {
			now = now.Add(tokenInterval)
			for _, id := range started {
				core.Step(now, sidecar.TokensProduced{ID: id, Count: 1})
			}
			core.Tick(now)
			core.Drain()
		}
		for _, id := range started {
			core.Step(now, sidecar.RunEnded{ID: id, Outcome: pb.Outcome_OUTCOME_DONE})
		}
		core.Drain()
	}
}

func startedIDs(outputs []sidecar.Output) []sidecar.AttemptID {
	var ids []sidecar.AttemptID
	for _, out := range outputs {
		if start, ok := out.(sidecar.Start); ok {
			ids = append(ids, start.ID)
		}
	}
	return ids
}
