package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/jobs"
)

const (
	defaultEntry         = "http://127.0.0.1:7403"
	submitTimeout        = 10 * time.Minute
	defaultWatchInterval = time.Second
	defaultListLimit     = 20
)

// callerFlags are the flags of all batch job commands.
type callerFlags struct {
	entry  string
	caller string
	token  string
	output string
	tls    daemon.TLSFiles
}

func (f *callerFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.entry, "entry", defaultEntry, "base URL of an entry, or of the load balancer in front of the entries")
	fs.StringVar(&f.caller, "caller", "", "caller's name, if the entries do not require tokens")
	fs.StringVar(&f.token, "token", "", "caller's token; prefer the environment variable BRIARCROSS_TOKEN, since other users can see flags")
	fs.StringVar(&f.output, "o", outputTable, "output format: table, json or yaml")
	f.tls.Register(fs)
}

func (f *callerFlags) client() (*jobs.Client, error) {
	if err := (&operatorFlags{output: f.output}).check(); err != nil {
		return nil, err
	}
	config, err := clientTLS(&f.tls)
	if err != nil {
		return nil, err
	}
	return jobs.NewClient(jobs.Options{EntryURL: f.entry, Caller: f.caller, Token: f.token, TLS: config}), nil
}

func (a *app) jobCommands() *ffcli.Command {
	return a.commandGroup("job", "Submits and watches batch jobs.",
		a.jobSubmitCommand(),
		a.jobCommand("get", "get [flags] JOB", "Shows one job.", a.getJob),
		a.jobListCommand(),
		a.jobCommand("results", "results [flags] JOB", "Writes a job's results as JSON lines.", a.jobResults),
		a.jobCommand("cancel", "cancel [flags] JOB", "Cancels a job; its existing results stay readable.", a.cancelJob),
		a.jobWatchCommand(),
	)
}

// jobCommand returns a command whose argument is the ID of a job.
func (a *app) jobCommand(name, usage, help string, run func(f *callerFlags, c *jobs.Client, id string) error) *ffcli.Command {
	fs := newFlagSet(name)
	flags := &callerFlags{}
	flags.register(fs)
	return a.withDefaults(&ffcli.Command{
		Name:       name,
		ShortUsage: "briarcross job " + usage,
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			id, err := oneArgument(args, "the job's ID")
			if err != nil {
				return err
			}
			c, err := flags.client()
			if err != nil {
				return err
			}
			return run(flags, c, id)
		},
	})
}

func (a *app) getJob(f *callerFlags, c *jobs.Client, id string) error {
	job, err := c.Get(id)
	if err != nil {
		return err
	}
	return a.printJob(f.output, job)
}

func (a *app) cancelJob(f *callerFlags, c *jobs.Client, id string) error {
	job, err := c.Cancel(id)
	if err != nil {
		return err
	}
	return a.printJob(f.output, job)
}

func (a *app) jobResults(_ *callerFlags, c *jobs.Client, id string) error {
	_, err := c.Results(id, a.stdout)
	return err
}

func (a *app) printJob(output string, job *jobs.Job) error {
	return a.printValue(output, job, func() error { return a.printJobs([]jobs.Job{*job}) })
}

func (a *app) printJobs(jobList []jobs.Job) error {
	w := newTable(a.stdout)
	_, _ = fmt.Fprintln(w, "JOB\tSERVICE\tSTATUS\tDONE\tFAILED\tITEMS\tDUE")
	for _, job := range jobList {
		counts := job.RequestCounts
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", job.ID, job.Service, job.Status,
			counts.Completed, counts.Failed, counts.Total, time.Unix(job.DueAt, 0).UTC().Format(time.RFC3339))
	}
	return w.Flush()
}

func (a *app) jobSubmitCommand() *ffcli.Command {
	fs := newFlagSet("submit")
	flags := &callerFlags{}
	flags.register(fs)
	file := fs.String("f", "", "file of items in the OpenAI batch format; - reads standard input")
	key := fs.String("key", "", "idempotency key; empty derives it from the file, so that submitting a file again creates no second job")
	return a.withDefaults(&ffcli.Command{
		Name:       "submit",
		ShortUsage: "briarcross job submit [flags] -f FILE",
		ShortHelp:  "Submits a job. It is safe to repeat after a lost response.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			text, err := a.readFlagFile(*file)
			if err != nil {
				return err
			}
			c, err := flags.client()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, submitTimeout)
			defer cancel()
			job, err := c.Submit(ctx, text, *key)
			if err != nil {
				return err
			}
			return a.printJob(flags.output, job)
		},
	})
}

func (a *app) jobListCommand() *ffcli.Command {
	fs := newFlagSet("list")
	flags := &callerFlags{}
	flags.register(fs)
	after := fs.String("after", "", "ID of the last job of the previous page")
	limit := fs.Int("limit", defaultListLimit, "maximum number of jobs")
	return a.withDefaults(&ffcli.Command{
		Name:       "list",
		ShortUsage: "briarcross job list [flags]",
		ShortHelp:  "Lists the caller's jobs.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			c, err := flags.client()
			if err != nil {
				return err
			}
			page, err := c.List(*after, *limit)
			if err != nil {
				return err
			}
			return a.printValue(flags.output, page, func() error { return a.printJobs(page.Data) })
		},
	})
}

// jobExitCode returns the exit code for an error of a call to an entry; false if
// err is another error.
func jobExitCode(err error) (int, bool) {
	var failure *jobs.Failure
	switch {
	case !errors.As(err, &failure):
		return 0, false
	case failure.OutcomeUnknown:
		return ExitOutcomeUnknown, true
	case failure.StatusCode == statusConflict:
		return ExitConflict, true
	case failure.StatusCode == statusBadRequest:
		return ExitUsage, true
	default:
		return ExitFailed, true
	}
}

const (
	statusBadRequest = 400
	statusConflict   = 409
)
