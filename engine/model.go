package engine

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/openai"

	"github.com/briarcross/briarcross/internal/connpool"
)

// Options configures a client.
type Options struct {
	// DialTimeout bounds opening a connection. Zero means DefaultDialTimeout.
	DialTimeout time.Duration
	// CallTimeout bounds each call except Run. Zero means DefaultCallTimeout.
	CallTimeout time.Duration
	// MaxResponseBytes bounds the response body of each call except Run. Zero
	// means DefaultMaxResponseBytes.
	MaxResponseBytes int
	// TargetIsEntry is set when the base URL is that of a briarcross entry
	// instead of an engine: an entry chooses the response IDs, and closing the
	// connection cancels the request without a cancel call.
	TargetIsEntry bool
}

// Defaults of Options.
const (
	DefaultDialTimeout      = time.Second
	DefaultCallTimeout      = 5 * time.Second
	DefaultMaxResponseBytes = 16 << 20
)

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return o
}

// newPool returns a connection pool for base, a URL such as
// http://127.0.0.1:8000 or HOST:PORT. With another scheme or without a port,
// opening a connection fails.
func newPool(base string, o Options) *connpool.Pool {
	address := base
	if parsed, err := url.Parse(base); err == nil && parsed.Scheme == "http" {
		address = parsed.Host
	}
	return connpool.New(address, o.DialTimeout, nil)
}

type modelClient struct {
	pool          *connpool.Pool
	options       Options
	droppedChunks atomic.Uint64
	// lastCall numbers the requests of calls other than Run.
	lastCall atomic.Uint64
}

// NewModelClient returns a client of a model engine. It always requests a
// streamed completion, whether or not the body of the request does.
func NewModelClient(base string, o Options) Client {
	o = o.withDefaults()
	return &modelClient{pool: newPool(base, o), options: o}
}

// ErrNoDone means that an event stream ended without the end mark openai.Done.
var ErrNoDone = eris.New("engine: stream ended without " + openai.Done)

// ErrForeignDone means that an end mark may be that of another request, of which the stream
// holds chunks.
var ErrForeignDone = eris.New("engine: end mark may belong to another request")

// Run implements Client.
func (c *modelClient) Run(ctx context.Context, request Request, sink func(ResponsePart) error) Result {
	body := request.Body
	if openai.IsCompletionPath(request.Path) {
		rewritten, err := openai.RewriteForEngine(request.Body, request.Model)
		if err != nil {
			return Result{Err: err}
		}
		body = rewritten
	}
	x := newExchange(c.pool, request.ID)
	fillRequest(x, request, body)
	x.request.Header.Del("Accept-Encoding") // Compression would delay the events of a stream.
	if request.ResumeFrom > 0 {
		x.request.Header.Set(HeaderResumeFrom, strconv.Itoa(request.ResumeFrom))
	}
	if len(request.KVHandle) > 0 {
		x.request.Header.Set(HeaderKVImport, base64.StdEncoding.EncodeToString(request.KVHandle))
	}
	result := c.runExchange(ctx, x, request, sink)
	if result.Sent && !result.Complete && !c.options.TargetIsEntry {
		c.cancel(request.ID)
	}
	return result
}

func fillRequest(x *exchange, request Request, body []byte) {
	x.request.Header.SetMethod(request.Method)
	x.request.SetRequestURI("http://" + x.pool.Address() + request.Path)
	x.request.URI().DisablePathNormalizing = true
	setHeaders(x.request, request.Headers)
	if len(body) > 0 {
		x.request.SetBodyRaw(body)
	}
}

func (c *modelClient) runExchange(ctx context.Context, x *exchange, request Request, sink func(ResponsePart) error) Result {
	if err := x.send(ctx); err != nil {
		result := Result{Sent: x.sent, Err: firstError(ctx, err)}
		x.release(false)
		return result
	}
	result := Result{Sent: true, Status: x.response.Status}
	contentType := x.response.Header.Get("Content-Type")
	isEventStream := strings.HasPrefix(contentType, "text/event-stream")
	err := sink(ResponseHead{Status: result.Status, Headers: responseHeaders(x.response.Header)})
	switch {
	case err != nil:
	case isEventStream:
		result.Tokens, err = c.relayEvents(x, request, sink)
	default:
		err = relayBody(x, sink)
	}
	result.Complete = err == nil
	if err != nil {
		result.Err = firstError(ctx, err)
	}
	x.release(result.Complete && (!isEventStream || x.drainStream()))
	return result
}

// firstError returns the cause of a cancelled context instead of the I/O error
// that the cancel led to.
func firstError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// relayEvents passes the payloads that carry the response ID of the request to
// the sink and returns their number of tokens. It omits the end mark;
// Result.Complete tells that it was received.
func (c *modelClient) relayEvents(x *exchange, request Request, sink func(ResponsePart) error) (int, error) {
	events := newEventReader(x.response.Body)
	chat := request.Path == openai.PathChatCompletions
	responseID := openai.ResponseID(chat, request.ID)
	if c.options.TargetIsEntry {
		responseID = ""
	}
	idBytes := idField(responseID)
	tokens := 0
	// finished is set once a chunk of the request says so, foreign once there was one of another
	// request. The end mark itself names none.
	finished, foreign := false, false
	for {
		payload, err := events.next()
		if err == io.EOF {
			return tokens, ErrNoDone
		}
		if err != nil {
			return tokens, eris.Wrap(err, "engine: read stream")
		}
		if string(payload) == openai.Done {
			if foreign && !finished {
				return tokens, ErrForeignDone
			}
			return tokens, nil
		}
		if !json.Valid(payload) {
			return tokens, ErrNoEvent
		}
		if responseID == "" {
			responseID = openai.PayloadID(payload)
			idBytes = idField(responseID)
		}
		if responseID == "" || !bytes.HasPrefix(payload, idBytes) && openai.PayloadID(payload) != responseID {
			if detail, failed := openai.ParseError(payload); failed {
				return tokens, eris.Errorf("engine: %s: %s", detail.Code, detail.Message)
			}
			c.droppedChunks.Add(1)
			foreign = true
			continue
		}
		finished = finished || openai.PayloadFinishes(payload)
		data := ResponseData{Payload: bytes.Clone(payload), Tokens: openai.PayloadTokens(payload)}
		if err := sink(data); err != nil {
			return tokens, err
		}
		tokens += data.Tokens
	}
}

// idField returns the begin of a payload without white space whose first field is its ID.
func idField(id string) []byte {
	return []byte(`{"id":` + strconv.Quote(id))
}

// cancel sends a cancel request to the engine without waiting for the response.
func (c *modelClient) cancel(id string) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), c.options.CallTimeout)
		defer stop()
		// The connection is closed already; if the cancel request fails, the
		// engine only takes longer to stop.
		_ = c.callJSON(ctx, "POST", PathCancel, CancelRequest{ID: id}, nil)
	}()
}

// DroppedChunks implements Client.
func (c *modelClient) DroppedChunks() uint64 { return c.droppedChunks.Load() }

// Close implements Client.
func (c *modelClient) Close() { c.pool.Close() }
