package openai_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/openai"
)

func TestParseRequestReadsCompletionFields(t *testing.T) {
	g := NewWithT(t)
	body := []byte(`{"model":"dam","prompt":"crest?","max_tokens":7,"stream":true,"temperature":0}`)
	completion, err := openai.ParseRequest(openai.PathCompletions, body)
	g.Expect(err).NotTo(HaveOccurred())
	want := openai.CompletionRequest{Service: "dam", Stream: true, Prompt: "crest?", MaxTokens: 7}
	g.Expect(completion).To(Equal(want))
}

func TestParseRequestJoinsChatMessages(t *testing.T) {
	g := NewWithT(t)
	body := []byte(`{"model":"dam","messages":[{"role":"system","content":"a"},` +
		`{"role":"user","content":[{"type":"text","text":"b"},{"type":"text","text":"c"}]}]}`)
	completion, err := openai.ParseRequest(openai.PathChatCompletions, body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(completion.Prompt).To(Equal("system: a\nuser: bc\n"))
	g.Expect(completion.MaxTokens).To(Equal(openai.DefaultMaxTokens))
	g.Expect(completion.Chat).To(BeTrue())
}

func TestParseRequestRejectsInvalidBodies(t *testing.T) {
	cases := map[string]string{
		"no model":      `{"prompt":"x"}`,
		"no prompt":     `{"model":"m"}`,
		"not JSON":      `{"model":`,
		"many prompts":  `{"model":"m","prompt":["a","b"]}`,
		"wrong type":    `{"model":"m","prompt":7}`,
		"string tokens": `{"model":"m","prompt":"a","max_tokens":"3"}`,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := openai.ParseRequest(openai.PathCompletions, []byte(body))
			g.Expect(err).To(HaveOccurred())
		})
	}
	g := NewWithT(t)
	_, err := openai.ParseRequest("/v1/models", nil)
	g.Expect(err).To(MatchError(openai.ErrUnknownPath))
}

func TestRewriteForEngineReplacesModel(t *testing.T) {
	g := NewWithT(t)
	body, err := openai.RewriteForEngine([]byte(`{"model":"service","prompt":"p","stream":true}`), "weights")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(MatchJSON(`{"model":"weights","prompt":"p","stream":true}`))
}

func TestRewriteForEngineKeepsOtherFields(t *testing.T) {
	g := NewWithT(t)
	body, err := openai.RewriteForEngine([]byte(`{"model":"m","prompt":"p","seed":9007199254740993}`), "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(ContainSubstring("9007199254740993"))
	completion, err := openai.ParseRequest(openai.PathCompletions, body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(completion.Stream).To(BeTrue())
}

func TestPrefixHashesMatchOnlyOnSharedPrefix(t *testing.T) {
	g := NewWithT(t)
	shared := strings.Repeat("s", 3*openai.BlockBytes)
	a := openai.PrefixHashes(shared + strings.Repeat("a", 2*openai.BlockBytes))
	b := openai.PrefixHashes(shared + strings.Repeat("b", 2*openai.BlockBytes))
	g.Expect(a[:3]).To(Equal(b[:3]))
	g.Expect(a[3]).NotTo(Equal(b[3]))
	g.Expect(a[4]).NotTo(Equal(b[4]))
	long := openai.PrefixHashes(strings.Repeat("x", 1<<20))
	g.Expect(long).To(HaveLen(openai.MaxPrefixBlocks))
	g.Expect(openai.PrefixHashes("short")).To(BeEmpty())
}

func TestAggregatorJoinsChunks(t *testing.T) {
	g := NewWithT(t)
	var aggregator openai.Aggregator
	payloads := []string{
		`{"id":"chatcmpl-1","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":""}}]}`,
		`{"id":"chatcmpl-1","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"two "}}]}`,
		`{"id":"chatcmpl-1","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"crews"},"finish_reason":"stop"}]}`,
		openai.Done,
	}
	for _, payload := range payloads {
		g.Expect(aggregator.Add([]byte(payload))).To(Succeed())
	}
	body, err := aggregator.Body()
	g.Expect(err).NotTo(HaveOccurred())
	var response openai.Chunk
	g.Expect(json.Unmarshal(body, &response)).To(Succeed())
	g.Expect(response.Object).To(Equal("chat.completion"))
	g.Expect(response.Choices[0].Message.Content).To(Equal("two crews"))
	g.Expect(*response.Choices[0].FinishReason).To(Equal("stop"))
	g.Expect(response.Usage.CompletionTokens).To(Equal(2))
}

func TestAggregatorRejectsInvalidChunks(t *testing.T) {
	g := NewWithT(t)
	var aggregator openai.Aggregator
	_, err := aggregator.Body()
	g.Expect(err).To(HaveOccurred())
	g.Expect(aggregator.Add([]byte(`{"id":"cmpl-1","choices":[]}`))).To(Succeed())
	g.Expect(aggregator.Add([]byte(`{"id":"cmpl-2","choices":[]}`))).NotTo(Succeed())
	g.Expect(aggregator.Add([]byte(`{"id":"cmpl-1","choices":[{"index":4000000}]}`))).NotTo(Succeed())
}

func TestErrorBodyRoundTrip(t *testing.T) {
	g := NewWithT(t)
	detail, ok := openai.ParseError(openai.ErrorBody("queue_full", `say "later"`))
	g.Expect(ok).To(BeTrue())
	g.Expect(detail.Code).To(Equal("queue_full"))
	g.Expect(detail.Message).To(Equal(`say "later"`))
}

func FuzzParse(f *testing.F) {
	f.Add(openai.PathCompletions, []byte(`{"model":"m","prompt":"p"}`))
	f.Add(openai.PathChatCompletions, []byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		completion, err := openai.ParseRequest(path, body)
		if err == nil && completion.Service == "" {
			t.Fatal("a request without a model was accepted")
		}
	})
}

func FuzzAggregator(f *testing.F) {
	f.Add([]byte(`{"id":"cmpl-1","choices":[{"index":0,"text":"x"}]}`))
	f.Fuzz(func(t *testing.T, payload []byte) {
		var aggregator openai.Aggregator
		if aggregator.Add(payload) != nil || string(payload) == openai.Done {
			return
		}
		if _, err := aggregator.Body(); err != nil {
			t.Fatal(err)
		}
	})
}
