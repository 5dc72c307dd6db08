package labengine

import (
	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/openai"
)

// Input is a message to an Engine.
type Input interface{ isInput() }

// Start submits a request.
type Start struct {
	// Serial is unique for each Start; request IDs may repeat.
	Serial     uint64
	ID         string
	Completion openai.CompletionRequest
	// ResumeFrom is the number of tokens to leave out.
	ResumeFrom int
	// KV is a handle of an exported state.
	KV []byte
}

// Cancel stops the request with a serial number.
type Cancel struct{ Serial uint64 }

// CancelID stops all requests with an ID.
type CancelID struct{ ID string }

// Order asks the engine to change what it serves.
type Order struct {
	Serial uint64
	Order  engine.OrderRequest
}

// SetFaults replaces the faults.
type SetFaults struct{ Faults Faults }

func (Start) isInput()     {}
func (Cancel) isInput()    {}
func (CancelID) isInput()  {}
func (Order) isInput()     {}
func (SetFaults) isInput() {}

// Output is a message from an Engine.
type Output interface{ isOutput() }

// Accepted tells that a request was admitted.
type Accepted struct{ Serial uint64 }

// Refused tells that a request did not run.
type Refused struct {
	Serial  uint64
	Status  int
	Code    string
	Message string
}

// Token is one token of an answer.
type Token struct {
	Serial uint64
	// AnswerOf is the ID of the request that the token belongs to: another
	// than the stream's own when a crossed or late answer is simulated.
	AnswerOf string
	Text     string
}

// Finished ends an answer.
type Finished struct {
	Serial       uint64
	PromptTokens int
	Tokens       int
	// Truncated leaves out the end mark.
	Truncated bool
}

// Stopped tells that a request was cancelled.
type Stopped struct{ Serial uint64 }

// OrderReplied is the answer to an order.
type OrderReplied struct {
	Serial uint64
	Reply  engine.OrderResponse
}

func (Accepted) isOutput()     {}
func (Refused) isOutput()      {}
func (Token) isOutput()        {}
func (Finished) isOutput()     {}
func (Stopped) isOutput()      {}
func (OrderReplied) isOutput() {}
