package cli

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/operator"
	"github.com/briarcross/briarcross/pb"
)

func (a *app) getCommand() *ffcli.Command {
	fs := newFlagSet("get")
	flags := &operatorFlags{}
	flags.register(fs)
	return a.command(&ffcli.Command{
		Name:       "get",
		ShortUsage: "briarcross get [flags] [profile/NAME | service/NAME]",
		ShortHelp:  "Shows profiles and services.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			name := ""
			if len(args) > 0 {
				name = args[0]
			}
			answer, err := operator.NewClient(flags.server).Documents(name)
			if err != nil {
				return err
			}
			if name != "" && len(answer.GetDocuments()) == 0 {
				return failf(ExitFailed, "no document %s", name)
			}
			return a.printDocuments(flags.output, answer)
		},
	})
}

func (a *app) printDocuments(output string, answer *pb.ConfigAnswer) error {
	switch output {
	case "json":
		return a.printJSON(answer)
	case "yaml":
		text, err := config.Format(answer.GetDocuments())
		if err != nil {
			return err
		}
		_, err = a.out.Write(text)
		return err
	default:
		return a.printDocumentTable(answer)
	}
}

func (a *app) printJSON(message proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true, Indent: "  "}.Marshal(message)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(a.out, string(text))
	return err
}

func (a *app) printDocumentTable(answer *pb.ConfigAnswer) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "DOCUMENT\tREVISION\tPROFILE\tCLASS")
	for _, document := range answer.GetDocuments() {
		service, profile := document.GetService(), document.GetProfile()
		class := "-"
		if profile != nil {
			class = strings.ToLower(strings.TrimPrefix(profile.GetServiceClass().String(), "CLASS_"))
		}
		uses := "-"
		if service != nil {
			uses = service.GetProfile()
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", config.Key(document), document.GetRevision(), uses, class)
	}
	return w.Flush()
}

func (a *app) applyCommand() *ffcli.Command {
	fs := newFlagSet("apply")
	flags := &operatorFlags{}
	flags.register(fs)
	file := fs.String("f", "", "YAML file of documents")
	by := fs.String("operator", os.Getenv("USER"), "name recorded with the change")
	return a.command(&ffcli.Command{
		Name:       "apply",
		ShortUsage: "briarcross apply -f FILE",
		ShortHelp:  "Writes profiles and services. Repeating it after a lost answer is safe.",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			return a.apply(flags, *file, *by)
		},
	})
}

func (a *app) apply(flags *operatorFlags, file, by string) error {
	if file == "" {
		return failf(ExitUsage, "setting -f: is missing")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return failf(ExitUsage, "setting -f: %v", err)
	}
	c := operator.NewClient(flags.server)
	change, current, err := c.Plan(file, text, by)
	if err != nil {
		return err
	}
	if len(change.GetOps()) == 0 {
		_, err := fmt.Fprintf(a.out, "unchanged at revision %d\n", current)
		return err
	}
	revision, err := c.Submit(change)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "accepted at revision %d\n", revision)
	return err
}
