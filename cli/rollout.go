package cli

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/operator"
	"github.com/briarcross/briarcross/pb"
)

const (
	defaultRolloutInterval = 500 * time.Millisecond
	defaultRolloutTimeout  = time.Minute
)

// rolloutFlags are the flags of rollout watch.
type rolloutFlags struct {
	operatorFlags
	revision uint64
	timeout  time.Duration
	interval time.Duration
}

func (a *app) rolloutCommands() *ffcli.Command {
	fs := newFlagSet("watch")
	flags := &rolloutFlags{}
	flags.register(fs)
	fs.Uint64Var(&flags.revision, "revision", 0, "revision to wait for; 0 waits for the latest accepted one")
	fs.DurationVar(&flags.timeout, "timeout", defaultRolloutTimeout, "maximum time to wait")
	fs.DurationVar(&flags.interval, "interval", defaultRolloutInterval, "time between status queries")
	watch := a.withDefaults(&ffcli.Command{
		Name:       "watch",
		ShortUsage: "briarcross rollout watch [flags]",
		ShortHelp:  "Waits until a revision is in force on every daemon.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if flags.interval <= 0 || flags.timeout <= 0 {
				return exitErrorf(ExitUsage, "settings -interval and -timeout: must be positive")
			}
			c, err := flags.client()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, flags.timeout)
			defer cancel()
			return a.watchRollout(ctx, c, flags)
		},
	})
	return a.commandGroup("rollout", "Follows the rollout of a configuration revision.", watch)
}

func (a *app) watchRollout(ctx context.Context, c *operator.Client, flags *rolloutFlags) error {
	ticker := time.NewTicker(flags.interval)
	defer ticker.Stop()
	lastLine := ""
	for {
		status, err := confirmedStatus(c)
		if err != nil && ctx.Err() == nil && !isRetryable(err) {
			return err
		}
		var lagging []string
		if err == nil {
			if flags.revision == 0 {
				flags.revision = status.GetConfigRevision()
			}
			lagging = laggingDaemons(status, flags.revision)
			lastLine = a.printRolloutProgress(status, flags.revision, lagging, lastLine)
			if len(lagging) == 0 && status.GetConfigRevision() >= flags.revision {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return exitErrorf(ExitFailed, "timed out: revision %d is not in force on all daemons; lagging: %s", flags.revision, orDash(strings.Join(lagging, ", ")))
		case <-ticker.C:
		}
	}
}

// confirmedStatus returns the status, or an error if no leader has confirmed it.
func confirmedStatus(c *operator.Client) (*pb.StatusAnswer, error) {
	status, err := c.Status()
	if err == nil && status.GetStale() {
		return nil, &operator.Failure{Kind: operator.NotDone, Reason: "no leader confirmed the status"}
	}
	return status, err
}

// isRetryable reports whether a failed status query may succeed later.
func isRetryable(err error) bool {
	var failure *operator.Failure
	return errors.As(err, &failure) && (failure.Kind == operator.OutcomeUnknown || failure.Kind == operator.NotDone)
}

// laggingDaemons returns the daemons on which an older revision is in force.
func laggingDaemons(status *pb.StatusAnswer, revision uint64) []string {
	var lagging []string
	for _, d := range status.GetDaemons() {
		if d.GetRevision() < revision {
			lagging = append(lagging, d.GetDaemon())
		}
	}
	return lagging
}

// printRolloutProgress prints the progress line unless it equals lastLine, and
// returns it.
func (a *app) printRolloutProgress(status *pb.StatusAnswer, revision uint64, lagging []string, lastLine string) string {
	total := len(status.GetDaemons())
	line := fmt.Sprintf("revision %d is in force on %d of %d daemons", revision, total-len(lagging), total)
	if len(lagging) > 0 {
		line += "; waiting for " + strings.Join(lagging, ", ")
	}
	if line != lastLine {
		_, _ = fmt.Fprintln(a.stdout, line)
	}
	return line
}
