package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/jobs"
)

const (
	progressBarWidth       = 40
	maxConsecutiveFailures = 30
)

func (a *app) jobWatchCommand() *ffcli.Command {
	fs := newFlagSet("watch")
	flags := &callerFlags{}
	flags.register(fs)
	interval := fs.Duration("interval", defaultWatchInterval, "time between queries of the job")
	return a.withDefaults(&ffcli.Command{
		Name:       "watch",
		ShortUsage: "briarcross job watch [flags] JOB",
		ShortHelp:  "Shows the progress of a job until it ends.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			id, err := oneArgument(args, "the job's ID")
			if err != nil {
				return err
			}
			if *interval <= 0 {
				return exitErrorf(ExitUsage, "setting -interval: must be positive")
			}
			c, err := flags.client()
			if err != nil {
				return err
			}
			return a.watchJob(ctx, c, id, *interval)
		},
	})
}

// watchJob shows a job's progress until the job ends. It tolerates up to
// maxConsecutiveFailures failed queries in a row, so that the restart of an
// entry does not end the watch.
func (a *app) watchJob(ctx context.Context, c *jobs.Client, id string, interval time.Duration) error {
	view := &progressView{app: a, terminal: isTerminal(a.stdout)}
	defer view.end()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	failures := 0
	for {
		job, err := c.Get(id)
		if err == nil {
			failures = 0
			view.show(job)
			if job.Ended() {
				return jobOutcomeError(job)
			}
		} else if failures++; failures > maxConsecutiveFailures || !isRetryableJobError(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// isRetryableJobError reports whether a failed query may succeed later.
func isRetryableJobError(err error) bool {
	code, ok := jobExitCode(err)
	if ok && code == ExitOutcomeUnknown {
		return true
	}
	var failure *jobs.Failure
	return errors.As(err, &failure) && failure.RetryAfter > 0
}

// jobOutcomeError returns the error for a job that has ended; nil if it is
// completed without failed items.
func jobOutcomeError(job *jobs.Job) error {
	switch {
	case job.Status != jobs.StatusCompleted:
		return exitErrorf(ExitFailed, "job %s ended with status %s", job.ID, job.Status)
	case job.RequestCounts.Failed > 0:
		return exitErrorf(ExitDifferent, "job %s is completed, but %d items failed", job.ID, job.RequestCounts.Failed)
	default:
		return nil
	}
}

// progressView prints a job's progress: on a terminal as a bar that it redraws,
// otherwise as a new line for each change.
type progressView struct {
	app      *app
	terminal bool
	lastLine string
}

func (p *progressView) show(job *jobs.Job) {
	line := progressLine(job)
	if line == p.lastLine {
		return
	}
	if p.terminal {
		_, _ = fmt.Fprintf(p.app.stdout, "\r\x1b[K%s", line)
	} else {
		_, _ = fmt.Fprintln(p.app.stdout, line)
	}
	p.lastLine = line
}

func (p *progressView) end() {
	if p.terminal && p.lastLine != "" {
		_, _ = fmt.Fprintln(p.app.stdout)
	}
}

func progressLine(job *jobs.Job) string {
	counts := job.RequestCounts
	finished := counts.Completed + counts.Failed
	filled := 0
	if counts.Total > 0 {
		filled = min(progressBarWidth, progressBarWidth*finished/counts.Total)
	}
	bar := strings.Repeat("#", filled) + strings.Repeat(".", progressBarWidth-filled)
	return fmt.Sprintf("[%s] %d/%d finished, %d failed, %s", bar, finished, counts.Total, counts.Failed, job.Status)
}

func isTerminal(out any) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
