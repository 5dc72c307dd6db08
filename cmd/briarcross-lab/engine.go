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
	fs.StringVar(&listen, "listen", "127.0.0.1:8000", "IP address and port")
	fs.StringVar(&options.ID, "id", "engine-0", "name of the engine")
	fs.Uint64Var(&options.Seed, "seed", 1, "seed of all randomness")
	fs.StringVar(&models, "models", "", "models served, separated by commas; empty serves every model")
	fs.StringVar(&adapters, "adapters", "", "adapters served, separated by commas")
	fs.StringVar(&options.Version, "version", "1", "version of the model")
	fs.StringVar(&options.Role, "role", "", "role of the engine")
	fs.DurationVar(&options.Cost.Base, "step-base", options.Cost.Base, "time of an empty step")
	fs.DurationVar(&options.Cost.PerSequence, "step-sequence", options.Cost.PerSequence, "step time for each running sequence")
	fs.DurationVar(&options.Cost.PerThousandKV, "step-kv", options.Cost.PerThousandKV, "step time for each thousand KV tokens")
	fs.DurationVar(&options.Cost.PerPrefillToken, "prefill-token", options.Cost.PerPrefillToken, "step time for each uncached prompt token")
	fs.IntVar(&options.Cost.PrefillChunk, "prefill-chunk", options.Cost.PrefillChunk, "largest number of prompt tokens in a step")
	fs.IntVar(&options.MaxKVTokens, "kv-tokens", labengine.DefaultMaxKVTokens, "memory for KV state, in tokens")
	fs.IntVar(&options.MaxSequences, "sequences", labengine.DefaultMaxSequences, "largest batch")
	fs.DurationVar(&options.LoadLag, "load-lag", 0, "age of load reports")
	fs.DurationVar(&options.CacheEventLag, "cache-event-lag", 0, "age of cache events")
	fs.Float64Var(&options.CacheEventLoss, "cache-event-loss", 0, "probability that a cache event is lost")
	fs.BoolVar(&options.ChecksFencing, "checks-fencing", false, "refuse orders with old fencing numbers")
	fs.DurationVar(&options.OrderTime, "order-time", 0, "time that an order takes")
	fs.Float64Var(&options.Faults.Truncate, "truncate", 0, "probability that an answer is cut")
	fs.Float64Var(&options.Faults.Crossed, "crossed", 0, "probability of a crossed token")
	fs.Float64Var(&options.Faults.Late, "late", 0, "probability of a late token")
	fs.Float64Var(&options.Faults.Fail, "fail", 0, "probability of status 500")
	fs.Float64Var(&options.Faults.SlowFactor, "slow", 1, "factor on step times")
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

// serveUntilDone serves on an address until the context ends.
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
