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

// maxTextBytes is the maximum size of a configuration file.
const maxTextBytes = 16 << 20

// ParseError reports an error in a configuration file.
type ParseError struct {
	File string
	// Line is the line number, starting at one, or zero if it is not known.
	Line int
	// Field is the name of the invalid field, or empty.
	Field string
	// Reason says what is wrong.
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

// Parse reads the YAML documents of a file. Absent fields get their defaults. The
// error is a *ParseError.
func Parse(file string, text []byte) ([]*pb.Document, error) {
	p := parser{file: file, seen: make(map[string]bool)}
	docs, parseErr := p.parse(text)
	if parseErr != nil {
		parseErr.File = file
		return nil, parseErr
	}
	return docs, nil
}

type parser struct {
	file string
	seen map[string]bool
}

func (p *parser) parse(text []byte) ([]*pb.Document, *ParseError) {
	if len(text) > maxTextBytes {
		return nil, &ParseError{Reason: fmt.Sprintf("the file is larger than the limit of %d bytes", maxTextBytes)}
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
		doc, parseErr := p.parseDocument(&root)
		if parseErr != nil {
			return nil, parseErr
		}
		if doc != nil {
			docs = append(docs, doc)
		}
	}
}

// parseDocument reads one YAML document. It returns nil if the document is empty.
func (p *parser) parseDocument(root *yaml.Node) (*pb.Document, *ParseError) {
	if len(root.Content) != 1 || root.Content[0].Tag == "!!null" {
		return nil, nil
	}
	header, parseErr := newMappingReader(root.Content[0], "document")
	if parseErr != nil {
		return nil, parseErr
	}
	doc, spec, parseErr := decodeDocument(header)
	if parseErr != nil {
		return nil, parseErr
	}
	if parseErr := validate(doc); parseErr != nil {
		return nil, toParseError(parseErr, spec, header)
	}
	key := Key(doc)
	if p.seen[key] {
		return nil, &ParseError{Line: header.line, Field: "name", Reason: key + " is defined twice in the file"}
	}
	p.seen[key] = true
	return doc, nil
}

// decodeDocument reads the fields of a document and of its spec.
func decodeDocument(header *mappingReader) (*pb.Document, *mappingReader, *ParseError) {
	kind := header.text("kind")
	name := header.text("name")
	schema := header.unsigned("schemaVersion", SchemaVersion)
	revision := header.unsigned("revision", 0)
	spec := header.section("spec")
	if parseErr := header.finish(); parseErr != nil {
		return nil, nil, parseErr
	}
	doc := &pb.Document{Revision: revision}
	switch kind {
	case documentProfile:
		doc.Body = &pb.Document_Profile{Profile: decodeProfile(name, uint32(schema), spec)}
	case documentService:
		doc.Body = &pb.Document_Service{Service: decodeService(name, uint32(schema), spec)}
	default:
		return nil, nil, header.errorAt("kind", "Profile or Service is required")
	}
	return doc, spec, spec.finish()
}

func decodeProfile(name string, schema uint32, spec *mappingReader) *pb.Profile {
	class := classByName[spec.choice("class", slices.Values([]string{classOnline, classBatch}))]
	profile := &pb.Profile{
		Name:          name,
		SchemaVersion: schema,
		ServiceClass:  class,
		Idempotent:    spec.boolean("idempotent", true),
	}
	for i := range numericProfileFields {
		n := &numericProfileFields[i]
		n.set(profile, decodeNumber(spec, n, n.defaultFor(class)))
	}
	return profile
}

func decodeNumber(spec *mappingReader, n *numericField, defaultValue uint64) uint64 {
	value := defaultValue
	if n.duration {
		value = spec.duration(n.name, defaultValue)
	} else {
		value = spec.unsigned(n.name, defaultValue)
	}
	if value < n.min || value > n.max {
		spec.recordError(n.name, rangeReason(n))
		return defaultValue
	}
	return value
}

func decodeService(name string, schema uint32, spec *mappingReader) *pb.Service {
	service := &pb.Service{
		Name:          name,
		SchemaVersion: schema,
		Kind:          kindByName[spec.choice("kind", slices.Values([]string{kindModel, kindPlain}))],
		Profile:       spec.text("profile"),
		BatchProfile:  spec.text("batchProfile"),
		Model:         spec.text("model"),
		Version:       spec.text("version"),
		Adapters:      spec.list("adapters"),
	}
	minUpstreams := spec.unsigned("minUpstreams", 1)
	if minUpstreams > maxMinUpstreams {
		spec.recordError("minUpstreams", fmt.Sprintf("at most %d are allowed", maxMinUpstreams))
		return service
	}
	service.MinUpstreams = uint32(minUpstreams)
	return service
}

// toParseError adds the line of the invalid field to an error of validation.
func toParseError(fieldErr *FieldError, spec, header *mappingReader) *ParseError {
	section := spec
	if header.has(fieldErr.Field) && !spec.has(fieldErr.Field) {
		section = header
	}
	return section.errorAt(fieldErr.Field, fieldErr.Reason)
}
