package labengine

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/openai"
)

// answer renders the outputs of one request.
type answer struct {
	start SubmitRequest
	// Parts of a chunk before and after the answer's ID and its text.
	object string
	buffer []byte
}

func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx) {
	start, err := startFromHTTP(ctx, s.serials.Add(1))
	if err != nil {
		writeError(ctx, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	events := newStream()
	accepted := s.do(func(now time.Time) {
		s.streams[start.Serial] = events
		s.engine.Step(now, start)
	})
	if !accepted {
		writeError(ctx, http.StatusServiceUnavailable, "closing", "the engine is closing")
		return
	}
	first := events.take()
	if refused, ok := first[0].(Refused); ok {
		writeError(ctx, refused.Status, refused.Code, refused.Message)
		return
	}
	out := &answer{start: start, object: "text_completion"}
	if start.Completion.Chat {
		out.object = "chat.completion"
	}
	if !start.Completion.Stream {
		s.writeWhole(ctx, out, first[1:], events)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.writeStream(w, out, first[1:], events) })
}

// writeStream writes server-sent events until the answer ends or the client
// is gone, which stops the request.
func (s *Server) writeStream(w *bufio.Writer, out *answer, pending []Output, events *stream) {
	for {
		for _, event := range pending {
			if out.writeEvent(w, event) {
				_ = w.Flush()
				return
			}
		}
		if err := w.Flush(); err != nil {
			s.do(func(now time.Time) { s.engine.Step(now, Cancel{Serial: out.start.Serial}) })
			return
		}
		pending = events.take()
	}
}

// writeEvent writes one output and reports whether it was the last.
func (a *answer) writeEvent(w *bufio.Writer, event Output) bool {
	switch event := event.(type) {
	case Token:
		_, _ = w.Write(a.chunk(event.RequestID, event.Text, ""))
	case Finished:
		if event.Truncated {
			return true
		}
		_, _ = w.Write(a.chunk(a.start.ID, "", finishReason(a.start, event)))
		_, _ = w.WriteString("data: " + openai.Done + "\n\n")
		return true
	case Cancelled:
		return true
	}
	return false
}

func finishReason(start SubmitRequest, event Finished) string {
	if event.Tokens >= start.Completion.MaxTokens {
		return "length"
	}
	return "stop"
}

// chunk renders one event. It is built by hand, as an engine sends many.
func (a *answer) chunk(id, text, finish string) []byte {
	chat := a.start.Completion.Chat
	b := append(a.buffer[:0], `data: {"id":`...)
	b = strconv.AppendQuote(b, openai.ResponseID(chat, id))
	b = append(b, `,"object":"`...)
	b = append(b, a.object...)
	if chat {
		b = append(b, ".chunk"...)
	}
	b = append(b, `","created":0,"model":`...)
	b = strconv.AppendQuote(b, a.start.Completion.Service)
	b = append(b, `,"choices":[{"index":0,`...)
	if chat {
		b = append(b, `"delta":{"content":"`...)
		b = append(b, text...)
		b = append(b, `"}`...)
	} else {
		b = append(b, `"text":"`...)
		b = append(b, text...)
		b = append(b, '"')
	}
	b = append(b, `,"finish_reason":`...)
	if finish == "" {
		b = append(b, "null"...)
	} else {
		b = strconv.AppendQuote(b, finish)
	}
	b = append(b, "}]}\n\n"...)
	a.buffer = b
	return b
}

// writeWhole collects an answer and writes it as one body.
func (s *Server) writeWhole(ctx *fasthttp.RequestCtx, out *answer, pending []Output, events *stream) {
	var text strings.Builder
	for {
		for _, event := range pending {
			switch event := event.(type) {
			case Token:
				text.WriteString(event.Text)
			case Finished:
				out.writeBody(ctx, text.String(), event)
				return
			case Cancelled:
				writeError(ctx, http.StatusServiceUnavailable, "cancelled", "the request was cancelled")
				return
			}
		}
		pending = events.take()
	}
}

func (a *answer) writeBody(ctx *fasthttp.RequestCtx, text string, event Finished) {
	finish := finishReason(a.start, event)
	choice := openai.Choice{FinishReason: &finish}
	if a.start.Completion.Chat {
		choice.Message = &openai.Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	generated := event.Tokens - a.start.ResumeFrom
	writeJSON(ctx, openai.Chunk{
		ID:      openai.ResponseID(a.start.Completion.Chat, a.start.ID),
		Object:  a.object,
		Model:   a.start.Completion.Service,
		Choices: []openai.Choice{choice},
		Usage: &openai.Usage{
			PromptTokens:     event.PromptTokens,
			CompletionTokens: generated,
			TotalTokens:      event.PromptTokens + generated,
		},
	})
}
