package cli

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/operator"
	"github.com/briarcross/briarcross/pb"
)

const keyUsage = "profile/NAME or service/NAME"

func (a *app) getCommand() *ffcli.Command {
	return a.operatorCommand("get", "get [flags] [profile/NAME | service/NAME]", "Shows profiles and services.",
		func(f *operatorFlags, c *operator.Client, args []string) error {
			key := ""
			if len(args) > 0 {
				key = args[0]
			}
			answer, err := documents(c, key)
			if err != nil {
				return err
			}
			return a.printDocuments(f.output, answer)
		})
}

// documents returns the documents under a key, or all with an empty key.
func documents(c *operator.Client, key string) (*pb.ConfigAnswer, error) {
	answer, err := c.Documents(key)
	if err != nil {
		return nil, err
	}
	if key != "" && len(answer.GetDocuments()) == 0 {
		return nil, failf(ExitFailed, "no document %s at revision %d", key, answer.GetRevision())
	}
	return answer, nil
}

func (a *app) printDocuments(output string, answer *pb.ConfigAnswer) error {
	switch output {
	case outputYAML:
		return a.printDocumentText(answer.GetDocuments())
	case outputJSON:
		return a.printMessages(output, nil, answer)
	default:
		return a.printDocumentTable(answer)
	}
}

func (a *app) printDocumentText(documents []*pb.Document) error {
	text, err := config.Format(documents)
	if err != nil {
		return err
	}
	_, err = a.out.Write(text)
	return err
}

func (a *app) printDocumentTable(answer *pb.ConfigAnswer) error {
	w := newTable(a.out)
	_, _ = fmt.Fprintln(w, "DOCUMENT\tREVISION\tCLASS\tPROFILE\tBATCH PROFILE")
	for _, document := range answer.GetDocuments() {
		service := document.GetService()
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", config.Key(document), document.GetRevision(),
			className(document.GetProfile()), orDash(service.GetProfile()), orDash(service.GetBatchProfile()))
	}
	return w.Flush()
}

func className(profile *pb.Profile) string {
	if profile == nil {
		return "-"
	}
	return strings.ToLower(strings.TrimPrefix(profile.GetServiceClass().String(), "CLASS_"))
}

func (a *app) describeCommand() *ffcli.Command {
	return a.operatorCommand("describe", "describe [flags] profile/NAME | service/NAME",
		"Shows one document with what uses it and its latest changes.",
		func(f *operatorFlags, c *operator.Client, args []string) error {
			key, err := oneArgument(args, keyUsage)
			if err != nil {
				return err
			}
			answer, err := documents(c, key)
			if err != nil {
				return err
			}
			if f.output != outputTable {
				return a.printDocuments(f.output, answer)
			}
			return a.describe(c, key, answer)
		})
}

func (a *app) describe(c *operator.Client, key string, answer *pb.ConfigAnswer) error {
	if err := a.printDocumentText(answer.GetDocuments()); err != nil {
		return err
	}
	all, err := c.Documents("")
	if err != nil {
		return err
	}
	if users := usersOf(key, all.GetDocuments()); len(users) > 0 {
		_, _ = fmt.Fprintf(a.out, "\nUsed by: %s\n", strings.Join(users, ", "))
	}
	records, err := c.History(0, describedRecords)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(a.out, "\nLatest changes:")
	return a.printHistory(recordsOf(key, records))
}

// usersOf returns the keys of the services that name a profile.
func usersOf(key string, all []*pb.Document) []string {
	var users []string
	for _, document := range all {
		service := document.GetService()
		if service == nil {
			continue
		}
		if key == config.ProfileKey(service.GetProfile()) || key == config.ProfileKey(service.GetBatchProfile()) {
			users = append(users, config.Key(document))
		}
	}
	return users
}

func (a *app) applyCommand() *ffcli.Command {
	return a.fileCommand("apply", "Writes profiles and services. Repeating it after a lost answer is safe.",
		func(c *operator.Client, flags *operatorFlags, file string, text []byte) error {
			return a.applyText(c, file, text, flags.operator)
		})
}

// fileRun carries out a command with the documents of a file.
type fileRun func(c *operator.Client, flags *operatorFlags, file string, text []byte) error

// fileCommand returns a command that reads documents from a file.
func (a *app) fileCommand(name, help string, run fileRun) *ffcli.Command {
	fs := newFlagSet(name)
	flags := &operatorFlags{}
	flags.register(fs)
	file := fs.String("f", "", "YAML file of documents; - reads the standard input")
	return a.command(&ffcli.Command{
		Name:       name,
		ShortUsage: "briarcross " + name + " [flags] -f FILE",
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			text, err := a.readFile(*file)
			if err != nil {
				return err
			}
			c, err := flags.client()
			if err != nil {
				return err
			}
			return run(c, flags, *file, text)
		},
	})
}

func (a *app) readFile(file string) ([]byte, error) {
	text, err := readInput(a.in, file)
	if err != nil {
		return nil, failf(ExitUsage, "setting -f: %v", err)
	}
	return text, nil
}

// applyText submits the change that puts the documents of a text in place.
func (a *app) applyText(c *operator.Client, file string, text []byte, by string) error {
	change, current, err := c.Plan(file, text, by)
	if err != nil {
		return err
	}
	if len(change.GetOps()) == 0 {
		_, err := fmt.Fprintf(a.out, "unchanged at revision %d\n", current)
		return err
	}
	revision, err := submit(c, change)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "accepted at revision %d\n", revision)
	return err
}

// submit sends a change, and again with the same change ID while its outcome
// is not known.
func submit(c *operator.Client, change *pb.ConfigChange) (revision uint64, err error) {
	for range submitAttempts {
		if revision, err = c.Submit(change); !outcomeUnknown(err) {
			return revision, err
		}
	}
	return revision, err
}

func (a *app) deleteCommand() *ffcli.Command {
	fs := newFlagSet("delete")
	flags := &operatorFlags{}
	flags.register(fs)
	revision := fs.Uint64("revision", 0, "revision of the document that you saw; 0 takes the one that stands")
	return a.command(&ffcli.Command{
		Name:       "delete",
		ShortUsage: "briarcross delete [flags] profile/NAME | service/NAME",
		ShortHelp:  "Deletes a profile or service. Repeating it after a lost answer is safe.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			key, err := oneArgument(args, keyUsage)
			if err != nil {
				return err
			}
			c, err := flags.client()
			if err != nil {
				return err
			}
			return a.delete(c, key, *revision, flags.operator)
		},
	})
}

func (a *app) delete(c *operator.Client, key string, revision uint64, by string) error {
	change, found, err := c.PlanDelete(key, revision, by)
	if err != nil {
		return err
	}
	if !found {
		return a.alreadyDeleted(c, key)
	}
	deleted, err := submit(c, change)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "deleted at revision %d\n", deleted)
	return err
}

// alreadyDeleted answers a repeated deletion from the history.
func (a *app) alreadyDeleted(c *operator.Client, key string) error {
	revision, err := c.DeletionRevision(key)
	if err != nil {
		return err
	}
	if revision == 0 {
		return failf(ExitFailed, "no document %s", key)
	}
	_, err = fmt.Fprintf(a.out, "deleted at revision %d\n", revision)
	return err
}

func revisionText(revision uint64) string {
	return strconv.FormatUint(revision, 10)
}

// writeNew writes a file that must not exist yet.
func writeNew(file string, text []byte) error {
	const mode = 0o600
	out, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	if _, err := out.Write(text); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}
