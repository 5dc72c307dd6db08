package labengine

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/openai"
)

// Paths that only the emulated engine serves.
const (
	PathFaults   = "/faults"
	PathLedger   = "/ledger"
	PathCounters = "/counters"
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.down.Load() {
		_ = ctx.Conn().Close()
		return
	}
	ctx.Response.Header.SetBytesV(engine.HeaderRequestID, ctx.Request.Header.Peek(engine.HeaderRequestID))
	switch string(ctx.Path()) {
	case openai.PathCompletions, openai.PathChatCompletions:
		s.handleCompletion(ctx)
	case engine.PathLoad:
		var load engine.Load
		s.writeQueryResult(ctx, func(now time.Time) { load = s.engine.Load(now) }, &load)
	case engine.PathCacheEvents:
		s.handleCacheEvents(ctx)
	case engine.PathCancel:
		s.handleCancel(ctx)
	case engine.PathKVExport:
		s.handleKVExport(ctx)
	case engine.PathOrders:
		s.handleOrder(ctx)
	case engine.PathIdentity:
		var identity engine.Identity
		s.writeQueryResult(ctx, func(time.Time) { identity = s.engine.Identity() }, &identity)
	case engine.PathHealth:
		ctx.SetBodyString("ok\n")
	case PathFaults:
		s.handleFaults(ctx)
	case PathLedger:
		writeJSON(ctx, s.Ledger())
	case PathCounters:
		writeJSON(ctx, s.Counters())
	default:
		writeError(ctx, http.StatusNotFound, "not_found", "unknown path")
	}
}

// writeQueryResult runs a query on the engine's goroutine and writes the result
// that it fills in.
func (s *Server) writeQueryResult(ctx *fasthttp.RequestCtx, query func(time.Time), result any) {
	if !s.runOnEngine(query) {
		writeError(ctx, http.StatusServiceUnavailable, "closing", "the engine is closing")
		return
	}
	writeJSON(ctx, result)
}

func (s *Server) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil && ctx.QueryArgs().Has("after") {
		writeError(ctx, http.StatusBadRequest, "invalid_after", err.Error())
		return
	}
	var events engine.CacheEventsResponse
	s.writeQueryResult(ctx, func(now time.Time) { events = s.engine.CacheEvents(now, after) }, &events)
}

func (s *Server) handleCancel(ctx *fasthttp.RequestCtx) {
	var request engine.CancelRequest
	if !readJSON(ctx, &request) {
		return
	}
	s.writeQueryResult(ctx, func(now time.Time) {
		s.engine.Step(now, CancelByID{ID: request.ID})
	}, &struct{}{})
}

func (s *Server) handleKVExport(ctx *fasthttp.RequestCtx) {
	var request engine.KVExportRequest
	if !readJSON(ctx, &request) {
		return
	}
	var response struct {
		Handle []byte `json:"handle"`
	}
	var err error
	s.runOnEngine(func(time.Time) { response.Handle, err = s.engine.ExportKV(request.ID) })
	if err != nil {
		writeError(ctx, http.StatusNotFound, "not_running", err.Error())
		return
	}
	writeJSON(ctx, &response)
}

func (s *Server) handleOrder(ctx *fasthttp.RequestCtx) {
	var request engine.OrderRequest
	if !readJSON(ctx, &request) {
		return
	}
	responses := make(chan engine.OrderResponse, 1)
	serial := s.lastSerial.Add(1)
	s.runOnEngine(func(now time.Time) {
		s.orderResponses[serial] = responses
		s.engine.Step(now, SubmitOrder{Serial: serial, Request: request})
	})
	select {
	case response := <-responses:
		writeJSON(ctx, &response)
	case <-s.closed:
		writeError(ctx, http.StatusServiceUnavailable, "closing", "the engine is closing")
	}
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if !readJSON(ctx, &faults) {
		return
	}
	s.SetFaults(faults)
	writeJSON(ctx, &faults)
}

func readJSON(ctx *fasthttp.RequestCtx, target any) bool {
	if err := json.Unmarshal(ctx.PostBody(), target); err != nil {
		writeError(ctx, http.StatusBadRequest, "invalid_body", err.Error())
		return false
	}
	return true
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		writeError(ctx, http.StatusInternalServerError, "encode", err.Error())
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func writeError(ctx *fasthttp.RequestCtx, status int, code, message string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(openai.ErrorBody(code, message))
}

// parseSubmitRequest parses the body and headers of a completion request.
func parseSubmitRequest(ctx *fasthttp.RequestCtx, serial uint64) (SubmitRequest, error) {
	request := SubmitRequest{Serial: serial}
	var err error
	request.Completion, err = openai.ParseRequest(string(ctx.Path()), ctx.PostBody())
	if err != nil {
		return request, err
	}
	request.ID = string(ctx.Request.Header.Peek(engine.HeaderRequestID))
	if request.ID == "" {
		request.ID = "anonymous-" + strconv.FormatUint(serial, 10)
	}
	if resumeHeader := ctx.Request.Header.Peek(engine.HeaderResumeFrom); len(resumeHeader) > 0 {
		position, err := strconv.ParseUint(string(resumeHeader), 10, 31)
		if err != nil {
			return request, err
		}
		request.ResumeFrom = int(position)
	}
	request.KVHandle, err = base64.StdEncoding.DecodeString(string(ctx.Request.Header.Peek(engine.HeaderKVImport)))
	return request, err
}
