package labengine

import (
	"github.com/briarcross/briarcross/openai"
)

// sequence is a request inside the engine.
type sequence struct {
	request      SubmitRequest
	responseSeed uint64
	prefixHashes []uint64
	// promptTokens is the length of the prompt.
	promptTokens int
	// responseTokens is the number of answer tokens that exist, resumed ones included.
	responseTokens int
	// maxResponseTokens is the number of answer tokens at which the sequence ends.
	maxResponseTokens int
	// prefillTokensLeft is the number of tokens to compute before the next token.
	prefillTokensLeft int
	// truncateAtTokens ends the answer early when it is not negative.
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

// kvTokens is the memory that the sequence occupies.
func (s *sequence) kvTokens() int { return s.promptTokens + s.responseTokens }

func (s *sequence) complete() bool { return s.responseTokens >= s.maxResponseTokens }
