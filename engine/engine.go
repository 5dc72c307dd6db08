package engine

import (
	"context"

	"github.com/briarcross/briarcross/pb"
)

// Request is one call to an upstream.
type Request struct {
	// ID names the request at the upstream.
	ID      string
	Method  string
	Path    string
	Headers []*pb.HeaderField
	Body    []byte
	// Model replaces the model's name in the body, unless it is empty.
	Model string
	// ResumeFrom is the number of tokens that the caller already has.
	ResumeFrom int
	// KVHandle is the handle of an exported state that the engine imports first.
	KVHandle []byte
}

// ResponsePart is a piece of an answer: Head or Data.
type ResponsePart interface{ isPart() }

// ResponseHead opens an answer.
type ResponseHead struct {
	Status  int
	Headers []*pb.HeaderField
}

// ResponseData carries one event's payload of a stream, or a piece of a plain body.
type ResponseData struct {
	Payload []byte
	// Tokens is the number of tokens in the payload.
	Tokens int
}

func (ResponseHead) isPart() {}
func (ResponseData) isPart() {}

// Result is the outcome of Run.
type Result struct {
	// Sent is false only when the upstream certainly did not see the request.
	Sent bool
	// Complete is true when the whole answer reached the sink.
	Complete bool
	// Status is the HTTP status, or zero without an answer.
	Status int
	// Err tells why the answer is not complete.
	Err error
	// Tokens is the number of tokens that reached the sink.
	Tokens int
}

// Load is a model engine's own report of its load. It lags.
type Load struct {
	Running  int `json:"running"`
	Waiting  int `json:"waiting"`
	KVTokens int `json:"kv_tokens"`
	// KVCapacity is the memory for KV state, in tokens.
	KVCapacity int `json:"kv_capacity"`
}

// CacheEventKind tells what happened to prefix blocks.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent reports a change of an engine's prefix cache. Sequence numbers
// grow by one; a jump means that events were lost.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Hashes   []uint64       `json:"hashes"`
}

// Identity is what an upstream says about itself.
type Identity struct {
	ID       string   `json:"id"`
	Kind     string   `json:"kind"`
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	// ChecksFencing is set when the upstream refuses old fencing numbers.
	ChecksFencing bool `json:"checks_fencing"`
	// FencingNumber is the highest that the upstream carried out, if it checks.
	FencingNumber uint64 `json:"fencing_number"`
}

// OrderOutcome tells what became of an order.
type OrderOutcome int

// Outcomes of an order.
const (
	// OrderOutcomeUnknown means that the order may have been carried out.
	OrderOutcomeUnknown OrderOutcome = iota
	OrderDone
	// OrderRefused means that the upstream did not carry the order out.
	OrderRefused
	// OrderNotSent means that the upstream did not see the order.
	OrderNotSent
)

// OrderResult is the outcome of Order.
type OrderResult struct {
	Outcome OrderOutcome
	Reason  string
	Err     error
}

// Client is the interface to one upstream.
type Client interface {
	// Run carries out one request. An error of the sink ends the request and
	// is returned in the Result.
	Run(ctx context.Context, request Request, sink func(ResponsePart) error) Result
	// Load returns the upstream's load report.
	Load(ctx context.Context) (Load, error)
	// SendOrder asks the upstream to change what it serves.
	SendOrder(ctx context.Context, order *pb.Order) OrderResult
	// ExportKV returns a handle of the KV state of a running request.
	ExportKV(ctx context.Context, id string) ([]byte, error)
	// Identity returns what the upstream is and serves.
	Identity(ctx context.Context) (Identity, error)
	// CacheEvents returns the events after a sequence number, and the number
	// to ask after next time.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, uint64, error)
	// DroppedChunks returns how many crossed or late chunks were dropped.
	DroppedChunks() uint64
	// Close closes the idle connections.
	Close()
}
