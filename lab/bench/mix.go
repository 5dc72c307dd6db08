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
	mixSidecars  = 3
	mixEntries   = 2
	mixSettle    = 5 * time.Second
	mixTime      = 15 * time.Second
	mixRate      = 12
	mixTokens    = 64
	mixItems     = 20_000
	itemTokens   = 96
	harmRatio    = 1.05
	batchShare   = 0.95
	pathBatches  = "/v1/batches"
	cancelSuffix = "/cancel"
)

// mix measures online latency alone and beside batch work, and the batch work
// done against the capacity that online work leaves.
func mix(ctx context.Context, seed uint64) (experiment.Result, error) {
	var result experiment.Result
	cluster, err := startCluster(seed, mixEntries, mixSidecars, labengine.DefaultCost())
	if err != nil {
		return result, err
	}
	defer func() { _ = cluster.Stop() }()
	m := &mixRun{cluster: cluster, seed: seed}
	alone, err := m.online(ctx)
	if err != nil {
		return result, err
	}
	job, err := m.submit(ctx)
	if err != nil {
		return result, err
	}
	batchOnly, err := m.batchRate(ctx)
	if err != nil {
		return result, err
	}
	before, began := m.tokens(), time.Now()
	beside, err := m.online(ctx)
	if err != nil {
		return result, err
	}
	all := float64(m.tokens()-before) / time.Since(began).Seconds()
	if err := m.call(ctx, "POST", pathBatches+"/"+job+cancelSuffix, nil, &struct{}{}); err != nil {
		return result, err
	}
	onlineRate := float64(beside.Classes[0].Tokens) / beside.Seconds
	result.Measures = mixMeasures(alone.Classes[0], beside.Classes[0], all, onlineRate, batchOnly)
	result.Figures = []experiment.Figure{latencyFigure(alone.Classes[0], beside.Classes[0])}
	return result, nil
}

func mixMeasures(alone, beside load.ClassReport, all, online, batchOnly float64) []experiment.Measure {
	ratio := func(a, b float64) float64 { return a / max(b, 1e-9) }
	return []experiment.Measure{
		{Name: "mix/first-token-alone-p50", Value: alone.FirstToken.P50, Unit: "ms"},
		{Name: "mix/first-token-alone-p99", Value: alone.FirstToken.P99, Unit: "ms"},
		{Name: "mix/first-token-beside-batch-p50", Value: beside.FirstToken.P50, Unit: "ms"},
		{Name: "mix/first-token-beside-batch-p99", Value: beside.FirstToken.P99, Unit: "ms"},
		{Name: "mix/first-token-p99-ratio", Value: ratio(beside.FirstToken.P99, alone.FirstToken.P99), Bound: experiment.Most(harmRatio)},
		{Name: "mix/between-tokens-p99-ratio", Value: ratio(beside.BetweenTokens.P99, alone.BetweenTokens.P99), Bound: experiment.Most(harmRatio)},
		{Name: "mix/online-done", Value: ratio(float64(beside.Done), float64(beside.Planned)), Bound: experiment.Least(1)},
		{Name: "mix/batch-alone", Value: batchOnly, Unit: "tokens/s"},
		{Name: "mix/batch-beside-online", Value: all - online, Unit: "tokens/s"},
		{Name: "mix/batch-share-of-capacity-left", Value: ratio(all-online, batchOnly-online), Bound: experiment.Least(batchShare)},
	}
}

func latencyFigure(alone, beside load.ClassReport) experiment.Figure {
	percents := []float64{50, 95, 99}
	values := func(p load.Percentiles) []float64 { return []float64{p.P50, p.P95, p.P99} }
	return experiment.Figure{
		Name: "mix-first-token", Title: "Time to the first token of online requests",
		XLabel: "percentile", YLabel: "ms",
		Series: []experiment.Series{
			{Name: "alone", X: percents, Y: values(alone.FirstToken)},
			{Name: "beside batch", X: percents, Y: values(beside.FirstToken)},
		},
	}
}

type mixRun struct {
	cluster *devd.Cluster
	seed    uint64
}

// online runs the online load and checks every answer.
func (m *mixRun) online(ctx context.Context) (*load.Report, error) {
	plan := &load.Plan{Seed: m.seed, Duration: mixTime, MaxInFlight: load.DefaultMaxInFlight}
	for i := range mixEntries {
		plan.Targets = append(plan.Targets, m.cluster.EntryURL(i))
	}
	plan.Classes = []load.Class{{
		Name: "inspectors", Kind: load.Online, Service: devd.ModelServiceName, Rate: mixRate,
		Prompt: load.Prompt{Bytes: 1600, Prefixes: 8, PrefixBytes: 800}, MaxTokens: mixTokens, Timeout: load.DefaultTimeout,
	}}
	report, err := load.NewRunner(plan).Run(ctx)
	if err != nil {
		return nil, err
	}
	if len(report.Violations) > 0 {
		return nil, eris.Errorf("bench: %d violations, the first: %s", len(report.Violations), report.Violations[0])
	}
	return report, nil
}

// tokens returns the tokens that all engines have generated.
func (m *mixRun) tokens() uint64 {
	var sum uint64
	for _, e := range m.cluster.Engines {
		sum += e.Counters().Tokens
	}
	return sum
}

// batchRate returns the tokens a second of batch work alone, once it has
// filled the engines.
func (m *mixRun) batchRate(ctx context.Context) (float64, error) {
	if err := sleep(ctx, mixSettle); err != nil {
		return 0, err
	}
	before, began := m.tokens(), time.Now()
	if err := sleep(ctx, mixTime); err != nil {
		return 0, err
	}
	return float64(m.tokens()-before) / time.Since(began).Seconds(), nil
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

// submit starts a job that is larger than the run.
func (m *mixRun) submit(ctx context.Context) (string, error) {
	var lines bytes.Buffer
	for i := range mixItems {
		_, _ = fmt.Fprintf(&lines, `{"custom_id":"item-%d","method":"POST","url":"/v1/completions","body":`+
			`{"model":%q,"prompt":"record %d of the night's sensor log","max_tokens":%d}}`+"\n",
			i, devd.ModelServiceName, i, itemTokens)
	}
	var job struct {
		ID string `json:"id"`
	}
	if err := m.call(ctx, "POST", pathBatches, lines.Bytes(), &job); err != nil {
		return "", err
	}
	return job.ID, nil
}

func (m *mixRun) call(ctx context.Context, method, path string, body []byte, into any) error {
	client := engine.NewPlainClient(m.cluster.EntryURL(0), engine.Options{})
	defer client.Close()
	request := engine.Request{
		Method: method, Path: path, Body: body,
		Headers: []*pb.HeaderField{{Name: "Content-Type", Value: "application/jsonl"}},
	}
	var answer bytes.Buffer
	result := client.Run(ctx, request, func(part engine.ResponsePart) error {
		if data, ok := part.(engine.ResponseData); ok {
			answer.Write(data.Payload)
		}
		return nil
	})
	if result.Err != nil {
		return result.Err
	}
	if result.Status >= 400 {
		return eris.Errorf("bench: %s %s: status %d: %s", method, path, result.Status, answer.String())
	}
	return eris.Wrap(json.Unmarshal(answer.Bytes(), into), "bench: answer")
}
