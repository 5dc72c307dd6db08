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
// this process for each token, in microseconds, less an idle share in cores.
func tokenCost(ctx context.Context, idle float64, client engine.Client, model string, streams, rounds int) (float64, error) {
	before, began := cpuTime(), time.Now()
	for round := range rounds {
		if err := runStreams(ctx, client, model, streams, round); err != nil {
			return 0, err
		}
	}
	used := cpuTime() - before - time.Duration(idle*float64(time.Since(began)))
	return float64(used.Microseconds()) / float64(streams*rounds*streamTokens), nil
}

// idleTime is how long the idle share is measured.
const idleTime = 3 * time.Second

// idleShare returns the processor time that this process uses without requests,
// in cores.
func idleShare(ctx context.Context) (float64, error) {
	before, began := cpuTime(), time.Now()
	if err := sleep(ctx, idleTime); err != nil {
		return 0, err
	}
	return float64(cpuTime()-before) / float64(time.Since(began)), nil
}

func runStreams(ctx context.Context, client engine.Client, model string, streams, round int) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range streams {
		group.Go(func() error {
			id := fmt.Sprintf("r%d-%d-%d", round, streams, i)
			var refusal reasonReader
			result := client.Run(ctx, completionRequest(id, model, streamTokens), refusal.take)
			if !result.Complete || result.Tokens != streamTokens {
				return eris.Errorf("bench: request %s: status %d %s, %d tokens: %v",
					id, result.Status, refusal.reason, result.Tokens, result.Err)
			}
			return nil
		})
	}
	return group.Wait()
}

// reasonReader keeps the reason that an entry gives for a refusal.
type reasonReader struct{ reason string }

func (r *reasonReader) take(part engine.ResponsePart) error {
	if head, ok := part.(engine.ResponseHead); ok {
		for _, field := range head.Headers {
			if field.GetName() == "Briarcross-Reason" {
				r.reason = field.GetValue()
			}
		}
	}
	return nil
}
