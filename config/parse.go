package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/briarcross/briarcross/pb"
)

// maxTextBytes bounds the size of a configuration file.
const maxTextBytes = 16 << 20

// ParseError tells where a configuration file is invalid.
type ParseError struct {
	File string
	// Line starts at one; zero when it is not known.
	Line int
	// Field is the name of the field, or empty.
	Field string
	// Reason tells what is wrong.
	Reason string
}

// Error implements error.
func (e *ParseError) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", position, e.Reason)
	}
	return fmt.Sprintf("%s: field %s: %s", position, e.Field, e.Reason)
}

// Parse reads the YAML documents of a file. Defaults are written into the
// documents. The error is a *ParseError.
func Parse(file string, text []byte) ([]*pb.Document, error) {
	p := parser{file: file, seen: make(map[string]bool)}
	docs, fault := p.parse(text)
	if fault != nil {
		fault.File = file
		return nil, fault
	}
	return docs, nil
}

type parser struct {
	file string
	seen map[string]bool
}

func (p *parser) parse(text []byte) ([]*pb.Document, *ParseError) {
	if len(text) > maxTextBytes {
		return nil, &ParseError{Reason: fmt.Sprintf("the file has more than %d bytes", maxTextBytes)}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var docs []*pb.Document
	for {
		var root yaml.Node
		err := decoder.Decode(&root)
		if errors.Is(err, io.EOF) {
			return docs, nil
		}
		if err != nil {
			return nil, &ParseError{Reason: err.Error()}
		}
		doc, fault := p.document(&root)
		if fault != nil {
			return nil, fault
		}
		if doc != nil {
			docs = append(docs, doc)
		}
	}
}

// document reads one YAML document; an empty one gives nil.
func (p *parser) document(root *yaml.Node) (*pb.Document, *ParseError) {
	if len(root.Content) != 1 || root.Content[0].Tag == "!!null" {
		return nil, nil
	}
	head, fault := fieldsOf(root.Content[0], "document")
	if fault != nil {
		return nil, fault
	}
	doc, spec, fault := readHead(head)
	if fault != nil {
		return nil, fault
	}
	if fault := validate(doc); fault != nil {
		return nil, locate(fault, spec, head)
	}
	key := Key(doc)
	if p.seen[key] {
		return nil, &ParseError{Line: head.line, Field: "name", Reason: key + " stands twice in the file"}
	}
	p.seen[key] = true
	return doc, nil
}

// readHead reads the fields outside and inside spec.
func readHead(head *fields) (*pb.Document, *fields, *ParseError) {
	kind := head.text("kind")
	name := head.text("name")
	schema := head.count("schemaVersion", SchemaVersion)
	revision := head.count("revision", 0)
	spec := head.section("spec")
	if fault := head.finish(); fault != nil {
		return nil, nil, fault
	}
	doc := &pb.Document{Revision: revision}
	switch kind {
	case documentProfile:
		doc.Body = &pb.Document_Profile{Profile: readProfile(name, uint32(schema), spec)}
	case documentService:
		doc.Body = &pb.Document_Service{Service: readService(name, uint32(schema), spec)}
	default:
		return nil, nil, head.errorAt("kind", "Profile or Service is required")
	}
	return doc, spec, spec.finish()
}

func readProfile(name string, schema uint32, spec *fields) *pb.Profile {
	class := classes[spec.choice("class", slices.Values([]string{classOnline, classBatch}))]
	profile := &pb.Profile{
		Name:          name,
		SchemaVersion: schema,
		ServiceClass:  class,
		Idempotent:    spec.flag("idempotent", true),
	}
	for i := range profileNumbers {
		n := &profileNumbers[i]
		n.set(profile, readNumber(spec, n, n.choose(class)))
	}
	return profile
}

func readNumber(spec *fields, n *number, fallback uint64) uint64 {
	value := fallback
	if n.duration {
		value = spec.duration(n.name, fallback)
	} else {
		value = spec.count(n.name, fallback)
	}
	if value < n.low || value > n.high {
		spec.refuse(n.name, rangeReason(n))
		return fallback
	}
	return value
}

func readService(name string, schema uint32, spec *fields) *pb.Service {
	service := &pb.Service{
		Name:          name,
		SchemaVersion: schema,
		Kind:          kinds[spec.choice("kind", slices.Values([]string{kindModel, kindPlain}))],
		Profile:       spec.text("profile"),
		BatchProfile:  spec.text("batchProfile"),
		Model:         spec.text("model"),
		Version:       spec.text("version"),
		Adapters:      spec.list("adapters"),
	}
	upstreams := spec.count("minUpstreams", 1)
	if upstreams > maxMinUpstreams {
		spec.refuse("minUpstreams", fmt.Sprintf("at most %d are allowed", maxMinUpstreams))
		return service
	}
	service.MinUpstreams = uint32(upstreams)
	return service
}

// locate finds the line of a field that validation refused.
func locate(fault *FieldError, spec, head *fields) *ParseError {
	section := spec
	if head.has(fault.Field) && !spec.has(fault.Field) {
		section = head
	}
	return section.errorAt(fault.Field, fault.Reason)
}
