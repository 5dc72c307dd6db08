package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/devd"
	"github.com/briarcross/briarcross/engine"
	labengine "github.com/briarcross/briarcross/lab/engine"
	"github.com/briarcross/briarcross/lab/experiment"
	"github.com/briarcross/briarcross/lab/load"
	"github.com/briarcross/briarcross/pb"
)

const (
	mixSidecars           = 3
	mixEntries            = 2
	mixWarmUpTime         = 5 * time.Second
	mixDuration           = 15 * time.Second
	mixRequestsPerSecond  = 12
	mixMaxTokens          = 64
	mixItems              = 20_000
	mixItemMaxTokens      = 96
	maxLatencyRatio       = 1.05
	minBatchCapacityShare = 0.95
	pathBatches           = "/v1/batches"
	cancelSuffix          = "/cancel"
)

// measureMix measures the latency of online requests without and with batch work,
// and compares the batch throughput with the capacity that online requests leave.
func measureMix(ctx context.Context, seed uint64) (experiment.Result, error) {
	var result experiment.Result
	cluster, err := startCluster(seed, mixEntries, mixSidecars, labengine.DefaultCost())
	if err != nil {
		return result, err
	}
	defer func() { _ = cluster.Stop() }()
	run := &mixRun{cluster: cluster, seed: seed}
	alone, err := run.runOnline(ctx)
	if err != nil {
		return result, err
	}
	jobID, err := run.submitJob(ctx)
	if err != nil {
		return result, err
	}
	batchAloneRate, err := run.batchTokenRate(ctx)
	if err != nil {
		return result, err
	}
	before, start := run.generatedTokens(), time.Now()
	withBatch, err := run.runOnline(ctx)
	if err != nil {
		return result, err
	}
	totalRate := float64(run.generatedTokens()-before) / time.Since(start).Seconds()
	if err := run.callEntry(ctx, "POST", pathBatches+"/"+jobID+cancelSuffix, nil, &struct{}{}); err != nil {
		return result, err
	}
	onlineRate := float64(withBatch.Classes[0].Tokens) / withBatch.Seconds
	result.Measures = mixMeasures(alone.Classes[0], withBatch.Classes[0], totalRate, onlineRate, batchAloneRate)
	result.Figures = []experiment.Figure{latencyFigure(alone.Classes[0], withBatch.Classes[0])}
	return result, nil
}

func mixMeasures(alone, withBatch load.ClassReport, totalRate, onlineRate, batchAloneRate float64) []experiment.Measure {
	ratio := func(a, b float64) float64 { return a / max(b, 1e-9) }
	return []experiment.Measure{
		{Name: "mix/first-token-alone-p50", Value: alone.FirstToken.P50, Unit: "ms"},
		{Name: "mix/first-token-alone-p99", Value: alone.FirstToken.P99, Unit: "ms"},
		{Name: "mix/first-token-beside-batch-p50", Value: withBatch.FirstToken.P50, Unit: "ms"},
		{Name: "mix/first-token-beside-batch-p99", Value: withBatch.FirstToken.P99, Unit: "ms"},
		{Name: "mix/first-token-p99-ratio", Value: ratio(withBatch.FirstToken.P99, alone.FirstToken.P99), Bound: experiment.UpperBound(maxLatencyRatio)},
		{Name: "mix/between-tokens-p99-ratio", Value: ratio(withBatch.BetweenTokens.P99, alone.BetweenTokens.P99), Bound: experiment.UpperBound(maxLatencyRatio)},
		{Name: "mix/online-done", Value: ratio(float64(withBatch.Done), float64(withBatch.Planned)), Bound: experiment.LowerBound(1)},
		{Name: "mix/batch-alone", Value: batchAloneRate, Unit: "tokens/s"},
		{Name: "mix/batch-beside-online", Value: totalRate - onlineRate, Unit: "tokens/s"},
		{Name: "mix/batch-share-of-capacity-left", Value: ratio(totalRate-onlineRate, batchAloneRate-onlineRate), Bound: experiment.LowerBound(minBatchCapacityShare)},
	}
}

func latencyFigure(alone, withBatch load.ClassReport) experiment.Figure {
	percentiles := []float64{50, 95, 99}
	values := func(p load.Percentiles) []float64 { return []float64{p.P50, p.P95, p.P99} }
	return experiment.Figure{
		Name: "mix-first-token", Title: "Time to the first token of online requests",
		XLabel: "percentile", YLabel: "ms",
		Series: []experiment.Series{
			{Name: "alone", X: percentiles, Y: values(alone.FirstToken)},
			{Name: "beside batch", X: percentiles, Y: values(withBatch.FirstToken)},
		},
	}
}

type mixRun struct {
	cluster *devd.Cluster
	seed    uint64
}

// runOnline runs the online load and fails if its report contains violations.
func (m *mixRun) runOnline(ctx context.Context) (*load.Report, error) {
	plan := &load.Plan{Seed: m.seed, Duration: mixDuration, MaxInFlight: load.DefaultMaxInFlight}
	for i := range mixEntries {
		plan.Targets = append(plan.Targets, m.cluster.EntryURL(i))
	}
	plan.Classes = []load.Class{{
		Name: "inspectors", Kind: load.Online, Service: devd.ModelServiceName, Rate: mixRequestsPerSecond,
		Prompt: load.Prompt{Bytes: 1600, Prefixes: 8, PrefixBytes: 800}, MaxTokens: mixMaxTokens, Timeout: load.DefaultTimeout,
	}}
	report, err := load.NewRunner(plan).Run(ctx)
	if err != nil {
		return nil, err
	}
	if len(report.Violations) > 0 {
		return nil, eris.Errorf("bench: online load has %d violations, first: %s", len(report.Violations), report.Violations[0])
	}
	return report, nil
}

// generatedTokens returns the number of tokens that all engines have generated.
func (m *mixRun) generatedTokens() uint64 {
	var sum uint64
	for _, e := range m.cluster.Engines {
		sum += e.Counters().Tokens
	}
	return sum
}

// batchTokenRate returns the tokens per second of batch work without online
// requests. It first waits until batch work has filled the engines.
func (m *mixRun) batchTokenRate(ctx context.Context) (float64, error) {
	if err := sleep(ctx, mixWarmUpTime); err != nil {
		return 0, err
	}
	before, start := m.generatedTokens(), time.Now()
	if err := sleep(ctx, mixDuration); err != nil {
		return 0, err
	}
	return float64(m.generatedTokens()-before) / time.Since(start).Seconds(), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// submitJob submits a job that is too large to finish during the run, and
// returns its ID.
func (m *mixRun) submitJob(ctx context.Context) (string, error) {
	var lines bytes.Buffer
	for i := range mixItems {
		_, _ = fmt.Fprintf(&lines, `{"custom_id":"item-%d","method":"POST","url":"/v1/completions","body":`+
			`{"model":%q,"prompt":"record %d of the night's sensor log","max_tokens":%d}}`+"\n",
			i, devd.ModelServiceName, i, mixItemMaxTokens)
	}
	var job struct {
		ID string `json:"id"`
	}
	if err := m.callEntry(ctx, "POST", pathBatches, lines.Bytes(), &job); err != nil {
		return "", err
	}
	return job.ID, nil
}

func (m *mixRun) callEntry(ctx context.Context, method, path string, body []byte, response any) error {
	entryClient := engine.NewPlainClient(m.cluster.EntryURL(0), engine.Options{})
	defer entryClient.Close()
	request := engine.Request{
		Method: method, Path: path, Body: body,
		Headers: []*pb.HeaderField{{Name: "Content-Type", Value: "application/jsonl"}},
	}
	var responseBody bytes.Buffer
	result := entryClient.Run(ctx, request, func(part engine.ResponsePart) error {
		if data, ok := part.(engine.ResponseData); ok {
			responseBody.Write(data.Payload)
		}
		return nil
	})
	if result.Err != nil {
		return result.Err
	}
	if result.Status >= 400 {
		return eris.Errorf("bench: %s %s: status %d: %s", method, path, result.Status, responseBody.String())
	}
	return eris.Wrap(json.Unmarshal(responseBody.Bytes(), response), "bench: decode response")
}
