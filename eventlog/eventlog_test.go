package eventlog

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// blockedOutput blocks all writes until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(p)
}

var droppedLines = regexp.MustCompile(`"msg":"log_dropped","lines":(\d+)\}`)

func TestBlockedOutputDropsLinesWithoutBlocking(t *testing.T) {
	expect := NewWithT(t)
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out)
	line := append(bytes.Repeat([]byte("x"), 1023), '\n')
	for range 2000 {
		_, err := w.Write(line)
		expect.Expect(err).NotTo(HaveOccurred())
	}
	expect.Expect(w.Dropped()).To(BeNumerically(">", 0))
	close(out.release)
	w.Close()
	kept := strings.Count(out.written.String(), string(line))
	expect.Expect(kept + int(w.Dropped())).To(Equal(2000))
	// The drops are reported in one or two lines: the writer may take the buffer
	// while the loop above still fills it.
	reported := 0
	for _, match := range droppedLines.FindAllStringSubmatch(out.written.String(), -1) {
		lines, err := strconv.Atoi(match[1])
		expect.Expect(err).NotTo(HaveOccurred())
		reported += lines
	}
	expect.Expect(reported).To(Equal(int(w.Dropped())))
}

func TestLinesAreJSON(t *testing.T) {
	expect := NewWithT(t)
	var out bytes.Buffer
	w := NewWriter(&out)
	New(w, "entry-1", "entry").Info(RequestRefused, "request", "r1", "status", 503, "reason", "queue_full")
	w.Close()
	var line map[string]any
	expect.Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
	expect.Expect(line).To(HaveKeyWithValue("msg", "request_refused"))
	expect.Expect(line).To(HaveKeyWithValue("daemon", "entry-1"))
	expect.Expect(line).To(HaveKeyWithValue("status", 503.0))
	expect.Expect(line).To(HaveKey("time"))
}

// The events page for operators must list exactly the events of the code.
func TestEventsPageListsAllEvents(t *testing.T) {
	expect := NewWithT(t)
	page, err := os.ReadFile("../docs/operators/events.md")
	expect.Expect(err).NotTo(HaveOccurred())
	listed := make(map[string]bool)
	for line := range strings.Lines(string(page)) {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			if name := strings.Trim(strings.TrimSpace(cells[1]), "`"); strings.Contains(cells[1], "`") {
				listed[name] = true
			}
		}
	}
	file, err := parser.ParseFile(token.NewFileSet(), "logger.go", nil, 0)
	expect.Expect(err).NotTo(HaveOccurred())
	defined := make(map[string]bool)
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && len(spec.Values) == 1 {
			if literal, ok := spec.Values[0].(*ast.BasicLit); ok && literal.Kind == token.STRING {
				name, err := strconv.Unquote(literal.Value)
				expect.Expect(err).NotTo(HaveOccurred())
				defined[name] = true
			}
		}
		return true
	})
	expect.Expect(listed).To(Equal(defined))
}

func BenchmarkLine(b *testing.B) {
	w := NewWriter(&bytes.Buffer{})
	logger := New(w, "entry-1", "entry")
	b.ReportAllocs()
	for b.Loop() {
		logger.Info(RequestPlaced, "request", "9c41d07be2a35f68", "route", "r-a3hwrr6", "routing", 19,
			"upstream", "i-7f3a91c2", "address", "10.1.64.14:8483", "waited_ms", 0, "free", 3, "ran", 0)
	}
	w.Close()
}
