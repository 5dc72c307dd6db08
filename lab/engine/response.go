package labengine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// responseSeed returns the hash of a prompt that determines its response.
func responseSeed(prompt string) uint64 {
	return xxhash.Sum64String(prompt)
}

// tokenText returns the text of one token of a response.
func tokenText(seed uint64, tokenIndex int) string {
	const multiplier = 0x9e3779b97f4a7c15
	const visibleBits = 20
	mixed := (seed + uint64(tokenIndex)) * multiplier
	mixed ^= mixed >> 29
	mixed *= multiplier
	return " " + strconv.FormatUint(mixed>>(64-visibleBits), 36)
}

// ResponseText returns the text that every engine generates for a prompt with a
// limit of maxTokens tokens.
func ResponseText(prompt string, maxTokens int) string {
	seed := responseSeed(prompt)
	var text strings.Builder
	for i := range maxTokens {
		text.WriteString(tokenText(seed, i))
	}
	return text.String()
}
