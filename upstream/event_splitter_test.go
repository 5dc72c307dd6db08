package upstream

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const stream = "id: 1\ndata: a\n\nversion: 3\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n: comment\n\nid: 3\ndata:d\n\n"

func TestSplitEventsAreUnchanged(t *testing.T) {
	for size := 1; size <= len(stream); size++ {
		g := NewWithT(t)
		var payloads []string
		splitter := EventSplitter{OnData: func(p []byte) { payloads = append(payloads, string(p)) }}
		var output strings.Builder
		for rest := stream; rest != ""; {
			n := min(size, len(rest))
			events, err := splitter.Push([]byte(rest[:n]))
			g.Expect(err).NotTo(HaveOccurred())
			output.Write(events)
			rest = rest[n:]
		}
		g.Expect(output.String()).To(Equal(stream))
		g.Expect(payloads).To(Equal([]string{"a", "b\nc", "d"}))
		g.Expect(splitter.LastID).To(Equal("3"))
		g.Expect(splitter.Count).To(Equal(3))
		g.Expect(splitter.PendingBytes()).To(BeZero())
	}
}

func TestIncompleteEventIsBuffered(t *testing.T) {
	g := NewWithT(t)
	splitter := EventSplitter{}
	events, err := splitter.Push([]byte("id: 1\ndata: a\n\nid: 2\ndata: b"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(events)).To(Equal("id: 1\ndata: a\n\n"))
	g.Expect(splitter.LastID).To(Equal("1"))
	g.Expect(splitter.PendingBytes()).To(Equal(len("id: 2\ndata: b")))
	splitter.Reset()
	events, err = splitter.Push([]byte("id: 2\ndata: b\n\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(events)).To(Equal("id: 2\ndata: b\n\n"))
}

func TestOversizedEventIsRejected(t *testing.T) {
	splitter := EventSplitter{}
	_, err := splitter.Push(make([]byte, maxEventBytes+1))
	NewWithT(t).Expect(err).To(MatchError(ErrEventTooLarge))
}

// A faulty engine writes the head of a response, or a text, where an event is due.
func TestTextThatIsNoEventEndsTheStream(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull", "out of memory\n\n", "{\"error\": 1}\n\n", "id: 2\n<html>\n\n",
		// Each line could be a field.
		"error: worker 3 of 4 has left the group\n\n", "killed\n\n", "id: 2\n\n", "event: fatal\nid: 2\n\n",
		// An event of another stream, or one that the engine has written before.
		"data: x\n\n", "id: 1\ndata: x\n\n", "id: 0\ndata: x\n\n", "id: x\ndata: x\n\n",
	} {
		g := NewWithT(t)
		splitter := EventSplitter{}
		events, err := splitter.Push([]byte("id: 1\ndata: a b\n\n" + text))
		g.Expect(err).To(MatchError(ErrNoEvent))
		g.Expect(string(events)).To(Equal("id: 1\ndata: a b\n\n"))
		g.Expect(splitter.LastID).To(Equal("1"))
		g.Expect(splitter.Count).To(Equal(1))
	}
}

// The events before one that is too large have been counted, and must not be lost.
func TestEventsBeforeAnOversizedOneAreReturned(t *testing.T) {
	g := NewWithT(t)
	splitter := EventSplitter{}
	events, err := splitter.Push(append([]byte("id: 1\ndata: a\n\n"), make([]byte, maxEventBytes+1)...))
	g.Expect(err).To(MatchError(ErrEventTooLarge))
	g.Expect(string(events)).To(Equal("id: 1\ndata: a\n\n"))
}

// Streams need not have IDs, but a stream has them in all of its events or in none.
func TestEventsWithAndWithoutIDsAreNotMixed(t *testing.T) {
	for stream, whole := range map[string]bool{
		"data: a\n\n: comment\n\ndata: b\n\n": true, "data: a\n\nid: 1\ndata: b\n\n": false,
		"id: a\ndata: a\n\nid: b\ndata: b\n\n": true, "id: 9\ndata: a\n\nid: 10\ndata: b\n\n": true,
	} {
		splitter := EventSplitter{}
		_, err := splitter.Push([]byte(stream))
		NewWithT(t).Expect(err == nil).To(Equal(whole), stream)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte(stream), uint8(3))
	f.Add([]byte("\n\n\r\n\r\n"), uint8(1))
	f.Fuzz(func(t *testing.T, raw []byte, size uint8) {
		splitter := EventSplitter{}
		var output []byte
		for rest := raw; len(rest) > 0; {
			n := min(int(size)+1, len(rest))
			whole, err := splitter.Push(rest[:n])
			if err != nil {
				return
			}
			output = append(output, whole...)
			rest = rest[n:]
		}
		if string(output)+string(splitter.buffer) != string(raw) {
			t.Fatalf("split events %q and incomplete event %q do not add up to the input %q", output, splitter.buffer, raw)
		}
	})
}
