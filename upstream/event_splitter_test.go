package upstream

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const stream = "id: 1\ndata: a\n\nversion: 3\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n: comment\n\nid: 3\ndata:d\n\n"

func TestSplitEventsAreUnchanged(t *testing.T) {
	for size := 1; size <= len(stream); size++ {
		expect := NewWithT(t)
		var payloads []string
		events := EventSplitter{OnData: func(p []byte) { payloads = append(payloads, string(p)) }}
		var output strings.Builder
		for rest := stream; rest != ""; {
			n := min(size, len(rest))
			events, err := events.Push([]byte(rest[:n]))
			expect.Expect(err).NotTo(HaveOccurred())
			output.Write(events)
			rest = rest[n:]
		}
		expect.Expect(output.String()).To(Equal(stream))
		expect.Expect(payloads).To(Equal([]string{"a", "b\nc", "d"}))
		expect.Expect(events.LastID).To(Equal("3"))
		expect.Expect(events.Count).To(Equal(3))
		expect.Expect(events.PendingBytes()).To(BeZero())
	}
}

func TestIncompleteEventIsBuffered(t *testing.T) {
	expect := NewWithT(t)
	events := EventSplitter{}
	whole, err := events.Push([]byte("id: 1\ndata: a\n\nid: 2\ndata: b"))
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(string(whole)).To(Equal("id: 1\ndata: a\n\n"))
	expect.Expect(events.LastID).To(Equal("1"))
	expect.Expect(events.PendingBytes()).To(Equal(len("id: 2\ndata: b")))
	events.Reset()
	whole, err = events.Push([]byte("id: 2\ndata: b\n\n"))
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(string(whole)).To(Equal("id: 2\ndata: b\n\n"))
}

func TestOversizedEventIsRejected(t *testing.T) {
	events := EventSplitter{}
	_, err := events.Push(make([]byte, maxEventBytes+1))
	NewWithT(t).Expect(err).To(MatchError(ErrEventTooLarge))
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte(stream), uint8(3))
	f.Add([]byte("\n\n\r\n\r\n"), uint8(1))
	f.Fuzz(func(t *testing.T, raw []byte, size uint8) {
		events := EventSplitter{}
		var out []byte
		for rest := raw; len(rest) > 0; {
			n := min(int(size)+1, len(rest))
			whole, err := events.Push(rest[:n])
			if err != nil {
				return
			}
			out = append(out, whole...)
			rest = rest[n:]
		}
		if string(out)+string(events.buffer) != string(raw) {
			t.Fatalf("bytes were lost or changed: %q and %q from %q", out, events.buffer, raw)
		}
	})
}
