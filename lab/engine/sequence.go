package labengine

import (
	"github.com/briarcross/briarcross/openai"
)

// sequence is a request inside the engine.
type sequence struct {
	start  SubmitRequest
	seed   uint64
	hashes []uint64
	// promptTokens is the length of the prompt.
	promptTokens int
	// position is the number of answer tokens that exist, resumed ones included.
	position int
	// limit is the number of answer tokens at which the sequence ends.
	limit int
	// prefillLeft is the number of tokens to compute before the next token.
	prefillLeft int
	// truncateAt ends the answer early when it is not negative.
	truncateAt int
}

func newSequence(start SubmitRequest) *sequence {
	prompt := start.Completion.Prompt
	return &sequence{
		start:        start,
		seed:         answerSeed(prompt),
		hashes:       openai.PrefixHashes(prompt),
		promptTokens: openai.EstimateTokens(prompt),
		position:     start.ResumeFrom,
		limit:        start.Completion.MaxTokens,
		truncateAt:   -1,
	}
}

// kvTokens is the memory that the sequence occupies.
func (s *sequence) kvTokens() int { return s.promptTokens + s.position }

func (s *sequence) done() bool { return s.position >= s.limit }
