package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"

	outputIndent = "  "
)

// printMessages prints messages as JSON or YAML; for the table format it calls
// printTable.
func (a *app) printMessages(output string, printTable func() error, messages ...proto.Message) error {
	if output == outputTable {
		return printTable()
	}
	values := make([]json.RawMessage, len(messages))
	for i, message := range messages {
		text, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(message)
		if err != nil {
			return err
		}
		values[i] = text
	}
	if len(values) == 1 {
		return a.printValue(output, values[0], nil)
	}
	return a.printValue(output, values, nil)
}

// printValue prints a value that encodes to JSON, as JSON or YAML. For the table
// format it calls printTable, unless that is nil.
func (a *app) printValue(output string, value any, printTable func() error) error {
	if output == outputTable && printTable != nil {
		return printTable()
	}
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if output == outputYAML {
		return a.printYAML(text)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, text, "", outputIndent); err != nil {
		return err
	}
	_, err = fmt.Fprintln(a.stdout, indented.String())
	return err
}

// printYAML prints JSON text as YAML and keeps the order of fields.
func (a *app) printYAML(text []byte) error {
	var node yaml.Node
	if err := yaml.Unmarshal(text, &node); err != nil {
		return err
	}
	setBlockStyle(&node)
	encoder := yaml.NewEncoder(a.stdout)
	encoder.SetIndent(len(outputIndent))
	if err := encoder.Encode(&node); err != nil {
		return err
	}
	return encoder.Close()
}

func setBlockStyle(node *yaml.Node) {
	node.Style = 0
	for _, child := range node.Content {
		setBlockStyle(child)
	}
}

func newTable(out io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
}
