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

// Paths that only the fake engine has.
const (
	PathFaults   = "/faults"
	PathLedger   = "/ledger"
	PathCounters = "/counters"
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.dead.Load() {
		_ = ctx.Conn().Close()
		return
	}
	switch string(ctx.Path()) {
	case openai.PathCompletions, openai.PathChatCompletions:
		s.handleCompletion(ctx)
	case engine.PathLoad:
		var load engine.Load
		s.reply(ctx, func(now time.Time) { load = s.engine.Load(now) }, &load)
	case engine.PathCacheEvents:
		s.handleCacheEvents(ctx)
	case engine.PathCancel:
		s.handleCancel(ctx)
	case engine.PathKVExport:
		s.handleExport(ctx)
	case engine.PathOrders:
		s.handleOrder(ctx)
	case engine.PathIdentity:
		var identity engine.Identity
		s.reply(ctx, func(time.Time) { identity = s.engine.Identity() }, &identity)
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

// reply runs a query on the engine's goroutine and writes its result.
func (s *Server) reply(ctx *fasthttp.RequestCtx, query func(time.Time), result any) {
	if !s.do(query) {
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
	s.reply(ctx, func(now time.Time) { events = s.engine.CacheEvents(now, after) }, &events)
}

func (s *Server) handleCancel(ctx *fasthttp.RequestCtx) {
	var request engine.CancelRequest
	if !readJSON(ctx, &request) {
		return
	}
	s.reply(ctx, func(now time.Time) {
		s.engine.Step(now, CancelID{ID: request.ID})
	}, &struct{}{})
}

func (s *Server) handleExport(ctx *fasthttp.RequestCtx) {
	var request engine.KVExportRequest
	if !readJSON(ctx, &request) {
		return
	}
	var reply struct {
		Handle []byte `json:"handle"`
	}
	var err error
	s.do(func(time.Time) { reply.Handle, err = s.engine.Export(request.ID) })
	if err != nil {
		writeError(ctx, http.StatusNotFound, "not_running", err.Error())
		return
	}
	writeJSON(ctx, &reply)
}

func (s *Server) handleOrder(ctx *fasthttp.RequestCtx) {
	var request engine.OrderRequest
	if !readJSON(ctx, &request) {
		return
	}
	replies := make(chan engine.OrderResponse, 1)
	serial := s.serials.Add(1)
	s.do(func(now time.Time) {
		s.orders[serial] = replies
		s.engine.Step(now, Order{Serial: serial, Order: request})
	})
	select {
	case reply := <-replies:
		writeJSON(ctx, &reply)
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

// startFromHTTP reads a completion request.
func startFromHTTP(ctx *fasthttp.RequestCtx, serial uint64) (Start, error) {
	start := Start{Serial: serial}
	var err error
	start.Completion, err = openai.ParseRequest(string(ctx.Path()), ctx.PostBody())
	if err != nil {
		return start, err
	}
	start.ID = string(ctx.Request.Header.Peek(engine.HeaderRequestID))
	if start.ID == "" {
		start.ID = "anonymous-" + strconv.FormatUint(serial, 10)
	}
	if from := ctx.Request.Header.Peek(engine.HeaderResumeFrom); len(from) > 0 {
		position, err := strconv.ParseUint(string(from), 10, 31)
		if err != nil {
			return start, err
		}
		start.ResumeFrom = int(position)
	}
	start.KV, err = base64.StdEncoding.DecodeString(string(ctx.Request.Header.Peek(engine.HeaderKVImport)))
	return start, err
}
