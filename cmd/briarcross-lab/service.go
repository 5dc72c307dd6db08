package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	labservice "github.com/briarcross/briarcross/lab/service"
)

func serviceCommand() *ffcli.Command {
	fs := flag.NewFlagSet("service", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:8100", "IP address and port to listen on")
	delay := fs.Duration("delay", 0, "delay of each response")
	return &ffcli.Command{
		Name:       "service",
		ShortUsage: "briarcross-lab service [flags]",
		ShortHelp:  "run a fake plain service that records each request",
		FlagSet:    fs,
		Options:    flagOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			server := labservice.New(labservice.Options{Delay: *delay})
			return serveUntilDone(ctx, "service", *listen, server.Serve, server.Close)
		},
	}
}
