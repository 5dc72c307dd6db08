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
	relayStep     = 2 * time.Millisecond
	relayRequests = 300
	relayStreams  = 16
	relayRounds   = 30
	relayPairs    = 3
	// targets of issue 6.
	addedLatencyMS   = 0.3
	addedMicrosToken = 2
)

// relay compares requests through entry and sidecar with direct calls to an
// equal engine, in turn. Everything runs in this process, so that the difference
// of its processor time is what entry and sidecar cost.
func relay(ctx context.Context, seed uint64) (experiment.Result, error) {
	var result experiment.Result
	message, err := loopbackMessageCost()
	if err != nil {
		return result, err
	}
	cost := labengine.Cost{Base: relayStep, PrefillChunk: labengine.DefaultMaxKVTokens}
	cluster, err := startCluster(seed, 1, 1, cost)
	if err != nil {
		return result, err
	}
	defer func() { _ = cluster.Stop() }()
	up, err := startUpstream(labengine.Options{Seed: seed, Cost: cost})
	if err != nil {
		return result, err
	}
	defer func() { _ = up.server.Close() }()
	direct := engine.NewModelClient(up.url, engine.Options{})
	defer direct.Close()
	through := engine.NewModelClient(cluster.EntryURL(0), engine.Options{TargetIsEntry: true})
	defer through.Close()
	directFirst, throughFirst, err := firstTokens(ctx, direct, through)
	if err != nil {
		return result, err
	}
	idle, err := idleShare(ctx)
	if err != nil {
		return result, err
	}
	directCPU, throughCPU, err := tokenCosts(ctx, idle, direct, through)
	if err != nil {
		return result, err
	}
	result.Measures = []experiment.Measure{
		{Name: "relay/loopback-message-cpu", Value: message, Unit: "µs"},
		{Name: "relay/idle-installation-cpu", Value: idle, Unit: "cores"},
		{Name: "relay/first-token-direct-p50", Value: directFirst, Unit: "ms"},
		{Name: "relay/first-token-through-p50", Value: throughFirst, Unit: "ms"},
		{Name: "relay/added-latency-p50", Value: throughFirst - directFirst, Unit: "ms", Bound: experiment.Most(addedLatencyMS)},
		{Name: "relay/cpu-per-token-direct", Value: directCPU, Unit: "µs"},
		{Name: "relay/cpu-per-token-through", Value: throughCPU, Unit: "µs"},
		{Name: "relay/added-cpu-per-token", Value: throughCPU - directCPU, Unit: "µs", Bound: experiment.Most(addedMicrosToken)},
		{Name: "relay/cpu-through-over-direct", Value: throughCPU / directCPU},
	}
	return result, nil
}

// startCluster starts an installation on loopback ports.
func startCluster(seed uint64, entries, sidecars int, cost labengine.Cost) (*devd.Cluster, error) {
	settings := &devd.Settings{Entries: entries, Sidecars: sidecars, LogLevel: "error", Seed: seed, EngineCost: cost}
	settings.BasePort = devd.FreeBasePort(settings.PortCount())
	cluster, err := devd.Start(settings)
	return cluster, eris.Wrap(err, "bench: start the installation")
}

// firstTokens returns the medians of the time to the first token, in
// milliseconds, of requests one after the other that take turns.
func firstTokens(ctx context.Context, direct, through engine.Client) (float64, float64, error) {
	var directTimes, throughTimes []float64
	for i := range relayRequests {
		d, err := firstToken(ctx, direct, fmt.Sprint("direct-", i))
		if err != nil {
			return 0, 0, err
		}
		t, err := firstToken(ctx, through, fmt.Sprint("through-", i))
		if err != nil {
			return 0, 0, err
		}
		directTimes = append(directTimes, d)
		throughTimes = append(throughTimes, t)
	}
	return experiment.Median(directTimes), experiment.Median(throughTimes), nil
}

func firstToken(ctx context.Context, client engine.Client, id string) (float64, error) {
	const tokens = 2
	began := time.Now()
	var first time.Duration
	result := client.Run(ctx, completionRequest(id, devd.ModelServiceName, tokens), func(part engine.ResponsePart) error {
		if data, ok := part.(engine.ResponseData); ok && data.Tokens > 0 && first == 0 {
			first = time.Since(began)
		}
		return nil
	})
	if !result.Complete || result.Tokens != tokens {
		return 0, eris.Errorf("bench: request %s: status %d, %d tokens: %v", id, result.Status, result.Tokens, result.Err)
	}
	return float64(first) / float64(time.Millisecond), nil
}

// tokenCosts returns the medians of the processor time for each token, in
// microseconds, of rounds that take turns, less the idle installation's.
func tokenCosts(ctx context.Context, idle float64, direct, through engine.Client) (float64, float64, error) {
	var directCosts, throughCosts []float64
	for range relayPairs {
		d, err := tokenCost(ctx, idle, direct, devd.ModelServiceName, relayStreams, relayRounds)
		if err != nil {
			return 0, 0, err
		}
		t, err := tokenCost(ctx, idle, through, devd.ModelServiceName, relayStreams, relayRounds)
		if err != nil {
			return 0, 0, err
		}
		directCosts = append(directCosts, d)
		throughCosts = append(throughCosts, t)
	}
	return experiment.Median(directCosts), experiment.Median(throughCosts), nil
}
