package openai

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Done is the payload of the last event of a stream.
const Done = "[DONE]"

// Usage is the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Message is the content of a chat response, or of one chunk of it.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Choice is one of the alternative completions in a response, or in one chunk
// of it.
type Choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Chunk is the payload of one event of a stream, or a complete response.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ResponseID returns the ID that an engine gives to the response to a request.
func ResponseID(chat bool, requestID string) string {
	if chat {
		return "chatcmpl-" + requestID
	}
	return "cmpl-" + requestID
}

// PayloadID returns the id field of an event's payload, or an empty string when
// the payload has none or is not a JSON object.
func PayloadID(payload []byte) string {
	var fields struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(payload, &fields) != nil {
		return ""
	}
	return fields.ID
}

var (
	textKey         = []byte(`"text":"`)
	contentKey      = []byte(`"content":"`)
	finishReasonKey = []byte(`"finish_reason"`)
)

// PayloadTokens returns the number of tokens in an event's payload: one if the
// first text or the first content field is not empty, otherwise zero. It searches
// for the fields without parsing the payload.
func PayloadTokens(payload []byte) int {
	if hasNonEmptyString(payload, textKey) || hasNonEmptyString(payload, contentKey) {
		return 1
	}
	return 0
}

func hasNonEmptyString(payload, key []byte) bool {
	start := bytes.Index(payload, key)
	if start < 0 {
		return false
	}
	rest := payload[start+len(key):]
	return len(rest) > 0 && rest[0] != '"'
}

// PayloadFinishes reports whether an event's payload states why one of its choices has finished.
func PayloadFinishes(payload []byte) bool {
	if !bytes.Contains(payload, finishReasonKey) {
		return false
	}
	var chunk Chunk
	if json.Unmarshal(payload, &chunk) != nil {
		return false
	}
	return slices.ContainsFunc(chunk.Choices, func(c Choice) bool { return c.FinishReason != nil })
}

// Aggregator joins the chunks of one stream into the response to a request
// without streaming. The zero value is ready to use.
type Aggregator struct {
	// first is the first chunk; it is valid once started is set.
	first   Chunk
	started bool
	// choices holds the text so far of each choice, by its index.
	choices []choiceBuilder
	// usage is the last token count reported by the engine; nil if there is none.
	usage *Usage
	// tokens counts the tokens of the added chunks.
	tokens int
}

// choiceBuilder joins the parts of one choice.
type choiceBuilder struct {
	text         strings.Builder
	role         string
	finishReason *string
}

// maxChoices limits the choices of one response.
const maxChoices = 128

// Add adds the payload of the next event. It returns an error for a payload that
// is not a chunk, has a different ID than the first chunk, or has a choice index
// that is out of range.
func (a *Aggregator) Add(payload []byte) error {
	if string(payload) == Done {
		return nil
	}
	var chunk Chunk
	if err := json.Unmarshal(payload, &chunk); err != nil {
		return eris.Wrap(err, "openai: chunk")
	}
	if !a.started {
		a.first = chunk
		a.started = true
	}
	if chunk.ID != a.first.ID {
		return eris.Errorf("openai: chunk of answer %q in answer %q", chunk.ID, a.first.ID)
	}
	if chunk.Usage != nil {
		a.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if err := a.addChoice(choice); err != nil {
			return err
		}
	}
	a.tokens += PayloadTokens(payload)
	return nil
}

func (a *Aggregator) addChoice(choice Choice) error {
	if choice.Index < 0 || choice.Index >= maxChoices {
		return eris.Errorf("openai: choice index %d is out of range", choice.Index)
	}
	for len(a.choices) <= choice.Index {
		a.choices = append(a.choices, choiceBuilder{})
	}
	builder := &a.choices[choice.Index]
	if choice.Text != nil {
		builder.text.WriteString(*choice.Text)
	}
	if choice.Delta != nil {
		builder.text.WriteString(choice.Delta.Content)
		if choice.Delta.Role != "" {
			builder.role = choice.Delta.Role
		}
	}
	if choice.FinishReason != nil {
		builder.finishReason = choice.FinishReason
	}
	return nil
}

// Tokens returns the number of tokens added so far.
func (a *Aggregator) Tokens() int {
	return a.tokens
}

// Body returns the complete response as JSON. It returns an error when no chunk
// was added.
func (a *Aggregator) Body() ([]byte, error) {
	if !a.started {
		return nil, eris.New("openai: the stream carried no chunk")
	}
	response := a.first
	response.Object = strings.TrimSuffix(response.Object, ".chunk")
	chat := response.Object == "chat.completion"
	response.Usage = a.usage
	if response.Usage == nil {
		response.Usage = &Usage{CompletionTokens: a.tokens, TotalTokens: a.tokens}
	}
	response.Choices = make([]Choice, len(a.choices))
	for i := range a.choices {
		response.Choices[i] = a.choices[i].build(i, chat)
	}
	return json.Marshal(response)
}

func (c *choiceBuilder) build(index int, chat bool) Choice {
	text := c.text.String()
	choice := Choice{Index: index, FinishReason: c.finishReason}
	if !chat {
		choice.Text = &text
		return choice
	}
	role := c.role
	if role == "" {
		role = "assistant"
	}
	choice.Message = &Message{Role: role, Content: text}
	return choice
}
