package main

import (
	"context"
	"flag"
	"net"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	labengine "github.com/briarcross/briarcross/lab/engine"
)

func engineCommand() *ffcli.Command {
	fs := flag.NewFlagSet("engine", flag.ContinueOnError)
	options := labengine.Options{Cost: labengine.DefaultCost()}
	var listen, models, adapters string
	fs.StringVar(&listen, "listen", "127.0.0.1:8000", "IP address and port to listen on")
	fs.StringVar(&options.ID, "id", "engine-0", "name of the engine")
	fs.Uint64Var(&options.Seed, "seed", 1, "random seed")
	fs.StringVar(&models, "models", "", "models served, separated by commas; empty serves every model")
	fs.StringVar(&adapters, "adapters", "", "adapters served, separated by commas")
	fs.StringVar(&options.Version, "version", "1", "version of the model")
	fs.StringVar(&options.Role, "role", "", "role of the engine")
	fs.DurationVar(&options.Cost.Base, "step-base", options.Cost.Base, "time of an empty step")
	fs.DurationVar(&options.Cost.PerSequence, "step-sequence", options.Cost.PerSequence, "step time for each running sequence")
	fs.DurationVar(&options.Cost.PerThousandKVTokens, "step-kv", options.Cost.PerThousandKVTokens, "step time for each thousand KV tokens")
	fs.DurationVar(&options.Cost.PerPrefillToken, "prefill-token", options.Cost.PerPrefillToken, "step time for each uncached prompt token")
	fs.IntVar(&options.Cost.PrefillChunk, "prefill-chunk", options.Cost.PrefillChunk, "maximum number of prompt tokens in a step")
	fs.IntVar(&options.MaxKVTokens, "kv-tokens", labengine.DefaultMaxKVTokens, "capacity for KV state, in tokens")
	fs.IntVar(&options.MaxSequences, "sequences", labengine.DefaultMaxSequences, "maximum number of sequences in a batch")
	fs.DurationVar(&options.LoadLag, "load-lag", 0, "age of load reports")
	fs.DurationVar(&options.CacheEventLag, "cache-event-lag", 0, "age of cache events")
	fs.Float64Var(&options.CacheEventLossProbability, "cache-event-loss", 0, "probability that a cache event is lost")
	fs.BoolVar(&options.ChecksFencing, "checks-fencing", false, "refuse orders with old fencing numbers")
	fs.DurationVar(&options.OrderDuration, "order-time", 0, "time that the engine takes to carry out an order")
	fs.Float64Var(&options.Faults.TruncateProbability, "truncate", 0, "probability that a response ends without its end mark")
	fs.Float64Var(&options.Faults.CrossedTokenProbability, "crossed", 0, "probability that a token of another request is added to a stream")
	fs.Float64Var(&options.Faults.LateTokenProbability, "late", 0, "probability that a token of an ended request is added to a stream")
	fs.Float64Var(&options.Faults.FailProbability, "fail", 0, "probability that a request fails with status 500")
	fs.Float64Var(&options.Faults.SlowFactor, "slow", 1, "factor by which step times are multiplied")
	return &ffcli.Command{
		Name:       "engine",
		ShortUsage: "briarcross-lab engine [flags]",
		ShortHelp:  "run a fake model engine",
		FlagSet:    fs,
		Options:    flagOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			options.Models = splitList(models)
			options.Adapters = splitList(adapters)
			server := labengine.NewServer(options)
			return serveUntilDone(ctx, "engine", listen, server.Serve, server.Close)
		},
	}
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// serveUntilDone serves on an address until the context is cancelled.
func serveUntilDone(ctx context.Context, serverName, listen string, serve func(net.Listener) error, stop func() error) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	log.Info(serverName+": listening", "address", ln.Addr().String())
	serveResult := make(chan error, 1)
	go func() { serveResult <- serve(ln) }()
	select {
	case err := <-serveResult:
		return err
	case <-ctx.Done():
		log.Info(serverName + ": stopping")
		return stop()
	}
}
