package config

import (
	"fmt"
	"iter"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// mappingReader reads the fields of one YAML mapping. It records which fields were
// read and the first error.
type mappingReader struct {
	line       int
	names      []string
	values     map[string]*yaml.Node
	lines      map[string]int
	consumed   map[string]bool
	firstError *ParseError
}

// newMappingReader returns a reader of a mapping node. Duplicate fields, anchors
// and aliases are errors.
func newMappingReader(node *yaml.Node, description string) (*mappingReader, *ParseError) {
	if node.Kind != yaml.MappingNode {
		return nil, &ParseError{Line: node.Line, Reason: description + " must be a mapping of fields"}
	}
	f := emptyMappingReader(node.Line)
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		if name.Kind != yaml.ScalarNode || name.Anchor != "" {
			return nil, &ParseError{Line: name.Line, Reason: "a field name must be plain text"}
		}
		if _, duplicate := f.values[name.Value]; duplicate {
			return nil, &ParseError{Line: name.Line, Field: name.Value, Reason: "the field is listed twice"}
		}
		if value.Kind == yaml.AliasNode || value.Anchor != "" {
			return nil, &ParseError{Line: name.Line, Field: name.Value, Reason: "anchors and aliases are not allowed"}
		}
		f.names = append(f.names, name.Value)
		f.values[name.Value] = value
		f.lines[name.Value] = name.Line
	}
	return f, nil
}

func emptyMappingReader(line int) *mappingReader {
	return &mappingReader{
		line:     line,
		values:   make(map[string]*yaml.Node),
		lines:    make(map[string]int),
		consumed: make(map[string]bool),
	}
}

func (f *mappingReader) has(name string) bool {
	_, ok := f.values[name]
	return ok
}

// errorAt returns an error at the line of a field, or of the mapping if the field
// is absent.
func (f *mappingReader) errorAt(name, reason string) *ParseError {
	line, ok := f.lines[name]
	if !ok {
		line = f.line
	}
	return &ParseError{Line: line, Field: name, Reason: reason}
}

// recordError records an error of a field unless there was one before.
func (f *mappingReader) recordError(name, reason string) {
	if f.firstError == nil {
		f.firstError = f.errorAt(name, reason)
	}
}

// finish returns the first error, or an error for a field that was not read, or
// nil. It is called after all known fields were read.
func (f *mappingReader) finish() *ParseError {
	if f.firstError != nil {
		return f.firstError
	}
	for _, name := range f.names {
		if !f.consumed[name] {
			return f.errorAt(name, "the field is unknown")
		}
	}
	return nil
}

// scalar returns the text and the YAML tag of a field. ok is false if the field is
// absent or not a scalar; the latter is recorded as an error.
func (f *mappingReader) scalar(name string) (text, tag string, ok bool) {
	f.consumed[name] = true
	value, ok := f.values[name]
	if !ok {
		return "", "", false
	}
	if value.Kind != yaml.ScalarNode {
		f.recordError(name, "a single value is required")
		return "", "", false
	}
	if value.Tag == "!!null" {
		f.recordError(name, "a value is required")
		return "", "", false
	}
	return value.Value, value.Tag, true
}

func (f *mappingReader) text(name string) string {
	text, _, _ := f.scalar(name)
	return text
}

// choice reads a required field that must have one of the allowed values.
func (f *mappingReader) choice(name string, allowed iter.Seq[string]) string {
	names := slices.Collect(allowed)
	text := f.text(name)
	if !slices.Contains(names, text) {
		f.recordError(name, strings.Join(names, " or ")+" is required")
	}
	return text
}

func (f *mappingReader) unsigned(name string, defaultValue uint64) uint64 {
	text, tag, ok := f.scalar(name)
	if !ok {
		return defaultValue
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil || tag != "!!int" {
		f.recordError(name, "a whole number from 0 is required")
		return defaultValue
	}
	return value
}

func (f *mappingReader) boolean(name string, defaultValue bool) bool {
	text, tag, ok := f.scalar(name)
	if !ok {
		return defaultValue
	}
	if tag != "!!bool" {
		f.recordError(name, "true or false is required")
		return defaultValue
	}
	return strings.EqualFold(text, "true")
}

// duration reads a field such as "350ms" or "24h" in milliseconds.
func (f *mappingReader) duration(name string, defaultValue uint64) uint64 {
	text, _, ok := f.scalar(name)
	if !ok {
		return defaultValue
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 || value%time.Millisecond != 0 {
		f.recordError(name, `a duration of whole milliseconds such as "350ms" or "24h" is required`)
		return defaultValue
	}
	return uint64(value / time.Millisecond)
}

func (f *mappingReader) list(name string) []string {
	f.consumed[name] = true
	value, ok := f.values[name]
	if !ok {
		return nil
	}
	if value.Kind != yaml.SequenceNode {
		f.recordError(name, "a list is required")
		return nil
	}
	var items []string
	for _, item := range value.Content {
		if item.Kind != yaml.ScalarNode || item.Tag == "!!null" || item.Anchor != "" {
			f.recordError(name, "a list of names is required")
			return nil
		}
		items = append(items, item.Value)
	}
	return items
}

// section returns a reader of a field that is a mapping, or an empty reader if the
// field is absent or invalid.
func (f *mappingReader) section(name string) *mappingReader {
	f.consumed[name] = true
	value, ok := f.values[name]
	if !ok {
		return emptyMappingReader(f.line)
	}
	reader, parseErr := newMappingReader(value, "the field "+name)
	if parseErr != nil {
		if f.firstError == nil {
			f.firstError = parseErr
		}
		return emptyMappingReader(f.line)
	}
	return reader
}

// formatMs formats milliseconds as a duration, without the zero minutes or seconds
// that time.Duration appends ("24h", not "24h0m0s").
func formatMs(ms uint64) string {
	if ms == 0 {
		return "0s"
	}
	if ms%minuteMs != 0 {
		return (time.Duration(ms) * time.Millisecond).String()
	}
	if ms%hourMs != 0 {
		return fmt.Sprintf("%dm", ms/minuteMs)
	}
	return fmt.Sprintf("%dh", ms/hourMs)
}
