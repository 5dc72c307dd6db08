package engine

import (
	"context"

	"github.com/briarcross/briarcross/pb"
)

// Request is a request to an upstream.
type Request struct {
	// ID identifies the request at the upstream.
	ID      string
	Method  string
	Path    string
	Headers []*pb.HeaderField
	Body    []byte
	// Model replaces the model name in the body, unless it is empty.
	Model string
	// ResumeFrom is the number of tokens that the caller already has; the
	// engine leaves them out of the response.
	ResumeFrom int
	// KVHandle identifies exported KV state that the engine imports before it
	// runs the request; empty imports none.
	KVHandle []byte
}

// ResponsePart is a part of a response: ResponseHead or ResponseData.
type ResponsePart interface{ isPart() }

// ResponseHead holds the status and headers; it is the first part of a response.
type ResponseHead struct {
	Status  int
	Headers []*pb.HeaderField
}

// ResponseData holds the payload of one server-sent event, or a piece of any
// other body.
type ResponseData struct {
	Payload []byte
	// Tokens is the number of tokens in the payload.
	Tokens int
}

func (ResponseHead) isPart() {}
func (ResponseData) isPart() {}

// Result is the outcome of Run.
type Result struct {
	// Sent is false only when no byte of the request left this process.
	Sent bool
	// Complete is true when the whole response reached the sink.
	Complete bool
	// Status is the HTTP status, or zero when no response head was received.
	Status int
	// Err is the reason why the response is incomplete, or nil.
	Err error
	// Tokens is the number of tokens that reached the sink.
	Tokens int
}

// Load is the load that a model engine reports. It lags behind the actual load.
type Load struct {
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVTokens is the used memory for KV state, in tokens.
	KVTokens int `json:"kv_tokens"`
	// KVCapacity is the total memory for KV state, in tokens.
	KVCapacity int `json:"kv_capacity"`
}

// CacheEventKind is the kind of change to blocks of the prefix cache.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is a change to the prefix cache of an engine. Sequence numbers are
// consecutive; a gap means that events were lost.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Hashes   []uint64       `json:"hashes"`
}

// Identity describes an upstream and what it serves, as reported by itself.
type Identity struct {
	ID       string   `json:"id"`
	Kind     string   `json:"kind"`
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	// ChecksFencing is set when the upstream refuses orders with old fencing
	// numbers.
	ChecksFencing bool `json:"checks_fencing"`
	// FencingNumber is the highest fencing number of an executed order, if
	// ChecksFencing is set.
	FencingNumber uint64 `json:"fencing_number"`
}

// OrderOutcome is the outcome of sending an order.
type OrderOutcome int

// Outcomes of an order.
const (
	// OrderOutcomeUnknown means that the upstream may have executed the order.
	OrderOutcomeUnknown OrderOutcome = iota
	OrderDone
	// OrderRefused means that the upstream did not execute the order.
	OrderRefused
	// OrderNotSent means that no byte of the order left this process.
	OrderNotSent
)

// OrderResult is the result of Client.SendOrder.
type OrderResult struct {
	Outcome OrderOutcome
	// Reason is the upstream's reason for a refusal.
	Reason string
	Err    error
}

// Client sends requests to one upstream.
type Client interface {
	// Run sends a request and passes the response to sink. An error of sink
	// cancels the request and is returned in Result.Err.
	Run(ctx context.Context, request Request, sink func(ResponsePart) error) Result
	// Load returns the load that the upstream reports.
	Load(ctx context.Context) (Load, error)
	// SendOrder sends an order to change what the upstream serves.
	SendOrder(ctx context.Context, order *pb.Order) OrderResult
	// ExportKV exports the KV state of the running request id and returns a
	// handle for Request.KVHandle.
	ExportKV(ctx context.Context, id string) ([]byte, error)
	// Identity returns the upstream's description of itself.
	Identity(ctx context.Context) (Identity, error)
	// CacheEvents returns the events after a sequence number, and the sequence
	// number to pass to the next call.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, uint64, error)
	// DroppedChunks returns the number of chunks that were dropped because
	// they belong to another request.
	DroppedChunks() uint64
	// Close closes idle connections.
	Close()
}
