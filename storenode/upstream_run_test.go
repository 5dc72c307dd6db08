package storenode

import (
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/upstream"
)

// repeat reads a text again and again, up to a number of bytes.
func repeat(text string, size int) io.Reader {
	return strings.NewReader(strings.Repeat(text, size/len(text)))
}

// A run whose engine sent a byte now and then held its item and a slot for ever, as each
// byte put the idle timeout off.
func TestRunWithoutEventsIsKeptAlive(t *testing.T) {
	expect := NewWithT(t)
	progress := 0
	body := io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), repeat(": still here\n\n", 1<<20))
	readEvents(&upstream.Response{Body: body}, "", func() { progress++ }, func([]byte, int, string) {})
	expect.Expect(progress).To(Equal(1))
}

// An engine that sent events without end filled the memory of the leader.
func TestEndlessOutputOfAnItemIsCutOff(t *testing.T) {
	expect := NewWithT(t)
	size := 0
	reason := readEvents(&upstream.Response{Body: repeat("id: 1\ndata: x\n\n", 8*maxRunBytes)}, "", func() {}, func(data []byte, _ int, _ string) { size += len(data) })
	expect.Expect(reason).To(Equal(outputTooLong))
	expect.Expect(size).To(BeNumerically("<=", maxRunBytes))
}
