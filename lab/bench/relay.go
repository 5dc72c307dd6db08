package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/devd"
	"github.com/briarcross/briarcross/engine"
	labengine "github.com/briarcross/briarcross/lab/engine"
	"github.com/briarcross/briarcross/lab/experiment"
)

const (
	relayStepTime = 2 * time.Millisecond
	relayRequests = 300
	relayStreams  = 16
	relayRounds   = 30
	relayRepeats  = 3
	// Targets of issue 6.
	maxAddedLatencyMs      = 0.3
	maxAddedMicrosPerToken = 2
)

// measureRelay alternates between requests through entry and sidecar and direct
// requests to an equal engine, and compares them. Everything runs in this
// process, so the difference in its processor time is the cost of entry and
// sidecar.
func measureRelay(ctx context.Context, seed uint64) (experiment.Result, error) {
	var result experiment.Result
	messageCPU, err := loopbackMessageCPU()
	if err != nil {
		return result, err
	}
	cost := labengine.CostModel{Base: relayStepTime, PrefillChunk: labengine.DefaultMaxKVTokens}
	cluster, err := startCluster(seed, 1, 1, cost)
	if err != nil {
		return result, err
	}
	defer func() { _ = cluster.Stop() }()
	fake, err := startFakeEngine(labengine.Options{Seed: seed, Cost: cost})
	if err != nil {
		return result, err
	}
	defer func() { _ = fake.server.Close() }()
	direct := engine.NewModelClient(fake.url, engine.Options{})
	defer direct.Close()
	relayed := engine.NewModelClient(cluster.EntryURL(0), engine.Options{TargetIsEntry: true})
	defer relayed.Close()
	directFirstToken, relayedFirstToken, err := medianFirstTokenTimes(ctx, direct, relayed)
	if err != nil {
		return result, err
	}
	idleCores, err := measureIdleCores(ctx)
	if err != nil {
		return result, err
	}
	directCPU, relayedCPU, err := medianCPUPerToken(ctx, idleCores, direct, relayed)
	if err != nil {
		return result, err
	}
	result.Measures = []experiment.Measure{
		{Name: "relay/loopback-message-cpu", Value: messageCPU, Unit: "µs"},
		{Name: "relay/idle-installation-cpu", Value: idleCores, Unit: "cores"},
		{Name: "relay/first-token-direct-p50", Value: directFirstToken, Unit: "ms"},
		{Name: "relay/first-token-through-p50", Value: relayedFirstToken, Unit: "ms"},
		{Name: "relay/added-latency-p50", Value: relayedFirstToken - directFirstToken, Unit: "ms", Bound: experiment.UpperBound(maxAddedLatencyMs)},
		{Name: "relay/cpu-per-token-direct", Value: directCPU, Unit: "µs"},
		{Name: "relay/cpu-per-token-through", Value: relayedCPU, Unit: "µs"},
		{Name: "relay/added-cpu-per-token", Value: relayedCPU - directCPU, Unit: "µs", Bound: experiment.UpperBound(maxAddedMicrosPerToken)},
		{Name: "relay/cpu-through-over-direct", Value: relayedCPU / directCPU},
	}
	return result, nil
}

// startCluster starts an installation with fake engines on loopback ports.
func startCluster(seed uint64, entries, sidecars int, cost labengine.CostModel) (*devd.Cluster, error) {
	settings := &devd.Settings{Entries: entries, Sidecars: sidecars, LogLevel: "error", Seed: seed, EngineCost: cost}
	settings.BasePort = devd.FreeBasePort(settings.PortCount())
	cluster, err := devd.Start(settings)
	return cluster, eris.Wrap(err, "bench: start the installation")
}

// medianFirstTokenTimes returns the median times to the first token, in
// milliseconds, of direct and relayed requests. Requests run one at a time and
// alternate between the two clients.
func medianFirstTokenTimes(ctx context.Context, direct, relayed engine.Client) (float64, float64, error) {
	var directTimes, relayedTimes []float64
	for i := range relayRequests {
		d, err := firstTokenTime(ctx, direct, fmt.Sprint("direct-", i))
		if err != nil {
			return 0, 0, err
		}
		t, err := firstTokenTime(ctx, relayed, fmt.Sprint("through-", i))
		if err != nil {
			return 0, 0, err
		}
		directTimes = append(directTimes, d)
		relayedTimes = append(relayedTimes, t)
	}
	return experiment.Median(directTimes), experiment.Median(relayedTimes), nil
}

func firstTokenTime(ctx context.Context, client engine.Client, id string) (float64, error) {
	const tokens = 2
	start := time.Now()
	var first time.Duration
	result := client.Run(ctx, completionRequest(id, devd.ModelServiceName, tokens), func(part engine.ResponsePart) error {
		if data, ok := part.(engine.ResponseData); ok && data.Tokens > 0 && first == 0 {
			first = time.Since(start)
		}
		return nil
	})
	if !result.Complete || result.Tokens != tokens {
		return 0, eris.Errorf("bench: run request %s: status %d, %d tokens: %v", id, result.Status, result.Tokens, result.Err)
	}
	return float64(first) / float64(time.Millisecond), nil
}

// medianCPUPerToken returns the median processor times per token, in
// microseconds, of direct and relayed requests, without the processor time of
// the idle installation. Rounds alternate between the two clients.
func medianCPUPerToken(ctx context.Context, idleCores float64, direct, relayed engine.Client) (float64, float64, error) {
	var directCosts, relayedCosts []float64
	for range relayRepeats {
		d, err := cpuPerToken(ctx, idleCores, direct, devd.ModelServiceName, relayStreams, relayRounds)
		if err != nil {
			return 0, 0, err
		}
		t, err := cpuPerToken(ctx, idleCores, relayed, devd.ModelServiceName, relayStreams, relayRounds)
		if err != nil {
			return 0, 0, err
		}
		directCosts = append(directCosts, d)
		relayedCosts = append(relayedCosts, t)
	}
	return experiment.Median(directCosts), experiment.Median(relayedCosts), nil
}
