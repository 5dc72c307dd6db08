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
	file := fs.String("f", "", "file to edit; empty derives its name from the document")
	return a.withDefaults(&ffcli.Command{
		Name:       "edit",
		ShortUsage: "briarcross edit [flags] profile/NAME | service/NAME [FIELD=VALUE ...]",
		ShortHelp:  "Sets fields of a document, or writes it to a file and applies the edited file.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return exitErrorf(ExitUsage, "expected an argument: %s", keyUsage)
			}
			c, err := flags.client()
			if err != nil {
				return err
			}
			text, err := fetchEditable(c, args[0])
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

// fetchEditable returns a document as YAML with its revision, so that a
// concurrent change by another operator is detected as a conflict.
func fetchEditable(c *operator.Client, key string) ([]byte, error) {
	response, err := fetchDocuments(c, key)
	if err != nil {
		return nil, err
	}
	return config.Format(response.GetDocuments())
}

// editFields sets fields of the document's spec and applies the document.
func (a *app) editFields(c *operator.Client, key string, text []byte, assignments []string, operatorName string) error {
	var node yaml.Node
	if err := yaml.Unmarshal(text, &node); err != nil {
		return err
	}
	spec := mappingValue(node.Content[0], "spec")
	if spec == nil {
		return exitErrorf(ExitFailed, "document %s has no spec", key)
	}
	for _, assignment := range assignments {
		if err := assignField(spec, assignment); err != nil {
			return err
		}
	}
	edited, err := yaml.Marshal(&node)
	if err != nil {
		return err
	}
	return a.applyDocuments(c, key, edited, operatorName)
}

// assignField sets one field of a mapping from FIELD=VALUE; the value is YAML.
func assignField(spec *yaml.Node, assignment string) error {
	name, text, ok := strings.Cut(assignment, "=")
	if !ok || name == "" {
		return exitErrorf(ExitUsage, "invalid assignment %s: expected FIELD=VALUE", assignment)
	}
	var value yaml.Node
	if err := yaml.Unmarshal([]byte(text), &value); err != nil || len(value.Content) == 0 {
		return exitErrorf(ExitUsage, "the value of field %s is not valid YAML: %s", name, text)
	}
	if field := mappingValue(spec, name); field != nil {
		*field = *value.Content[0]
		return nil
	}
	key := &yaml.Node{Kind: yaml.ScalarNode, Value: name}
	spec.Content = append(spec.Content, key, value.Content[0])
	return nil
}

// mappingValue returns the value of a key of a mapping, or nil.
func mappingValue(mapping *yaml.Node, name string) *yaml.Node {
	const nodesPerField = 2
	for i := 0; i+1 < len(mapping.Content); i += nodesPerField {
		if mapping.Content[i].Value == name {
			return mapping.Content[i+1]
		}
	}
	return nil
}

// editFile writes the document to a file, waits until the operator has edited
// it, and applies it. It does not start an editor.
func (a *app) editFile(c *operator.Client, key, file string, text []byte, operatorName string) error {
	if file == "" {
		file = strings.ReplaceAll(key, "/", "-") + ".yaml"
	}
	if err := writeNewFile(file, text); err != nil {
		return exitErrorf(ExitUsage, "setting -f: %v", err)
	}
	_, _ = fmt.Fprintf(a.stdout, "edit %s, then press Enter to apply it, or type no to cancel: ", file)
	answer, err := bufio.NewReader(a.stdin).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if errors.Is(err, io.EOF) || strings.TrimSpace(answer) != "" {
		_, err := fmt.Fprintf(a.stdout, "\nnothing applied; %s is kept\n", file)
		return err
	}
	return a.applyEditedFile(c, file, text, operatorName)
}

// applyEditedFile applies an edited file and then removes it. After a failure it
// keeps the file, to be corrected and applied.
func (a *app) applyEditedFile(c *operator.Client, file string, original []byte, operatorName string) error {
	edited, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if bytes.Equal(original, edited) {
		_, _ = fmt.Fprintln(a.stdout, "the file was not edited")
		return os.Remove(file)
	}
	if err := a.applyDocuments(c, file, edited, operatorName); err != nil {
		_, _ = fmt.Fprintf(a.stderr, "%s is kept; correct it and run: briarcross apply -f %s\n", file, file)
		return err
	}
	return os.Remove(file)
}
