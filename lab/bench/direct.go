package bench

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/engine"
	labengine "github.com/briarcross/briarcross/lab/engine"
	"github.com/briarcross/briarcross/lab/experiment"
	"github.com/briarcross/briarcross/openai"
)

// fakeEngine is a running fake engine that listens on a loopback port.
type fakeEngine struct {
	server *labengine.Server
	url    string
}

func startFakeEngine(options labengine.Options) (*fakeEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "bench: listen for the fake engine")
	}
	server := labengine.NewServer(options)
	go func() { _ = server.Serve(listener) }()
	return &fakeEngine{server: server, url: "http://" + listener.Addr().String()}, nil
}

// completionRequest returns a streamed completion request for a number of
// tokens, with the ID as its prompt.
func completionRequest(id, model string, tokens int) engine.Request {
	body := `{"model":"` + model + `","prompt":"` + id + `","stream":true,"max_tokens":` + strconv.Itoa(tokens) + `}`
	return engine.Request{ID: id, Method: "POST", Path: openai.PathCompletions, Body: []byte(body)}
}

const (
	streamTokens = 64
	streamRounds = 40
)

// measureEngineClient measures the processor time per token of the engine client
// and the fake engine together, at several numbers of parallel streams.
func measureEngineClient(ctx context.Context, seed uint64) (experiment.Result, error) {
	cost := labengine.CostModel{Base: time.Millisecond, PrefillChunk: labengine.DefaultMaxKVTokens}
	fake, err := startFakeEngine(labengine.Options{Seed: seed, Cost: cost, MaxSequences: 1024})
	if err != nil {
		return experiment.Result{}, err
	}
	defer func() { _ = fake.server.Close() }()
	client := engine.NewModelClient(fake.url, engine.Options{})
	defer client.Close()
	var result experiment.Result
	series := experiment.Series{Name: "client and fake engine"}
	for _, streams := range []int{1, 16, 128} {
		perToken, err := cpuPerToken(ctx, 0, client, "m", streams, max(1, streamRounds/streams))
		if err != nil {
			return result, err
		}
		name := "engine-client/cpu-per-token/streams=" + strconv.Itoa(streams)
		result.Measures = append(result.Measures, experiment.Measure{Name: name, Value: perToken, Unit: "µs"})
		series.X = append(series.X, float64(streams))
		series.Y = append(series.Y, perToken)
	}
	result.Figures = []experiment.Figure{{
		Name: "engine-client", Title: "Processor time for each token of a direct call",
		XLabel: "streams", YLabel: "µs a token", Series: []experiment.Series{series},
	}}
	return result, nil
}
