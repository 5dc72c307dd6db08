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
	o := labengine.Options{Cost: labengine.DefaultCost()}
	var listen, models, adapters string
	fs.StringVar(&listen, "listen", "127.0.0.1:8000", "IP address and port")
	fs.StringVar(&o.ID, "id", "engine-0", "name of the engine")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of all randomness")
	fs.StringVar(&models, "models", "", "models served, separated by commas; empty serves every model")
	fs.StringVar(&adapters, "adapters", "", "adapters served, separated by commas")
	fs.StringVar(&o.Version, "version", "1", "version of the model")
	fs.StringVar(&o.Role, "role", "", "role of the engine")
	fs.DurationVar(&o.Cost.Base, "step-base", o.Cost.Base, "time of an empty step")
	fs.DurationVar(&o.Cost.PerSequence, "step-sequence", o.Cost.PerSequence, "step time for each running sequence")
	fs.DurationVar(&o.Cost.PerThousandKVTokens, "step-kv", o.Cost.PerThousandKVTokens, "step time for each thousand KV tokens")
	fs.DurationVar(&o.Cost.PerPrefillToken, "prefill-token", o.Cost.PerPrefillToken, "step time for each uncached prompt token")
	fs.IntVar(&o.Cost.PrefillChunk, "prefill-chunk", o.Cost.PrefillChunk, "largest number of prompt tokens in a step")
	fs.IntVar(&o.MaxKVTokens, "kv-tokens", labengine.DefaultMaxKVTokens, "memory for KV state, in tokens")
	fs.IntVar(&o.MaxSequences, "sequences", labengine.DefaultMaxSequences, "largest batch")
	fs.DurationVar(&o.LoadLag, "load-lag", 0, "age of load reports")
	fs.DurationVar(&o.CacheEventLag, "cache-event-lag", 0, "age of cache events")
	fs.Float64Var(&o.CacheEventLossProbability, "cache-event-loss", 0, "probability that a cache event is lost")
	fs.BoolVar(&o.ChecksFencing, "checks-fencing", false, "refuse orders with old fencing numbers")
	fs.DurationVar(&o.OrderDuration, "order-time", 0, "time that an order takes")
	fs.Float64Var(&o.Faults.TruncateProbability, "truncate", 0, "probability that an answer is cut")
	fs.Float64Var(&o.Faults.CrossedTokenProbability, "crossed", 0, "probability of a crossed token")
	fs.Float64Var(&o.Faults.LateTokenProbability, "late", 0, "probability of a late token")
	fs.Float64Var(&o.Faults.FailProbability, "fail", 0, "probability of status 500")
	fs.Float64Var(&o.Faults.SlowFactor, "slow", 1, "factor on step times")
	return &ffcli.Command{
		Name:       "engine",
		ShortUsage: "briarcross-lab engine [flags]",
		ShortHelp:  "run a fake model engine",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, _ []string) error {
			o.Models = splitList(models)
			o.Adapters = splitList(adapters)
			server := labengine.NewServer(o)
			return serveUntil(ctx, "engine", listen, server.Serve, server.Close)
		},
	}
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// serveUntil serves on an address until the context ends.
func serveUntil(ctx context.Context, part, listen string, serve func(net.Listener) error, stop func() error) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	log.Info(part+": listening", "address", ln.Addr().String())
	served := make(chan error, 1)
	go func() { served <- serve(ln) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		log.Info(part + ": stopping")
		return stop()
	}
}
