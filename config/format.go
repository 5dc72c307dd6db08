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

	tagText   = "!!str"
	tagNumber = "!!int"
	tagFlag   = "!!bool"
)

// Format writes documents as YAML that Parse reads back. Every field is
// written, so that the text does not depend on defaults. The revision of a
// document is written when it is not zero.
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

// mapping builds a YAML mapping in the order of the calls.
type mapping struct {
	node yaml.Node
}

func (m *mapping) put(name string, value *yaml.Node) {
	key := &yaml.Node{Kind: yaml.ScalarNode, Tag: tagText, Value: name}
	m.node.Kind = yaml.MappingNode
	m.node.Content = append(m.node.Content, key, value)
}

func (m *mapping) scalar(name, tag, value string) {
	m.put(name, &yaml.Node{Kind: yaml.ScalarNode, Tag: tag, Value: value})
}

func documentNode(doc *pb.Document) *yaml.Node {
	var head mapping
	switch body := doc.GetBody().(type) {
	case *pb.Document_Profile:
		p := body.Profile
		putHead(&head, documentProfile, p.GetName(), p.GetSchemaVersion(), doc.GetRevision())
		head.put("spec", profileNode(p))
	case *pb.Document_Service:
		s := body.Service
		putHead(&head, documentService, s.GetName(), s.GetSchemaVersion(), doc.GetRevision())
		head.put("spec", serviceNode(s))
	}
	return &head.node
}

func putHead(head *mapping, kind, name string, schema uint32, revision uint64) {
	head.scalar("kind", tagText, kind)
	head.scalar("name", tagText, name)
	head.scalar("schemaVersion", tagNumber, formatCount(uint64(schema)))
	if revision != 0 {
		head.scalar("revision", tagNumber, formatCount(revision))
	}
}

func profileNode(p *pb.Profile) *yaml.Node {
	var spec mapping
	spec.scalar("class", tagText, className(p.GetServiceClass()))
	spec.scalar("idempotent", tagFlag, formatFlag(p.GetIdempotent()))
	for i := range profileNumbers {
		n := &profileNumbers[i]
		if n.duration {
			spec.scalar(n.name, tagText, formatMs(n.get(p)))
		} else {
			spec.scalar(n.name, tagNumber, formatCount(n.get(p)))
		}
	}
	return &spec.node
}

func serviceNode(s *pb.Service) *yaml.Node {
	var spec mapping
	spec.scalar("kind", tagText, kindName(s.GetKind()))
	spec.scalar("profile", tagText, s.GetProfile())
	if s.GetBatchProfile() != "" {
		spec.scalar("batchProfile", tagText, s.GetBatchProfile())
	}
	if s.GetModel() != "" {
		spec.scalar("model", tagText, s.GetModel())
	}
	if s.GetVersion() != "" {
		spec.scalar("version", tagText, s.GetVersion())
	}
	if len(s.GetAdapters()) > 0 {
		spec.put("adapters", listNode(s.GetAdapters()))
	}
	spec.scalar("minUpstreams", tagNumber, formatCount(uint64(s.GetMinUpstreams())))
	return &spec.node
}

func listNode(items []string) *yaml.Node {
	list := &yaml.Node{Kind: yaml.SequenceNode}
	for _, item := range items {
		list.Content = append(list.Content, &yaml.Node{Kind: yaml.ScalarNode, Tag: tagText, Value: item})
	}
	return list
}

func formatCount(value uint64) string {
	return strconv.FormatUint(value, 10)
}

func formatFlag(value bool) string {
	return strconv.FormatBool(value)
}
