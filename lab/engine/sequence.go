package labengine

import (
	"github.com/briarcross/briarcross/openai"
)

// sequence is an accepted request with its progress.
type sequence struct {
	request      SubmitRequest
	responseSeed uint64
	prefixHashes []uint64
	// promptTokens is the length of the prompt, in tokens.
	promptTokens int
	// responseTokens is the number of response tokens that exist, resumed ones
	// included.
	responseTokens int
	// maxResponseTokens is the number of response tokens, resumed ones included,
	// at which the sequence ends.
	maxResponseTokens int
	// prefillTokensLeft is the number of tokens to prefill before the next token is
	// generated.
	prefillTokensLeft int
	// truncateAtTokens is the number of response tokens at which a simulated fault
	// ends the response early; -1 if none does.
	truncateAtTokens int
}

func newSequence(request SubmitRequest) *sequence {
	prompt := request.Completion.Prompt
	return &sequence{
		request:           request,
		responseSeed:      responseSeed(prompt),
		prefixHashes:      openai.PrefixHashes(prompt),
		promptTokens:      openai.EstimateTokens(prompt),
		responseTokens:    request.ResumeFrom,
		maxResponseTokens: request.Completion.MaxTokens,
		truncateAtTokens:  -1,
	}
}

// kvTokens returns the KV memory that the sequence occupies, in tokens.
func (s *sequence) kvTokens() int { return s.promptTokens + s.responseTokens }

func (s *sequence) complete() bool { return s.responseTokens >= s.maxResponseTokens }
