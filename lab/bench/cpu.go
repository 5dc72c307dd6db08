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

// cpuTime returns the user and system processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // The arguments are constant and valid.
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuPerToken runs rounds of parallel streams and returns the processor time of
// this process per token, in microseconds. It subtracts the time that the
// process uses when idle, given in cores.
func cpuPerToken(ctx context.Context, idleCores float64, client engine.Client, model string, streams, rounds int) (float64, error) {
	before, start := cpuTime(), time.Now()
	for round := range rounds {
		if err := runStreams(ctx, client, model, streams, round); err != nil {
			return 0, err
		}
	}
	used := cpuTime() - before - time.Duration(idleCores*float64(time.Since(start)))
	return float64(used.Microseconds()) / float64(streams*rounds*streamTokens), nil
}

// idleMeasureTime is the time over which idle processor time is measured.
const idleMeasureTime = 3 * time.Second

// measureIdleCores returns the processor time that this process uses without requests,
// as a number of cores.
func measureIdleCores(ctx context.Context) (float64, error) {
	before, start := cpuTime(), time.Now()
	if err := sleep(ctx, idleMeasureTime); err != nil {
		return 0, err
	}
	return float64(cpuTime()-before) / float64(time.Since(start)), nil
}

func runStreams(ctx context.Context, client engine.Client, model string, streams, round int) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range streams {
		group.Go(func() error {
			id := fmt.Sprintf("r%d-%d-%d", round, streams, i)
			var refusal refusalReason
			result := client.Run(ctx, completionRequest(id, model, streamTokens), refusal.recordReason)
			if !result.Complete || result.Tokens != streamTokens {
				return eris.Errorf("bench: run request %s: status %d, refusal reason %q, %d tokens: %v",
					id, result.Status, refusal.reason, result.Tokens, result.Err)
			}
			return nil
		})
	}
	return group.Wait()
}

// refusalReason records the reason that an entry gives when it refuses a request.
type refusalReason struct{ reason string }

func (r *refusalReason) recordReason(part engine.ResponsePart) error {
	if head, ok := part.(engine.ResponseHead); ok {
		for _, field := range head.Headers {
			if field.GetName() == "Briarcross-Reason" {
				r.reason = field.GetValue()
			}
		}
	}
	return nil
}
