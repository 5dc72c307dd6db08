package engine_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/engine"
)

// A faulty engine writes bytes into a stream that belong to no request. They were passed over,
// and with them an event on the same line, so that a response without it looked complete, or
// they reached the caller as part of an event.
func TestForeignBytesAreNotPassedOver(t *testing.T) {
	const event = "data: {\"id\":\"cmpl-a\",\"choices\":[{\"text\":\"x\"}]}\n\n"
	for _, foreign := range []string{
		"killed", ": killed", ": killed\n\n", "event: error\n", "killed\n\n", "data: killed\n", "data: killed\n\n",
		"data: {\"id\":\"cmpl-b\"}\n", "data: \"id\":\"cmpl-a\"\n\n",
	} {
		g := NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, event+foreign+event+"data: [DONE]\n\n")
		}))
		t.Cleanup(server.Close)
		client := engine.NewModelClient(server.URL, engine.Options{})
		t.Cleanup(client.Close)
		var r recordingSink
		result := client.Run(t.Context(), completion("a", "crest"), r.sink)
		g.Expect(result.Complete).To(BeFalse(), "%q", foreign)
		g.Expect(result.Err).To(MatchError(engine.ErrNoEvent), "%q", foreign)
		g.Expect(result.Tokens).To(Equal(1), "%q", foreign)
	}
}

// A faulty engine writes the end of another stream into this one. Its end mark, which names no
// request, made a part of the answer look whole.
func TestEndMarkOfAnotherStreamEndsNone(t *testing.T) {
	chunk := func(id, finish string) string {
		return "data: {\"id\":\"cmpl-" + id + "\",\"choices\":[{\"text\":\"x\",\"finish_reason\":" + finish + "}]}\n\n"
	}
	own, last, foreign := chunk("a", "null"), chunk("a", "\"length\""), chunk("b", "\"length\"")
	const done = "data: [DONE]\n\n"
	for body, complete := range map[string]bool{
		own + last + done: true, own + foreign + last + done: true, own + last + foreign + done: true, own + done: true,
		foreign + done: false, own + foreign + done: false, foreign + own + done: false, own + foreign + done + own + last + done: false,
	} {
		g := NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, body)
		}))
		client := engine.NewModelClient(server.URL, engine.Options{})
		var r recordingSink
		result := client.Run(t.Context(), completion("a", "crest"), r.sink)
		g.Expect(result.Complete).To(Equal(complete), "%q", body)
		if !complete {
			g.Expect(result.Err).To(MatchError(engine.ErrForeignDone), "%q", body)
		}
		client.Close()
		server.Close()
	}
}
