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
			response, err := fetchDocuments(c, key)
			if err != nil {
				return err
			}
			return a.printDocuments(f.output, response)
		})
}

// fetchDocuments returns the document with a key, or all documents if the key is
// empty.
func fetchDocuments(c *operator.Client, key string) (*pb.ConfigAnswer, error) {
	response, err := c.Documents(key)
	if err != nil {
		return nil, err
	}
	if key != "" && len(response.GetDocuments()) == 0 {
		return nil, exitErrorf(ExitFailed, "document %s does not exist at revision %d", key, response.GetRevision())
	}
	return response, nil
}

func (a *app) printDocuments(output string, response *pb.ConfigAnswer) error {
	switch output {
	case outputYAML:
		return a.printDocumentYAML(response.GetDocuments())
	case outputJSON:
		return a.printMessages(output, nil, response)
	default:
		return a.printDocumentTable(response)
	}
}

func (a *app) printDocumentYAML(documents []*pb.Document) error {
	text, err := config.Format(documents)
	if err != nil {
		return err
	}
	_, err = a.stdout.Write(text)
	return err
}

func (a *app) printDocumentTable(response *pb.ConfigAnswer) error {
	w := newTable(a.stdout)
	_, _ = fmt.Fprintln(w, "DOCUMENT\tREVISION\tCLASS\tPROFILE\tBATCH PROFILE")
	for _, document := range response.GetDocuments() {
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
		"Shows one document, the services that use it and its latest changes.",
		func(f *operatorFlags, c *operator.Client, args []string) error {
			key, err := oneArgument(args, keyUsage)
			if err != nil {
				return err
			}
			response, err := fetchDocuments(c, key)
			if err != nil {
				return err
			}
			if f.output != outputTable {
				return a.printDocuments(f.output, response)
			}
			return a.describe(c, key, response)
		})
}

func (a *app) describe(c *operator.Client, key string, response *pb.ConfigAnswer) error {
	if err := a.printDocumentYAML(response.GetDocuments()); err != nil {
		return err
	}
	all, err := c.Documents("")
	if err != nil {
		return err
	}
	if services := servicesUsing(key, all.GetDocuments()); len(services) > 0 {
		_, _ = fmt.Fprintf(a.stdout, "\nUsed by: %s\n", strings.Join(services, ", "))
	}
	records, err := c.History(0, describeHistoryLimit)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(a.stdout, "\nLatest changes:")
	return a.printHistory(recordsWithDocument(key, records))
}

// servicesUsing returns the keys of the services that use a profile.
func servicesUsing(key string, all []*pb.Document) []string {
	var services []string
	for _, document := range all {
		service := document.GetService()
		if service == nil {
			continue
		}
		if key == config.ProfileKey(service.GetProfile()) || key == config.ProfileKey(service.GetBatchProfile()) {
			services = append(services, config.Key(document))
		}
	}
	return services
}

func (a *app) applyCommand() *ffcli.Command {
	return a.fileCommand("apply", "Creates or updates profiles and services. It is safe to repeat after a lost response.",
		func(c *operator.Client, flags *operatorFlags, file string, text []byte) error {
			return a.applyDocuments(c, file, text, flags.operator)
		})
}

// fileAction runs a command on the text of a file of documents.
type fileAction func(c *operator.Client, flags *operatorFlags, file string, text []byte) error

// fileCommand returns a command that reads documents from a file.
func (a *app) fileCommand(name, help string, run fileAction) *ffcli.Command {
	fs := newFlagSet(name)
	flags := &operatorFlags{}
	flags.register(fs)
	file := fs.String("f", "", "YAML file of documents; - reads standard input")
	return a.withDefaults(&ffcli.Command{
		Name:       name,
		ShortUsage: "briarcross " + name + " [flags] -f FILE",
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
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
			return run(c, flags, *file, text)
		},
	})
}

func (a *app) readFlagFile(file string) ([]byte, error) {
	text, err := readInput(a.stdin, file)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "setting -f: %v", err)
	}
	return text, nil
}

// applyDocuments submits the change that turns the current documents into those
// of a text.
func (a *app) applyDocuments(c *operator.Client, file string, text []byte, operatorName string) error {
	change, currentRevision, err := c.Plan(file, text, operatorName)
	if err != nil {
		return err
	}
	if len(change.GetOps()) == 0 {
		_, err := fmt.Fprintf(a.stdout, "unchanged at revision %d\n", currentRevision)
		return err
	}
	revision, err := submitWithRetry(c, change)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.stdout, "accepted at revision %d\n", revision)
	return err
}

// submitWithRetry sends a change, up to maxSubmitAttempts times with the same
// change ID while its outcome is unknown.
func submitWithRetry(c *operator.Client, change *pb.ConfigChange) (revision uint64, err error) {
	for range maxSubmitAttempts {
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
	revision := fs.Uint64("revision", 0, "expected revision of the document; 0 accepts the current one")
	return a.withDefaults(&ffcli.Command{
		Name:       "delete",
		ShortUsage: "briarcross delete [flags] profile/NAME | service/NAME",
		ShortHelp:  "Deletes a profile or service. It is safe to repeat after a lost response.",
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

func (a *app) delete(c *operator.Client, key string, revision uint64, operatorName string) error {
	change, found, err := c.PlanDelete(key, revision, operatorName)
	if err != nil {
		return err
	}
	if !found {
		return a.reportPastDeletion(c, key)
	}
	deleted, err := submitWithRetry(c, change)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.stdout, "deleted at revision %d\n", deleted)
	return err
}

// reportPastDeletion prints the revision at which the document was deleted, as
// found in the history, so that a repeated deletion succeeds.
func (a *app) reportPastDeletion(c *operator.Client, key string) error {
	revision, err := c.DeletionRevision(key)
	if err != nil {
		return err
	}
	if revision == 0 {
		return exitErrorf(ExitFailed, "document %s does not exist", key)
	}
	_, err = fmt.Fprintf(a.stdout, "deleted at revision %d\n", revision)
	return err
}

func revisionText(revision uint64) string {
	return strconv.FormatUint(revision, 10)
}

// writeNewFile creates a file, which must not exist yet.
func writeNewFile(file string, text []byte) error {
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
