package bench

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/engine"
)

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // The arguments are constant and valid.
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// tokenCost runs rounds of parallel streams and returns the processor time of
// this process for each token, in microseconds.
func tokenCost(ctx context.Context, client engine.Client, model string, streams, rounds int) (float64, error) {
	before := cpuTime()
	for round := range rounds {
		if err := runStreams(ctx, client, model, streams, round); err != nil {
			return 0, err
		}
	}
	used := cpuTime() - before
	return float64(used.Microseconds()) / float64(streams*rounds*streamTokens), nil
}

func runStreams(ctx context.Context, client engine.Client, model string, streams, round int) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range streams {
		group.Go(func() error {
			id := fmt.Sprintf("r%d-%d-%d", round, streams, i)
			result := client.Run(ctx, completionRequest(id, model, streamTokens), discard)
			if !result.Complete || result.Tokens != streamTokens {
				return eris.Errorf("bench: request %s: status %d, %d tokens: %v", id, result.Status, result.Tokens, result.Err)
			}
			return nil
		})
	}
	return group.Wait()
}

func discard(engine.Part) error { return nil }
