package batch

import (
	"encoding/binary"
	"math/bits"
)

const (
	wordBits = 64
	// pageBits is the number of bits in one stored page of a bitmap.
	pageBits  = 2048
	pageWords = pageBits / wordBits
)

// bitmap holds one bit for each item of a job.
type bitmap struct {
	words []uint64
}

func newBitmap(size uint32) bitmap {
	return bitmap{make([]uint64, (uint64(size)+wordBits-1)/wordBits)}
}

func (m bitmap) get(index uint32) bool {
	word := index / wordBits
	if int(word) >= len(m.words) {
		return false
	}
	return m.words[word]&(1<<(index%wordBits)) != 0
}

func (m bitmap) set(index uint32) {
	m.words[index/wordBits] |= 1 << (index % wordBits)
}

func (m bitmap) clear(index uint32) {
	m.words[index/wordBits] &^= 1 << (index % wordBits)
}

func (m bitmap) count() uint32 {
	total := 0
	for _, word := range m.words {
		total += bits.OnesCount64(word)
	}
	return uint32(total)
}

// last returns the highest index whose bit is set.
func (m bitmap) last() (uint32, bool) {
	for i := len(m.words) - 1; i >= 0; i-- {
		if m.words[i] != 0 {
			return uint32(i*wordBits + wordBits - 1 - bits.LeadingZeros64(m.words[i])), true
		}
	}
	return 0, false
}

// encodePage returns the stored form of one page, as little-endian words.
func (m bitmap) encodePage(page uint32) []byte {
	from := min(int(page)*pageWords, len(m.words))
	to := min(from+pageWords, len(m.words))
	stored := make([]byte, 0, pageWords*8)
	for _, word := range m.words[from:to] {
		stored = binary.LittleEndian.AppendUint64(stored, word)
	}
	return stored
}

// loadPage sets the words of one page from its stored form.
func (m bitmap) loadPage(page uint32, stored []byte) {
	wordIndex := int(page) * pageWords
	for len(stored) >= 8 && wordIndex < len(m.words) {
		m.words[wordIndex] = binary.LittleEndian.Uint64(stored)
		stored = stored[8:]
		wordIndex++
	}
}
