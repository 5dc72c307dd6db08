package cli

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/pb"
)

const (
	pathDocuments = "/api/v1/documents"
	pathChanges   = "/api/v1/changes"
	pathStatus    = "/api/v1/status"
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
			answer, err := documents(flags.server, name)
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

func documents(server, name string) (*pb.ConfigAnswer, error) {
	result := &pb.QueryResult{}
	c := api{server: server}
	if err := c.get(pathDocuments+"?name="+name, result); err != nil {
		return nil, err
	}
	return result.GetConfig(), nil
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
	operator := fs.String("operator", os.Getenv("USER"), "name recorded with the change")
	return a.command(&ffcli.Command{
		Name:       "apply",
		ShortUsage: "briarcross apply -f FILE",
		ShortHelp:  "Writes profiles and services. Repeating it after a lost answer is safe.",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			return a.apply(flags, *file, *operator)
		},
	})
}

func (a *app) apply(flags *operatorFlags, file, operator string) error {
	if file == "" {
		return failf(ExitUsage, "setting -f: is missing")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return failf(ExitUsage, "setting -f: %v", err)
	}
	change, current, err := planChange(flags.server, file, text, operator)
	if err != nil {
		return err
	}
	if len(change.GetOps()) == 0 {
		_, err := fmt.Fprintf(a.out, "unchanged at revision %d\n", current)
		return err
	}
	revision, err := submit(flags.server, change)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "accepted at revision %d\n", revision)
	return err
}

// planChange returns the change that puts the documents of a file in place, and
// the revision that it starts from.
func planChange(server, file string, text []byte, operator string) (*pb.ConfigChange, uint64, error) {
	wanted, err := config.Parse(file, text)
	if err != nil {
		return nil, 0, &exitError{ExitUsage, err}
	}
	current, err := documents(server, "")
	if err != nil {
		return nil, 0, err
	}
	return changeTo(current, wanted, operator), current.GetRevision(), nil
}

// ApplyText applies the documents of a YAML text and returns the revision at
// which they are accepted. The file name appears in errors.
func ApplyText(server, file string, text []byte, operator string) (uint64, error) {
	change, current, err := planChange(server, file, text, operator)
	if err != nil {
		return 0, err
	}
	if len(change.GetOps()) == 0 {
		return current, nil
	}
	return submit(server, change)
}

// changeTo returns the change from the current documents to the wanted ones.
// Its ID depends only on its content, so that a repeated command resends the
// same change.
func changeTo(current *pb.ConfigAnswer, wanted []*pb.Document, operator string) *pb.ConfigChange {
	held := make(map[string]*pb.Document)
	for _, document := range current.GetDocuments() {
		held[config.Key(document)] = document
	}
	change := &pb.ConfigChange{Operator: operator}
	for _, document := range wanted {
		old := held[config.Key(document)]
		expected := old.GetRevision()
		if document.GetRevision() != 0 {
			expected = document.GetRevision()
		}
		document.Revision = old.GetRevision()
		if proto.Equal(old, document) {
			continue
		}
		document.Revision = 0
		change.Ops = append(change.Ops, &pb.ConfigOp{
			Op:               &pb.ConfigOp_Put{Put: document},
			ExpectedRevision: expected,
		})
	}
	change.ChangeId = changeID(change)
	return change
}

func changeID(change *pb.ConfigChange) string {
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(change)
	digest := sha256.Sum256(data)
	const length = 16
	return hex.EncodeToString(digest[:length])
}

// submit sends a change and returns the revision at which it is accepted.
func submit(server string, change *pb.ConfigChange) (uint64, error) {
	result := &pb.ChangeResult{}
	c := api{server: server}
	if err := c.post(pathChanges, change, result); err != nil {
		return 0, err
	}
	switch result.GetOutcome() {
	case pb.ChangeOutcome_CHANGE_ACCEPTED:
		return result.GetRevision(), nil
	case pb.ChangeOutcome_CHANGE_CONFLICT:
		current, err := config.Format(result.GetCurrent())
		if err != nil {
			return 0, err
		}
		return 0, failf(ExitConflict, "conflict: %s; current documents:\n%s", result.GetReason(), current)
	default:
		return 0, failf(ExitUsage, "refused: %s", result.GetReason())
	}
}
