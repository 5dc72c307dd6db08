package upstream

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const stream = "id: 1\ndata: a\n\nversion: 3\nid: 2\r\ndata: b c\r\n\r\ndata:d\nid: 3\n\n"

func TestSplitEventsAreUnchanged(t *testing.T) {
	for size := 1; size <= len(stream); size++ {
		g := NewWithT(t)
		var payloads []string
		splitter := EventSplitter{VersionField: "version", OnData: func(p []byte) { payloads = append(payloads, string(p)) }}
		var output strings.Builder
		for rest := stream; rest != ""; {
			n := min(size, len(rest))
			events, err := splitter.Push([]byte(rest[:n]))
			g.Expect(err).NotTo(HaveOccurred())
			output.Write(events)
			rest = rest[n:]
		}
		g.Expect(output.String()).To(Equal(stream))
		g.Expect(payloads).To(Equal([]string{"a", "b c", "d"}))
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

// foreignTexts are bytes that a faulty engine writes into a stream after its first event.
var foreignTexts = []string{
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull", "out of memory\n\n", "{\"error\": 1}\n\n", "id: 2\n<html>\n\n",
	// Each line could be a field.
	"error: worker 3 of 4 has left the group\n\n", "killed\n\n", "id: 2\n\n", "event: fatal\nid: 2\n\n", "event: fatal\nid: 2\ndata: x\n\n",
	"id: 2\ndata: x\nretry: 5\n\n", "id: 2\nworker: left\ndata: x\n\n", "id: 2\ndata\n\n", "data: x\n\n",
	// Comments, empty lines and bytes that callers do not show.
	": out of memory\n\n", ": killed\nid: 2\ndata: x\n\n", ":\n\n", "\n\n", "\nid: 2\ndata: x\n\n", "\xef\xbb\xbfid: 2\ndata: x\n\n",
	// An event of another stream, one out of order, or one in the middle of another one.
	"id: 1\ndata: a b\n\n", "id: 0\ndata: x\n\n", "id: 3\ndata: x\n\n", "id: x\ndata: x\n\n", "id: 02\ndata: x\n\n", "id: +2\ndata: x\n\n", "id: 2 \ndata: x\n\n",
	"id: 2\ndata: killed\ndata: x\n\n", "id: 9\nid: 2\ndata: x\n\n", "id: 2\ndata: killed\nid: 2\ndata: x\n\n",
	"id: 2\ndata: x\rid: 9\rdata: y\n\n", "id: 2\ndata: x\x00y\n\n", "id: 2\ndata: \xff\xfe\n\n",
	// The name of another field, or none of its values, or not the first line.
	"versions: 3\nid: 2\ndata: x\n\n", "version: three\nid: 2\ndata: x\n\n", "id: 2\nversion: 3\ndata: x\n\n", "version: 3\nversion: 3\nid: 2\ndata: x\n\n", "version: 3\n\n",
}

// A faulty engine writes bytes that are no event of a stream where an event is due.
func TestTextThatIsNoEventEndsTheStream(t *testing.T) {
	for _, text := range foreignTexts {
		g := NewWithT(t)
		splitter := EventSplitter{VersionField: "version"}
		events, err := splitter.Push([]byte("id: 1\ndata: a b\n\n" + text))
		g.Expect(err).To(MatchError(ErrNoEvent), "%q", text)
		g.Expect(string(events)).To(Equal("id: 1\ndata: a b\n\n"))
		g.Expect(splitter.LastID).To(Equal("1"))
		g.Expect(splitter.Count).To(Equal(1))
	}
}

// A faulty engine writes an event of another stream, whose ID is due, and goes on with its own.
// The answer must not look complete, and no engine may go on with it.
func TestTwoEventsWithOneIDConflict(t *testing.T) {
	g := NewWithT(t)
	splitter := EventSplitter{}
	events, err := splitter.Push([]byte("id: 1\ndata: foreign\n\nid: 1\ndata: a\n\n"))
	g.Expect(err).To(MatchError(ErrEventConflict))
	g.Expect(string(events)).To(Equal("id: 1\ndata: foreign\n\n"))

	// Another engine that does not resume where it should says nothing about the event before.
	splitter = EventSplitter{}
	_, err = splitter.Push([]byte("id: 1\ndata: a\n\n"))
	g.Expect(err).NotTo(HaveOccurred())
	splitter.Reset()
	_, err = splitter.Push([]byte("id: 1\ndata: b\n\n"))
	g.Expect(err).To(MatchError(ErrNoEvent))
}

// The events before one that is too large have been counted, and must not be lost.
func TestEventsBeforeAnOversizedOneAreReturned(t *testing.T) {
	g := NewWithT(t)
	splitter := EventSplitter{}
	events, err := splitter.Push(append([]byte("id: 1\ndata: a\n\n"), make([]byte, maxEventBytes+1)...))
	g.Expect(err).To(MatchError(ErrEventTooLarge))
	g.Expect(string(events)).To(Equal("id: 1\ndata: a\n\n"))
}

// IDs number the events of a stream from 1. A resumed stream goes on after the ID that its
// caller names; what follows an ID that is no number is not known.
func TestStreamBeginsWithTheEventThatIsDue(t *testing.T) {
	for _, c := range []struct {
		lastID, stream string
		whole          bool
	}{
		{"", "id: 1\ndata: a\n\n", true}, {"", "id: 0\ndata: a\n\n", false}, {"", "id: 2\ndata: a\n\n", false}, {"", "data: a\n\n", false},
		{"9", "id: 10\ndata: a\n\nid: 11\ndata: b\n\n", true}, {"9", "id: 1\ndata: a\n\n", false}, {"9", "id: 9\ndata: a\n\n", false}, {"9", "id: 11\ndata: a\n\n", false},
		{"x", "id: 4\ndata: a\n\nid: 5\ndata: b\n\n", true}, {"x", "id: x\ndata: a\n\n", false}, {"18446744073709551615", "id: 0\ndata: a\n\n", false},
	} {
		splitter := EventSplitter{LastID: c.lastID}
		_, err := splitter.Push([]byte(c.stream))
		NewWithT(t).Expect(err == nil).To(Equal(c.whole), "%q after %q", c.stream, c.lastID)
	}
}

// An engine wrote well-formed events, numbered on, until its peer closed the connection.
func TestEventsBeyondTheStatedOutputEndTheStream(t *testing.T) {
	for name, c := range map[string]struct {
		limits OutputLimits
		lastID string
		data   string
		events int
	}{
		"events":         {LimitOutput(3), "", "a", 3},
		"resumed events": {LimitOutput(3), "2", "a", 1},
		"data":           {LimitOutput(1000), "", strings.Repeat("a", 4000), 32},
		"no tokens":      {LimitOutput(0), "", strings.Repeat("a", 1<<18), 8},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			splitter := EventSplitter{LastID: c.lastID, Limits: c.limits}
			first, _ := strconv.Atoi(c.lastID)
			var err error
			for n := first + 1; err == nil; n++ {
				_, err = splitter.Push(fmt.Appendf(nil, "id: %d\ndata: %s\n\n", n, c.data))
			}
			g.Expect(err).To(MatchError(ErrOutputTooLong))
			g.Expect(splitter.Count).To(Equal(c.events))
		})
	}
	g := NewWithT(t)
	g.Expect(LimitOutput(1 << 30).DataBytes).To(Equal(maxOutputBytes))
	splitter := EventSplitter{Limits: LimitOutput(1)}
	_, err := splitter.Push([]byte("id: 1\ndata: a\n\n"))
	g.Expect(err).NotTo(HaveOccurred())
	splitter.LastID = ""
	splitter.Reset()
	_, err = splitter.Push([]byte("id: 1\ndata: a\n\n"))
	g.Expect(err).NotTo(HaveOccurred(), "the data of another response does not count")
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
