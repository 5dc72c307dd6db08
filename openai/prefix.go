package openai

import (
	"encoding/binary"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length of a prompt block that PrefixHashes hashes, in
// bytes: about 16 tokens.
const BlockBytes = 64

// MaxPrefixBlocks is the largest number of hashes that PrefixHashes returns.
const MaxPrefixBlocks = 64

// bytesPerToken is the estimated length of a token in ASCII text.
const bytesPerToken = 4

// PrefixHashes returns one hash for each whole leading block of the prompt, at
// most MaxPrefixBlocks. Each hash covers its block and all blocks before it, so
// that the leading hashes of two prompts are equal exactly where their leading
// blocks are.
func PrefixHashes(prompt string) []uint64 {
	blocks := min(len(prompt)/BlockBytes, MaxPrefixBlocks)
	hashes := make([]uint64, blocks)
	var previousHash uint64
	for i := range hashes {
		previousHash = ChainHash(previousHash, prompt[i*BlockBytes:(i+1)*BlockBytes])
		hashes[i] = previousHash
	}
	return hashes
}

// ChainHash returns the hash of a prefix that ends with block; previousHash is
// the hash of the prefix before it, or zero for the first block.
func ChainHash(previousHash uint64, block string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previousHash)
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(block)
	return digest.Sum64()
}

// EstimateTokens returns the approximate number of tokens of a prompt, at least
// one. Text that is not ASCII is estimated from the mean of its numbers of bytes
// and runes.
func EstimateTokens(prompt string) int {
	if isASCII(prompt) {
		return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
	}
	runes := utf8.RuneCountInString(prompt)
	return max(1, (len(prompt)+runes)/(2*bytesPerToken))
}

func isASCII(text string) bool {
	for i := range len(text) {
		if text[i] >= utf8.RuneSelf {
			return false
		}
	}
	return true
}
