package config

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/briarcross/briarcross/pb"
)

const (
	indentSpaces = 2

	tagString = "!!str"
	tagInt    = "!!int"
	tagBool   = "!!bool"
)

// Format returns documents as YAML, which Parse converts back to the same
// documents. The numeric fields and flags are written even if they have their
// default, so that the text does not depend on defaults. The revision of a
// document is written unless it is zero.
func Format(docs []*pb.Document) ([]byte, error) {
	var text bytes.Buffer
	for i, doc := range docs {
		if err := Validate(doc); err != nil {
			return nil, err
		}
		if i > 0 {
			text.WriteString("---\n")
		}
		encoder := yaml.NewEncoder(&text)
		encoder.SetIndent(indentSpaces)
		if err := encoder.Encode(documentNode(doc)); err != nil {
			return nil, eris.Wrapf(err, "encode %s", Key(doc))
		}
		if err := encoder.Close(); err != nil {
			return nil, eris.Wrapf(err, "encode %s", Key(doc))
		}
	}
	return text.Bytes(), nil
}

// mappingBuilder builds a YAML mapping with its fields in the order of the calls.
type mappingBuilder struct {
	node yaml.Node
}

func (m *mappingBuilder) put(name string, value *yaml.Node) {
	key := &yaml.Node{Kind: yaml.ScalarNode, Tag: tagString, Value: name}
	m.node.Kind = yaml.MappingNode
	m.node.Content = append(m.node.Content, key, value)
}

func (m *mappingBuilder) scalar(name, tag, value string) {
	m.put(name, &yaml.Node{Kind: yaml.ScalarNode, Tag: tag, Value: value})
}

func documentNode(doc *pb.Document) *yaml.Node {
	var header mappingBuilder
	switch body := doc.GetBody().(type) {
	case *pb.Document_Profile:
		p := body.Profile
		putHeader(&header, documentProfile, p.GetName(), p.GetSchemaVersion(), doc.GetRevision())
		header.put("spec", profileNode(p))
	case *pb.Document_Service:
		s := body.Service
		putHeader(&header, documentService, s.GetName(), s.GetSchemaVersion(), doc.GetRevision())
		header.put("spec", serviceNode(s))
	}
	return &header.node
}

func putHeader(header *mappingBuilder, kind, name string, schema uint32, revision uint64) {
	header.scalar("kind", tagString, kind)
	header.scalar("name", tagString, name)
	header.scalar("schemaVersion", tagInt, formatUint(uint64(schema)))
	if revision != 0 {
		header.scalar("revision", tagInt, formatUint(revision))
	}
}

func profileNode(p *pb.Profile) *yaml.Node {
	var spec mappingBuilder
	spec.scalar("class", tagString, className(p.GetServiceClass()))
	spec.scalar("idempotent", tagBool, formatBool(p.GetIdempotent()))
	for i := range numericProfileFields {
		n := &numericProfileFields[i]
		if n.duration {
			spec.scalar(n.name, tagString, formatMs(n.get(p)))
		} else {
			spec.scalar(n.name, tagInt, formatUint(n.get(p)))
		}
	}
	return &spec.node
}

func serviceNode(s *pb.Service) *yaml.Node {
	var spec mappingBuilder
	spec.scalar("kind", tagString, kindName(s.GetKind()))
	spec.scalar("profile", tagString, s.GetProfile())
	if s.GetBatchProfile() != "" {
		spec.scalar("batchProfile", tagString, s.GetBatchProfile())
	}
	if s.GetModel() != "" {
		spec.scalar("model", tagString, s.GetModel())
	}
	if s.GetVersion() != "" {
		spec.scalar("version", tagString, s.GetVersion())
	}
	if len(s.GetAdapters()) > 0 {
		spec.put("adapters", listNode(s.GetAdapters()))
	}
	spec.scalar("minUpstreams", tagInt, formatUint(uint64(s.GetMinUpstreams())))
	return &spec.node
}

func listNode(items []string) *yaml.Node {
	list := &yaml.Node{Kind: yaml.SequenceNode}
	for _, item := range items {
		list.Content = append(list.Content, &yaml.Node{Kind: yaml.ScalarNode, Tag: tagString, Value: item})
	}
	return list
}

func formatUint(value uint64) string {
	return strconv.FormatUint(value, 10)
}

func formatBool(value bool) string {
	return strconv.FormatBool(value)
}
