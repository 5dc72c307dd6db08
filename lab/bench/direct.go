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

// upstream is a fake engine on a loopback port.
type upstream struct {
	server *labengine.Server
	url    string
}

func startUpstream(o labengine.Options) (*upstream, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "bench: listen")
	}
	server := labengine.NewServer(o)
	go func() { _ = server.Serve(ln) }()
	return &upstream{server: server, url: "http://" + ln.Addr().String()}, nil
}

// completionRequest returns a request for a number of tokens.
func completionRequest(id, model string, tokens int) engine.Request {
	body := `{"model":"` + model + `","prompt":"` + id + `","stream":true,"max_tokens":` + strconv.Itoa(tokens) + `}`
	return engine.Request{ID: id, Method: "POST", Path: openai.PathCompletions, Body: []byte(body)}
}

const (
	streamTokens = 64
	streamRounds = 40
)

// engineClient measures what the engine client and the fake engine cost
// together, in processor time for each token, at several numbers of streams.
func engineClient(ctx context.Context, seed uint64) (experiment.Result, error) {
	cost := labengine.Cost{Base: time.Millisecond, PrefillChunk: labengine.DefaultMaxKVTokens}
	up, err := startUpstream(labengine.Options{Seed: seed, Cost: cost, MaxSequences: 1024})
	if err != nil {
		return experiment.Result{}, err
	}
	defer func() { _ = up.server.Close() }()
	client := engine.NewModelClient(up.url, engine.Options{})
	defer client.Close()
	var result experiment.Result
	series := experiment.Series{Name: "client and fake engine"}
	for _, streams := range []int{1, 16, 128} {
		perToken, err := tokenCost(ctx, 0, client, "m", streams, max(1, streamRounds/streams))
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
