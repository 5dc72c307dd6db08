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

// fields reads the entries of one YAML mapping and remembers which were read
// and the first error.
type fields struct {
	line   int
	names  []string
	values map[string]*yaml.Node
	lines  map[string]int
	known  map[string]bool
	fault  *ParseError
}

// fieldsOf indexes a mapping. Duplicate fields, anchors and aliases are
// refused.
func fieldsOf(node *yaml.Node, what string) (*fields, *ParseError) {
	if node.Kind != yaml.MappingNode {
		return nil, &ParseError{Line: node.Line, Reason: what + " must be a mapping of fields"}
	}
	f := newFields(node.Line)
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		if name.Kind != yaml.ScalarNode || name.Anchor != "" {
			return nil, &ParseError{Line: name.Line, Reason: "a field name must be plain text"}
		}
		if _, twice := f.values[name.Value]; twice {
			return nil, &ParseError{Line: name.Line, Field: name.Value, Reason: "the field stands twice"}
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

func newFields(line int) *fields {
	return &fields{
		line:   line,
		values: make(map[string]*yaml.Node),
		lines:  make(map[string]int),
		known:  make(map[string]bool),
	}
}

func (f *fields) has(name string) bool {
	_, ok := f.values[name]
	return ok
}

// errorAt returns an error at the line of a field.
func (f *fields) errorAt(name, reason string) *ParseError {
	line, ok := f.lines[name]
	if !ok {
		line = f.line
	}
	return &ParseError{Line: line, Field: name, Reason: reason}
}

// refuse records the first error.
func (f *fields) refuse(name, reason string) {
	if f.fault == nil {
		f.fault = f.errorAt(name, reason)
	}
}

// finish returns the first error, or an error for a field that was not read.
func (f *fields) finish() *ParseError {
	if f.fault != nil {
		return f.fault
	}
	for _, name := range f.names {
		if !f.known[name] {
			return f.errorAt(name, "the field is unknown")
		}
	}
	return nil
}

// scalar returns the text and tag of a field, or false when it is absent.
func (f *fields) scalar(name string) (text, tag string, ok bool) {
	f.known[name] = true
	value, ok := f.values[name]
	if !ok {
		return "", "", false
	}
	if value.Kind != yaml.ScalarNode {
		f.refuse(name, "one value is required")
		return "", "", false
	}
	if value.Tag == "!!null" {
		f.refuse(name, "a value is required")
		return "", "", false
	}
	return value.Value, value.Tag, true
}

func (f *fields) text(name string) string {
	text, _, _ := f.scalar(name)
	return text
}

// choice reads a required field with a closed set of values.
func (f *fields) choice(name string, allowed iter.Seq[string]) string {
	names := slices.Collect(allowed)
	text := f.text(name)
	if !slices.Contains(names, text) {
		f.refuse(name, strings.Join(names, " or ")+" is required")
	}
	return text
}

func (f *fields) count(name string, fallback uint64) uint64 {
	text, tag, ok := f.scalar(name)
	if !ok {
		return fallback
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil || tag != "!!int" {
		f.refuse(name, "a whole number from 0 is required")
		return fallback
	}
	return value
}

func (f *fields) flag(name string, fallback bool) bool {
	text, tag, ok := f.scalar(name)
	if !ok {
		return fallback
	}
	if tag != "!!bool" {
		f.refuse(name, "true or false is required")
		return fallback
	}
	return strings.EqualFold(text, "true")
}

// duration reads a field such as "350ms" or "24h" in milliseconds.
func (f *fields) duration(name string, fallback uint64) uint64 {
	text, _, ok := f.scalar(name)
	if !ok {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 || value%time.Millisecond != 0 {
		f.refuse(name, `a duration of whole milliseconds such as "350ms" or "24h" is required`)
		return fallback
	}
	return uint64(value / time.Millisecond)
}

func (f *fields) list(name string) []string {
	f.known[name] = true
	value, ok := f.values[name]
	if !ok {
		return nil
	}
	if value.Kind != yaml.SequenceNode {
		f.refuse(name, "a list is required")
		return nil
	}
	var items []string
	for _, item := range value.Content {
		if item.Kind != yaml.ScalarNode || item.Tag == "!!null" || item.Anchor != "" {
			f.refuse(name, "a list of names is required")
			return nil
		}
		items = append(items, item.Value)
	}
	return items
}

// section reads a field that is a mapping; an absent one is empty.
func (f *fields) section(name string) *fields {
	f.known[name] = true
	value, ok := f.values[name]
	if !ok {
		return newFields(f.line)
	}
	inner, fault := fieldsOf(value, "the field "+name)
	if fault != nil {
		if f.fault == nil {
			f.fault = fault
		}
		return newFields(f.line)
	}
	return inner
}

// formatMs writes milliseconds as a duration without zero parts.
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
