package cli

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.yaml.in/yaml/v3"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/operator"
)

func (a *app) editCommand() *ffcli.Command {
	fs := newFlagSet("edit")
	flags := &operatorFlags{}
	flags.register(fs)
	file := fs.String("f", "", "file to edit in; empty names it after the document")
	return a.command(&ffcli.Command{
		Name:       "edit",
		ShortUsage: "briarcross edit [flags] profile/NAME | service/NAME [FIELD=VALUE ...]",
		ShortHelp:  "Sets fields of a document, or writes it to a file and applies your edit.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return failf(ExitUsage, "expected %s", keyUsage)
			}
			c, err := flags.client()
			if err != nil {
				return err
			}
			text, err := editable(c, args[0])
			if err != nil {
				return err
			}
			if len(args) > 1 {
				return a.editFields(c, args[0], text, args[1:], flags.operator)
			}
			return a.editFile(c, args[0], *file, text, flags.operator)
		},
	})
}

// editable returns a document as YAML with its revision, so that another
// operator's change in the meantime conflicts.
func editable(c *operator.Client, key string) ([]byte, error) {
	answer, err := documents(c, key)
	if err != nil {
		return nil, err
	}
	return config.Format(answer.GetDocuments())
}

// editFields sets fields of the document's spec and applies it.
func (a *app) editFields(c *operator.Client, key string, text []byte, assignments []string, by string) error {
	var node yaml.Node
	if err := yaml.Unmarshal(text, &node); err != nil {
		return err
	}
	spec := child(node.Content[0], "spec")
	if spec == nil {
		return failf(ExitFailed, "%s has no spec", key)
	}
	for _, assignment := range assignments {
		if err := assign(spec, assignment); err != nil {
			return err
		}
	}
	edited, err := yaml.Marshal(&node)
	if err != nil {
		return err
	}
	return a.applyText(c, key, edited, by)
}

// assign sets one field of a mapping from FIELD=VALUE; the value is YAML.
func assign(spec *yaml.Node, assignment string) error {
	name, text, ok := strings.Cut(assignment, "=")
	if !ok || name == "" {
		return failf(ExitUsage, "expected FIELD=VALUE, not %s", assignment)
	}
	var value yaml.Node
	if err := yaml.Unmarshal([]byte(text), &value); err != nil || len(value.Content) == 0 {
		return failf(ExitUsage, "the value of %s is not YAML: %s", name, text)
	}
	if field := child(spec, name); field != nil {
		*field = *value.Content[0]
		return nil
	}
	key := &yaml.Node{Kind: yaml.ScalarNode, Value: name}
	spec.Content = append(spec.Content, key, value.Content[0])
	return nil
}

// child returns the value of a key of a mapping.
func child(mapping *yaml.Node, name string) *yaml.Node {
	const pair = 2
	for i := 0; i+1 < len(mapping.Content); i += pair {
		if mapping.Content[i].Value == name {
			return mapping.Content[i+1]
		}
	}
	return nil
}

// editFile writes the document to a file, waits until the operator has edited
// it, and applies it. It starts no editor.
func (a *app) editFile(c *operator.Client, key, file string, text []byte, by string) error {
	if file == "" {
		file = strings.ReplaceAll(key, "/", "-") + ".yaml"
	}
	if err := writeNew(file, text); err != nil {
		return failf(ExitUsage, "setting -f: %v", err)
	}
	_, _ = fmt.Fprintf(a.out, "edit %s, then press Enter to apply it, or type no: ", file)
	answer, err := bufio.NewReader(a.in).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if errors.Is(err, io.EOF) || strings.TrimSpace(answer) != "" {
		_, err := fmt.Fprintf(a.out, "\nnothing applied; %s is kept\n", file)
		return err
	}
	return a.applyEdited(c, file, text, by)
}

// applyEdited applies an edited file and removes it when that is done. After a
// failure the file stays, to be corrected and applied.
func (a *app) applyEdited(c *operator.Client, file string, before []byte, by string) error {
	after, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if bytes.Equal(before, after) {
		_, _ = fmt.Fprintln(a.out, "nothing was edited")
		return os.Remove(file)
	}
	if err := a.applyText(c, file, after, by); err != nil {
		_, _ = fmt.Fprintf(a.err, "%s is kept; correct it and run: briarcross apply -f %s\n", file, file)
		return err
	}
	return os.Remove(file)
}
