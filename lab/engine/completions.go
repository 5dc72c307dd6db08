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

// responseEncoder encodes the response to one request.
type responseEncoder struct {
	request SubmitRequest
	// objectType is the object field of the response, without the suffix that
	// chat chunks add.
	objectType string
	// buffer is reused by encodeChunk.
	buffer []byte
}

func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx) {
	request, err := parseSubmitRequest(ctx, s.lastSerial.Add(1))
	if err != nil {
		writeError(ctx, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	queue := newOutputQueue()
	accepted := s.runOnEngine(func(now time.Time) {
		s.outputQueues[request.Serial] = queue
		s.engine.Step(now, request)
	})
	if !accepted {
		writeError(ctx, http.StatusServiceUnavailable, "closing", "the engine is closing")
		return
	}
	first := queue.takeAll()
	if refused, ok := first[0].(Refused); ok {
		writeError(ctx, refused.Status, refused.Code, refused.Message)
		return
	}
	encoder := &responseEncoder{request: request, objectType: "text_completion"}
	if request.Completion.Chat {
		encoder.objectType = "chat.completion"
	}
	if !request.Completion.Stream {
		s.writeResponse(ctx, encoder, first[1:], queue)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.writeStream(w, encoder, first[1:], queue) })
}

// writeStream writes server-sent events until the response ends. It cancels
// the request if the client disconnects.
func (s *Server) writeStream(w *bufio.Writer, encoder *responseEncoder, outputs []Output, queue *outputQueue) {
	for {
		for _, output := range outputs {
			if encoder.writeEvent(w, output) {
				_ = w.Flush()
				return
			}
		}
		if err := w.Flush(); err != nil {
			s.runOnEngine(func(now time.Time) { s.engine.Step(now, Cancel{Serial: encoder.request.Serial}) })
			return
		}
		outputs = queue.takeAll()
	}
}

// writeEvent writes one output and reports whether it ended the stream.
func (e *responseEncoder) writeEvent(w *bufio.Writer, output Output) bool {
	switch event := output.(type) {
	case Token:
		_, _ = w.Write(e.encodeChunk(event.RequestID, event.Text, ""))
	case Finished:
		if event.Truncated {
			return true
		}
		_, _ = w.Write(e.encodeChunk(e.request.ID, "", finishReason(e.request, event)))
		_, _ = w.WriteString("data: " + openai.Done + "\n\n")
		return true
	case Cancelled:
		return true
	}
	return false
}

func finishReason(request SubmitRequest, finished Finished) string {
	if finished.Tokens >= request.Completion.MaxTokens {
		return "length"
	}
	return "stop"
}

// encodeChunk encodes one server-sent event. It appends bytes instead of using
// encoding/json because it runs for each token. The result is valid until the
// next call.
func (e *responseEncoder) encodeChunk(id, text, finishReason string) []byte {
	chat := e.request.Completion.Chat
	b := append(e.buffer[:0], `data: {"id":`...)
	b = strconv.AppendQuote(b, openai.ResponseID(chat, id))
	b = append(b, `,"object":"`...)
	b = append(b, e.objectType...)
	if chat {
		b = append(b, ".chunk"...)
	}
	b = append(b, `","created":0,"model":`...)
	b = strconv.AppendQuote(b, e.request.Completion.Service)
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
	if finishReason == "" {
		b = append(b, "null"...)
	} else {
		b = strconv.AppendQuote(b, finishReason)
	}
	b = append(b, "}]}\n\n"...)
	e.buffer = b
	return b
}

// writeResponse waits for all tokens and writes the response as one body.
func (s *Server) writeResponse(ctx *fasthttp.RequestCtx, encoder *responseEncoder, outputs []Output, queue *outputQueue) {
	var text strings.Builder
	for {
		for _, output := range outputs {
			switch event := output.(type) {
			case Token:
				text.WriteString(event.Text)
			case Finished:
				encoder.writeBody(ctx, text.String(), event)
				return
			case Cancelled:
				writeError(ctx, http.StatusServiceUnavailable, "cancelled", "the request was cancelled")
				return
			}
		}
		outputs = queue.takeAll()
	}
}

func (e *responseEncoder) writeBody(ctx *fasthttp.RequestCtx, text string, finished Finished) {
	reason := finishReason(e.request, finished)
	choice := openai.Choice{FinishReason: &reason}
	if e.request.Completion.Chat {
		choice.Message = &openai.Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	completionTokens := finished.Tokens - e.request.ResumeFrom
	writeJSON(ctx, openai.Chunk{
		ID:      openai.ResponseID(e.request.Completion.Chat, e.request.ID),
		Object:  e.objectType,
		Model:   e.request.Completion.Service,
		Choices: []openai.Choice{choice},
		Usage: &openai.Usage{
			PromptTokens:     finished.PromptTokens,
			CompletionTokens: completionTokens,
			TotalTokens:      finished.PromptTokens + completionTokens,
		},
	})
}
