package openai

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// Paths of the completion endpoints.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
)

// DefaultMaxTokens is the limit of a request that specifies none, in tokens.
const DefaultMaxTokens = 64

// ErrUnknownPath is returned for a path that is not a completion endpoint.
var ErrUnknownPath = eris.New("openai: path is not a completion endpoint")

// CompletionRequest is a request to /v1/completions or /v1/chat/completions.
type CompletionRequest struct {
	// Service is the value of the model field.
	Service string
	// Stream requests a response as server-sent events.
	Stream bool
	// IncludeUsage requests a last chunk with token counts.
	IncludeUsage bool
	// Prompt is the text of the prompt; chat messages are joined in order.
	Prompt string
	// MaxTokens limits the response, in tokens.
	MaxTokens int
	// Chat is set for /v1/chat/completions.
	Chat bool
}

type requestBody struct {
	Model               string           `json:"model"`
	Stream              bool             `json:"stream"`
	StreamOptions       streamOptions    `json:"stream_options"`
	Prompt              json.RawMessage  `json:"prompt"`
	Messages            []requestMessage `json:"messages"`
	MaxTokens           *int             `json:"max_tokens"`
	MaxCompletionTokens *int             `json:"max_completion_tokens"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type requestMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// IsCompletionPath reports whether path is a completion endpoint.
func IsCompletionPath(path string) bool {
	return path == PathCompletions || path == PathChatCompletions
}

// ParseRequest parses the body of a completion request. It returns ErrUnknownPath
// for a path that is not a completion endpoint, and an error that says what is
// wrong for a malformed body. It does not check the value of max_tokens, which
// the engine validates.
func ParseRequest(path string, body []byte) (CompletionRequest, error) {
	if !IsCompletionPath(path) {
		return CompletionRequest{}, ErrUnknownPath
	}
	var fields requestBody
	if err := json.Unmarshal(body, &fields); err != nil {
		return CompletionRequest{}, eris.Wrap(err, "openai: request body")
	}
	if fields.Model == "" {
		return CompletionRequest{}, eris.New("openai: field model is missing")
	}
	completion := CompletionRequest{
		Service:      fields.Model,
		Stream:       fields.Stream,
		IncludeUsage: fields.StreamOptions.IncludeUsage,
		MaxTokens:    fields.maxTokens(),
		Chat:         path == PathChatCompletions,
	}
	prompt, err := fields.prompt(completion.Chat)
	if err != nil {
		return CompletionRequest{}, err
	}
	completion.Prompt = prompt
	return completion, nil
}

func (b *requestBody) maxTokens() int {
	if b.MaxCompletionTokens != nil {
		return *b.MaxCompletionTokens
	}
	if b.MaxTokens != nil {
		return *b.MaxTokens
	}
	return DefaultMaxTokens
}

func (b *requestBody) prompt(chat bool) (string, error) {
	if !chat {
		return parsePrompt(b.Prompt)
	}
	if len(b.Messages) == 0 {
		return "", eris.New("openai: field messages is missing")
	}
	var text strings.Builder
	for i, m := range b.Messages {
		content, err := parseContent(m.Content)
		if err != nil {
			return "", eris.Wrapf(err, "openai: messages[%d]", i)
		}
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(content)
		text.WriteString("\n")
	}
	return text.String(), nil
}

func parsePrompt(raw json.RawMessage) (string, error) {
	if len(raw) == 0 {
		return "", eris.New("openai: field prompt is missing")
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil && len(list) == 1 {
		return list[0], nil
	}
	return "", eris.New("openai: field prompt must be a string or a list of one string")
}

func parseContent(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return "", nil
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", eris.New("content must be a string or a list of parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		joined.WriteString(part.Text)
	}
	return joined.String(), nil
}

// RewriteForEngine returns the body of a completion request for an engine:
// streaming is turned on, and the model field is replaced unless model is empty.
// All other fields keep their values.
func RewriteForEngine(body []byte, model string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, eris.Wrap(err, "openai: request body")
	}
	if model == "" && string(fields["stream"]) == "true" {
		return body, nil
	}
	fields["stream"] = json.RawMessage("true")
	if model != "" {
		name, err := json.Marshal(model)
		if err != nil {
			return nil, eris.Wrap(err, "openai: model name")
		}
		fields["model"] = name
	}
	return json.Marshal(fields)
}
