package config

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/internal/record"
	"github.com/briarcross/briarcross/pb"
)

var writeGolden = flag.Bool("write-golden", false, "write golden files that do not exist yet")

const goldenDir = "testdata/golden-v1"

// TestGoldenFilesOfSchemaVersion1 checks that documents of schema version 1 keep
// their meaning: each input still parses to the fields in the .frozen file and
// encodes to the bytes in the .stored file, which decode to the same fields.
func TestGoldenFilesOfSchemaVersion1(t *testing.T) {
	g := NewWithT(t)
	inputs, err := filepath.Glob(goldenDir + "/*.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(inputs)).To(BeNumerically(">=", 5))
	for _, input := range inputs {
		docs := parseFile(g, input)
		text, err := Format(docs)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(text)).To(Equal(golden(g, input, ".frozen", string(text))), input)
		stored := golden(g, input, ".stored", storedHex(docs))
		g.Expect(storedHex(docs)).To(Equal(stored), input)
		decoded, err := Format(decodeHex(g, stored))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(decoded)).To(Equal(string(text)), input)
	}
}

// golden returns the content of the golden file of an input. With -write-golden it
// creates a missing file with the current content.
func golden(g *WithT, input, extension, current string) string {
	path := strings.TrimSuffix(input, ".yaml") + extension
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) && *writeGolden {
		g.Expect(os.WriteFile(path, []byte(current), 0o644)).To(Succeed())
		return current
	}
	g.Expect(err).NotTo(HaveOccurred())
	return string(content)
}

func parseFile(g *WithT, path string) []*pb.Document {
	text, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	docs, err := Parse(path, text)
	g.Expect(err).NotTo(HaveOccurred())
	return docs
}

// storedHex returns the stored bytes of each document in hexadecimal, one per line.
func storedHex(docs []*pb.Document) string {
	var text strings.Builder
	for _, doc := range docs {
		text.WriteString(hex.EncodeToString(record.Encode(doc)) + "\n")
	}
	return text.String()
}

func decodeHex(g *WithT, text string) []*pb.Document {
	var docs []*pb.Document
	for _, line := range strings.Fields(text) {
		value, err := hex.DecodeString(line)
		g.Expect(err).NotTo(HaveOccurred())
		doc := &pb.Document{}
		record.Decode(value, doc)
		docs = append(docs, doc)
	}
	return docs
}

func TestExamplesAreAcceptedByTheState(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("../examples/*.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(files)).To(BeNumerically(">=", 2))
	for _, file := range files {
		s := newTestState()
		c := newChange(file)
		docs := parseFile(g, file)
		for _, doc := range docs {
			c.Ops = append(c.Ops, putOp(0, doc))
		}
		g.Expect(s.change(c)).To(haveOutcome(accepted), file)
		table := NewTable()
		g.Expect(table.Apply(s.state.UpdateSince(s.store, 0))).To(Equal(Applied))
		for _, service := range table.Services() {
			_, online, _, ok := table.ServiceWithProfiles(service.GetName())
			g.Expect(ok).To(BeTrue(), service.GetName())
			g.Expect(online.GetServiceClass()).To(Equal(pb.ServiceClass_CLASS_ONLINE))
		}
	}
}

func TestParseErrorNamesFileLineAndField(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"kind: Profile\nname: p\nspec:\n  class: online\n  hedge: 3s\n", "f:5: field hedge: the field is unknown"},
		{"kind: Profile\nname: p\nextra: 1\nspec: {class: online}\n", "f:3: field extra: the field is unknown"},
		{"kind: Profile\nname: p\nspec: {class: fast}\n", "f:3: field class: online or batch is required"},
		{"kind: Profil\nname: p\n", "f:1: field kind: Profile or Service is required"},
		{"kind: Profile\nname: P\nspec: {class: batch}\n", "f:2: field name: a name consists of a-z, 0-9, '-', '_' and '.'"},
		{"kind: Profile\nname: p\nschemaVersion: 2\nspec: {class: batch}\n", "f:3: field schemaVersion: version 1 is required"},
		{"kind: Profile\nname: p\nspec:\n  class: online\n  due: 5\n",
			`f:5: field due: a duration of whole milliseconds such as "350ms" or "24h" is required`},
		{"kind: Profile\nname: p\nspec:\n  class: online\n  due: 0s\n",
			"f:5: field due: the duration must be between 1ms and 2160h"},
		{"kind: Profile\nname: p\nspec:\n  class: online\n  priority: -1\n",
			"f:5: field priority: a whole number from 0 is required"},
		{"kind: Profile\nname: p\nspec:\n  class: online\n  idempotent: false\n  hedgeAfter: 1s\n",
			"f:6: field hedgeAfter: only idempotent requests are hedged"},
		{"kind: Profile\nname: p\nspec:\n  class: online\n  due: 1s\n  due: 2s\n", "f:6: field due: the field is listed twice"},
		{"kind: Profile\nname: p\nspec: &a {class: batch}\n", "f:3: field spec: anchors and aliases are not allowed"},
		{"kind: Profile\nname: p\nspec: {class: batch}\n---\nkind: Profile\nname: p\nspec: {class: batch}\n",
			"f:5: field name: profile/p is defined twice in the file"},
		{"kind: Service\nname: s\nspec:\n  kind: model\n  profile: p\n", "f:4: field model: a model service needs a model"},
		{"kind: Service\nname: s\nspec:\n  kind: plain\n  profile: p\n  adapters: a\n", "f:6: field adapters: a list is required"},
		{"kind: Service\nname: s\nspec:\n  kind: plain\n  profile:\n", "f:5: field profile: a value is required"},
		{"- a\n", "f:1: document must be a mapping of fields"},
	} {
		g := NewWithT(t)
		_, err := Parse("f", []byte(c.text))
		g.Expect(err).To(MatchError(c.want), c.text)
	}
}

func TestJSONIsReadAsYAML(t *testing.T) {
	g := NewWithT(t)
	doc := parseOne(`{"kind": "Profile", "name": "p", "schemaVersion": 1, "spec": {"class": "batch", "priority": 7}}`)
	g.Expect(proto.Equal(doc, newProfile("p", "batch", 7))).To(BeTrue())
}

func TestFormatKeepsNonzeroRevision(t *testing.T) {
	g := NewWithT(t)
	doc := newProfile("p", "batch", 4)
	doc.Revision = 17
	text, err := Format([]*pb.Document{doc, newService("s", "p")})
	g.Expect(err).NotTo(HaveOccurred())
	docs, err := Parse("edit.yaml", text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(docs).To(HaveLen(2))
	g.Expect(proto.Equal(docs[0], doc)).To(BeTrue())
	g.Expect(docs[1].GetRevision()).To(BeZero())
}

// FuzzParse checks that Parse returns no other error than a *ParseError, and that
// Parse restores the documents that it accepted from the output of Format.
func FuzzParse(f *testing.F) {
	inputs, _ := filepath.Glob(goldenDir + "/*.yaml")
	for _, input := range inputs {
		text, err := os.ReadFile(input)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		docs, err := Parse("fuzz", text)
		if err != nil {
			if _, typed := err.(*ParseError); !typed {
				t.Fatalf("Parse returned an error of type %T, want *ParseError", err)
			}
			return
		}
		again, err := Format(docs)
		if err != nil {
			t.Fatalf("Format failed on accepted documents: %v", err)
		}
		reread, err := Parse("fuzz", again)
		if err != nil {
			t.Fatalf("Parse failed on the output of Format: %v\n%s", err, again)
		}
		if len(reread) != len(docs) {
			t.Fatalf("%d documents before Format, %d after", len(docs), len(reread))
		}
		for i := range docs {
			if !proto.Equal(docs[i], reread[i]) {
				t.Fatalf("document %d differs after Format and Parse", i)
			}
		}
	})
}
